package measure

import (
	"hyssopcroft.example/control/claim"
)

// keyObject is the stored object of one key in the baseline.
type keyObject struct {
	version claim.Version
	done    bool
}

// perKeyExecutor is the baseline: it stores one object for each key and writes it once for the claim
// and once for the result. It implements executor.
type perKeyExecutor struct {
	*claimInstance
}

func (p *perKeyExecutor) submit(k claim.Key, first bool, respond func(claim.Answer)) {
	p.runWhenActive(func() { p.claim(k, first, respond) })
}

func (p *perKeyExecutor) claim(k claim.Key, first bool, respond func(claim.Answer)) {
	var v claim.Version
	p.put(k, 0, false, &v, func(r writeResult) {
		switch {
		case r == written:
			p.send(k, v, respond)
		case r == writeConflict:
			p.resend(k, respond)
		case first:
			respond(claim.Answer{State: claim.NotRun, Reason: claim.ReasonStore})
		default:
			respond(claim.Answer{State: claim.Unknown, Reason: claim.ReasonStore})
		}
	})
}

func (p *perKeyExecutor) put(k claim.Key, expected claim.Version, done bool, v *claim.Version, respond func(writeResult)) {
	s := p.run.store
	s.write(func() bool {
		if s.keys[k].version != expected {
			return false
		}
		s.revision++
		*v = s.revision
		s.keys[k] = keyObject{version: s.revision, done: done}
		return true
	}, func(r writeResult) { p.runWhenActive(func() { respond(r) }) })
}

func (p *perKeyExecutor) resend(k claim.Key, respond func(claim.Answer)) {
	p.run.store.read(func() func(bool) {
		o := p.run.store.keys[k]
		return func(ok bool) {
			a := claim.Answer{State: claim.Unknown}
			if ok && o.done {
				a = claim.Answer{State: claim.Done, Repeated: true}
			}
			p.runWhenActive(func() { respond(a) })
		}
	})
}

func (p *perKeyExecutor) send(k claim.Key, v claim.Version, respond func(claim.Answer)) {
	answered := false
	respondOnce := func(a claim.Answer) {
		if !answered {
			answered = true
			respond(a)
		}
	}
	p.run.sendToTarget(k, func(s claim.State) {
		p.runWhenActive(func() {
			if s != claim.Done {
				respondOnce(claim.Answer{State: claim.Unknown, Reason: claim.ReasonTarget})
				return
			}
			var unused claim.Version
			p.put(k, v, true, &unused, func(writeResult) {
				respondOnce(claim.Answer{State: claim.Done, Reason: claim.ReasonTarget})
			})
		})
	})
	p.run.loop.After(creditDeadline, func() {
		p.runWhenActive(func() { respondOnce(claim.Answer{State: claim.Running, Reason: claim.ReasonTarget}) })
	})
}
