package measure

import (
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

// churnFlight is one scatter.Machine: a query over one level, or a group at a relay.
type churnFlight struct {
	in       *churnInstance
	request  query.Request
	shardMap query.Map
	restart  *snapshot.Restart // nil at a relay
	machine  *trace.Machine
	ended    map[query.AttemptID]bool
	finished bool
	wake     time.Time
	// done is called once, with the map to restart at or with the answer.
	done func(a query.Answer, other query.Map, again bool)
}

func (in *churnInstance) scatter(req query.Request, m query.Map, restart *snapshot.Restart, done func(query.Answer, query.Map, bool)) *churnFlight {
	f := &churnFlight{
		in: in, request: req, shardMap: m, restart: restart, done: done,
		machine: trace.NewMachine(in.config(req, m), recorder), ended: map[query.AttemptID]bool{},
	}
	f.perform(f.machine.Start(in.run.loop.Now()))
	return f
}

func (f *churnFlight) perform(actions []scatter.Action) {
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			f.send(a)
		case scatter.Cancel:
			f.ended[a.Attempt] = true
		case scatter.Finish:
			f.finished = true
		}
	}
	if !f.finished {
		f.schedule(f.machine.NextWake())
		return
	}
	answer := f.machine.Answer()
	if f.restart != nil && !f.in.run.baseline {
		if other, again := f.restart.OnFinish(f.in.run.loop.Now(), &f.in.snapshots, answer.Coverage, f.in.latencies.Quantile(50)); again {
			f.done(query.Answer{}, other, true)
			return
		}
	}
	f.done(answer, query.Map{}, false)
}

func (f *churnFlight) schedule(t time.Time) {
	if !f.wake.IsZero() && !t.Before(f.wake) {
		return
	}
	f.wake = t
	loop := f.in.run.loop
	loop.At(t, func() {
		if f.finished || !f.wake.Equal(t) {
			return
		}
		f.wake = time.Time{}
		f.perform(f.machine.OnWake(loop.Now()))
	})
}

// abandon ends a flight whose answer nobody waits for.
func (f *churnFlight) abandon() {
	if !f.finished {
		f.finished = true
		f.machine.Abandon(f.in.run.loop.Now())
	}
}

// send passes an attempt to its target, which answers for the version that it holds on arrival.
func (f *churnFlight) send(a scatter.Action) {
	r := f.in.run
	t := r.world.byID[a.Target]
	r.stats.attempts++
	timeLeft := a.TimeLeft
	r.loop.After(r.between(f.in.domain, t.domain), func() {
		reply := r.replyOf(t, f.request, a, f.shardMap.Version)
		var took time.Duration
		if reply.Outcome == query.OutcomeAnswered {
			if took = heavyTail.draw(r.source); took > timeLeft {
				took, reply.Outcome, reply.Hits = timeLeft, query.OutcomeAborted, nil
			}
		}
		r.loop.After(took+r.between(t.domain, f.in.domain), func() { f.receive(a, reply) })
	})
}

func (f *churnFlight) receive(a scatter.Action, reply query.Reply) {
	if f.finished || f.ended[a.Attempt] {
		return
	}
	now := f.in.run.loop.Now()
	if reply.Attempt == a.Attempt {
		f.in.observe(a.Target, reply.HeldVersions)
	}
	if f.restart != nil && !f.in.run.baseline {
		other, again := f.restart.OnReply(now, &f.in.snapshots, a.Shard, reply.Outcome, f.in.latencies.Quantile(50))
		if again {
			f.abandon()
			f.done(query.Answer{}, other, true)
			return
		}
	}
	f.perform(f.machine.OnReply(now, a.Attempt, reply))
}

// groupFlight is the upper one of two levels of a query.
type groupFlight struct {
	in       *churnInstance
	request  query.Request
	shardMap query.Map
	restart  *snapshot.Restart
	machine  *group.Machine
	relayed  map[query.AttemptID]*churnFlight
	ended    map[query.AttemptID]bool
	finished bool
	wake     time.Time
	done     func(a query.Answer, other query.Map, again bool)
}

// firstGroupHedge is the hedge delay of an instance that has timed too few partial answers.
const firstGroupHedge = 50 * time.Millisecond

func (in *churnInstance) scatterGroups(req query.Request, m query.Map, restart *snapshot.Restart, done func(query.Answer, query.Map, bool)) {
	hedgeAfter, known := in.delay.Value()
	if !known {
		hedgeAfter = firstGroupHedge
	}
	f := &groupFlight{
		in: in, request: req, shardMap: m, restart: restart, done: done,
		relayed: map[query.AttemptID]*churnFlight{}, ended: map[query.AttemptID]bool{},
		machine: group.New(group.Config{
			Request: req, Map: m, Parts: group.Divide(in.place, m, in.relaysOf), HedgeAfter: hedgeAfter,
			Budget: &in.budget, NextAttempt: in.nextAttempt,
		}),
	}
	f.perform(f.machine.Start(in.run.loop.Now()))
}

func (f *groupFlight) perform(actions []group.Action) {
	for _, a := range actions {
		switch a.Kind {
		case group.Send:
			f.send(a)
		case group.Cancel:
			f.cancel(a.Attempt)
		case group.Finish:
			f.finished = true
		}
	}
	if !f.finished {
		f.schedule(f.machine.NextWake())
		return
	}
	answer := f.machine.Answer()
	other, again := f.restart.OnFinish(f.in.run.loop.Now(), &f.in.snapshots, answer.Coverage, f.in.latencies.Quantile(50))
	f.done(answer, other, again)
}

func (f *groupFlight) schedule(t time.Time) {
	if !f.wake.IsZero() && !t.Before(f.wake) {
		return
	}
	f.wake = t
	loop := f.in.run.loop
	loop.At(t, func() {
		if f.finished || !f.wake.Equal(t) {
			return
		}
		f.wake = time.Time{}
		f.perform(f.machine.OnWake(loop.Now()))
	})
}

func (f *groupFlight) cancel(id query.AttemptID) {
	f.ended[id] = true
	if relayed, running := f.relayed[id]; running {
		relayed.abandon()
	}
}

// send passes a group to a relay, which may be silent for a while.
func (f *groupFlight) send(a group.Action) {
	r := f.in.run
	relay := r.byID[a.Relay]
	sent := r.loop.Now()
	there, back := time.Duration(0), time.Duration(0)
	timeLeft := f.request.Deadline.Sub(sent)
	if relay != f.in {
		there, back = r.between(f.in.domain, relay.domain), r.between(relay.domain, f.in.domain)
		timeLeft -= f.in.returns.Quantile(99)
		there = max(there, relay.silentUntil.Sub(sent))
		r.stats.groups++
	}
	r.loop.After(there, func() {
		if f.finished || f.ended[a.Attempt] {
			return
		}
		arrived := r.loop.Now()
		relay.relay(f, a, timeLeft, func(reply group.Reply, versions snapshot.Report) {
			took := r.loop.Now().Sub(arrived)
			r.loop.After(back, func() { f.receive(a, reply, versions, sent, took) })
		})
	})
}

// relay runs a group as the lower level.
func (in *churnInstance) relay(f *groupFlight, a group.Action, timeLeft time.Duration, answer func(group.Reply, snapshot.Report)) {
	if !in.holds(a.Shards) {
		answer(group.Reply{Attempt: a.Attempt, Outcome: query.OutcomeWrongShard}, snapshot.Report{})
		return
	}
	req := f.request
	req.Deadline = in.run.loop.Now().Add(timeLeft)
	asked := query.Map{Version: f.shardMap.Version, Shards: a.Shards}
	f.relayed[a.Attempt] = in.scatter(req, asked, nil, func(part query.Answer, _ query.Map, _ bool) {
		reply := group.Reply{Attempt: a.Attempt, Outcome: query.OutcomeAnswered, Answer: part}
		answer(reply, in.report(asked))
	})
}

func (f *groupFlight) receive(a group.Action, reply group.Reply, versions snapshot.Report, sent time.Time, took time.Duration) {
	if f.finished || f.ended[a.Attempt] {
		return
	}
	now := f.in.run.loop.Now()
	if reply.Outcome == query.OutcomeAnswered {
		f.in.delay.Record(now, now.Sub(sent))
		f.in.returns.Record((now.Sub(sent) - took) / 2)
		if g, known := f.in.place.GroupOf(a.Shards[0]); known {
			f.in.snapshots.ObserveGroup(now, string(g.ID), versions)
		}
		other, again := f.restart.OnPartial(now, &f.in.snapshots, reply.Answer.Coverage, f.in.latencies.Quantile(50))
		if again {
			f.finished = true
			for _, relayed := range f.relayed {
				relayed.abandon()
			}
			f.done(query.Answer{}, other, true)
			return
		}
	}
	f.perform(f.machine.OnReply(now, a.Attempt, reply))
}
