package measure

import (
	"hyssopcroft.example/control/claim"
)

// keyObject is the object of one key in the baseline.
type keyObject struct {
	version claim.Version
	done    bool
}

// perKey is the baseline: one object for each key, written once for the claim and once for the
// result, as the first version of the entry did. It implements executor.
type perKey struct {
	*claimInstance
}

func (p *perKey) submit(k claim.Key, first bool, respond func(claim.Answer)) {
	p.on(func() { p.claim(k, first, respond) })
}

func (p *perKey) claim(k claim.Key, first bool, respond func(claim.Answer)) {
	var v claim.Version
	p.put(k, 0, false, &v, func(r writeResult) {
		switch {
		case r == written:
			p.send(k, v, respond)
		case r == refused:
			p.resend(k, respond)
		case first:
			respond(claim.Answer{State: claim.NotRun, Reason: claim.ReasonStore})
		default:
			respond(claim.Answer{State: claim.Unknown, Reason: claim.ReasonStore})
		}
	})
}

func (p *perKey) put(k claim.Key, expected claim.Version, done bool, v *claim.Version, respond func(writeResult)) {
	s := p.world.store
	s.write(func() bool {
		if s.keys[k].version != expected {
			return false
		}
		s.revision++
		*v = s.revision
		s.keys[k] = keyObject{version: s.revision, done: done}
		return true
	}, func(r writeResult) { p.on(func() { respond(r) }) })
}

func (p *perKey) resend(k claim.Key, respond func(claim.Answer)) {
	p.world.store.read(func() func(bool) {
		o := p.world.store.keys[k]
		return func(ok bool) {
			a := claim.Answer{State: claim.Unknown}
			if ok && o.done {
				a = claim.Answer{State: claim.Done, Repeated: true}
			}
			p.on(func() { respond(a) })
		}
	})
}

func (p *perKey) send(k claim.Key, v claim.Version, respond func(claim.Answer)) {
	answered := false
	answer := func(a claim.Answer) {
		if !answered {
			answered = true
			respond(a)
		}
	}
	p.world.target(k, func(s claim.State) {
		p.on(func() {
			if s != claim.Done {
				answer(claim.Answer{State: claim.Unknown, Reason: claim.ReasonTarget})
				return
			}
			var unused claim.Version
			p.put(k, v, true, &unused, func(writeResult) {
				answer(claim.Answer{State: claim.Done, Reason: claim.ReasonTarget})
			})
		})
	})
	p.world.loop.After(creditDeadline, func() {
		p.on(func() { answer(claim.Answer{State: claim.Running, Reason: claim.ReasonTarget}) })
	})
}
