package measure

import (
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

// churnFlight is one run of a scatter.Machine: a query over one level, or a group at a relay.
type churnFlight struct {
	in       *churnInstance
	request  query.Request
	shardMap query.Map
	restart  *snapshot.Restart // nil at a relay
	machine  *trace.Machine
	ended    map[query.AttemptID]bool
	finished bool
	nextWake time.Time
	// onFinish is called once, with the answer or, if the query must restart, with the map to restart at.
	onFinish func(a query.Answer, restartMap query.Map, mustRestart bool)
}

func (in *churnInstance) scatter(req query.Request, m query.Map, restart *snapshot.Restart, onFinish func(query.Answer, query.Map, bool)) *churnFlight {
	f := &churnFlight{
		in: in, request: req, shardMap: m, restart: restart, onFinish: onFinish,
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
		f.scheduleWake(f.machine.NextWake())
		return
	}
	answer := f.machine.Answer()
	if f.restart != nil && !f.in.run.baseline {
		if restartMap, mustRestart := f.restart.OnFinish(f.in.run.loop.Now(), &f.in.snapshots, answer.Coverage, f.in.latencies.Quantile(50)); mustRestart {
			f.onFinish(query.Answer{}, restartMap, true)
			return
		}
	}
	f.onFinish(answer, query.Map{}, false)
}

func (f *churnFlight) scheduleWake(t time.Time) {
	if !f.nextWake.IsZero() && !t.Before(f.nextWake) {
		return
	}
	f.nextWake = t
	loop := f.in.run.loop
	loop.At(t, func() {
		if f.finished || !f.nextWake.Equal(t) {
			return
		}
		f.nextWake = time.Time{}
		f.perform(f.machine.OnWake(loop.Now()))
	})
}

// abandon ends a flight whose answer is no longer needed.
func (f *churnFlight) abandon() {
	if !f.finished {
		f.finished = true
		f.machine.Abandon(f.in.run.loop.Now())
	}
}

// send sends an attempt to its target, which answers from the versions that it holds on arrival.
func (f *churnFlight) send(a scatter.Action) {
	r := f.in.run
	t := r.model.byID[a.Target]
	r.stats.attempts++
	timeLeft := a.TimeLeft
	r.loop.After(r.delay(f.in.domain, t.domain), func() {
		reply := r.newReply(t, f.request, a, f.shardMap.Version)
		var serviceTime time.Duration
		if reply.Outcome == query.OutcomeAnswered {
			if serviceTime = heavyTail.draw(r.source); serviceTime > timeLeft {
				serviceTime, reply.Outcome, reply.Hits = timeLeft, query.OutcomeAborted, nil
			}
		}
		r.loop.After(serviceTime+r.delay(t.domain, f.in.domain), func() { f.receive(a, reply) })
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
		restartMap, mustRestart := f.restart.OnReply(now, &f.in.snapshots, a.Shard, reply.Outcome, f.in.latencies.Quantile(50))
		if mustRestart {
			f.abandon()
			f.onFinish(query.Answer{}, restartMap, true)
			return
		}
	}
	f.perform(f.machine.OnReply(now, a.Attempt, reply))
}

// groupFlight is the upper level of a query over two levels.
type groupFlight struct {
	in           *churnInstance
	request      query.Request
	shardMap     query.Map
	restart      *snapshot.Restart
	machine      *group.Machine
	relayFlights map[query.AttemptID]*churnFlight
	ended        map[query.AttemptID]bool
	finished     bool
	nextWake     time.Time
	onFinish     func(a query.Answer, restartMap query.Map, mustRestart bool)
}

// initialGroupHedgeDelay is the hedge delay of an instance that has measured too few partial answers.
const initialGroupHedgeDelay = 50 * time.Millisecond

func (in *churnInstance) scatterGroups(req query.Request, m query.Map, restart *snapshot.Restart, onFinish func(query.Answer, query.Map, bool)) {
	hedgeAfter, known := in.hedgeDelay.Value()
	if !known {
		hedgeAfter = initialGroupHedgeDelay
	}
	f := &groupFlight{
		in: in, request: req, shardMap: m, restart: restart, onFinish: onFinish,
		relayFlights: map[query.AttemptID]*churnFlight{}, ended: map[query.AttemptID]bool{},
		machine: group.New(group.Config{
			Request: req, Map: m, Parts: group.Divide(in.placementIndex, m, in.relaysOf), HedgeAfter: hedgeAfter,
			Budget: &in.hedgeBudget, NextAttempt: in.nextAttempt,
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
		f.scheduleWake(f.machine.NextWake())
		return
	}
	answer := f.machine.Answer()
	restartMap, mustRestart := f.restart.OnFinish(f.in.run.loop.Now(), &f.in.snapshots, answer.Coverage, f.in.latencies.Quantile(50))
	f.onFinish(answer, restartMap, mustRestart)
}

func (f *groupFlight) scheduleWake(t time.Time) {
	if !f.nextWake.IsZero() && !t.Before(f.nextWake) {
		return
	}
	f.nextWake = t
	loop := f.in.run.loop
	loop.At(t, func() {
		if f.finished || !f.nextWake.Equal(t) {
			return
		}
		f.nextWake = time.Time{}
		f.perform(f.machine.OnWake(loop.Now()))
	})
}

func (f *groupFlight) cancel(id query.AttemptID) {
	f.ended[id] = true
	if relayFlight, running := f.relayFlights[id]; running {
		relayFlight.abandon()
	}
}

// send sends a group to a relay. A silent relay receives it when its silence ends.
func (f *groupFlight) send(a group.Action) {
	r := f.in.run
	relay := r.byID[a.Relay]
	sent := r.loop.Now()
	requestDelay, replyDelay := time.Duration(0), time.Duration(0)
	timeLeft := f.request.Deadline.Sub(sent)
	if relay != f.in {
		requestDelay, replyDelay = r.delay(f.in.domain, relay.domain), r.delay(relay.domain, f.in.domain)
		timeLeft -= f.in.returnDelays.Quantile(99)
		requestDelay = max(requestDelay, relay.silentUntil.Sub(sent))
		r.stats.groupsSent++
	}
	r.loop.After(requestDelay, func() {
		if f.finished || f.ended[a.Attempt] {
			return
		}
		arrived := r.loop.Now()
		relay.relay(f, a, timeLeft, func(reply group.Reply, versions snapshot.Report) {
			serviceTime := r.loop.Now().Sub(arrived)
			r.loop.After(replyDelay, func() { f.receive(a, reply, versions, sent, serviceTime) })
		})
	})
}

// relay runs a group as the lower level of a query, or refuses it if the instance does not hold its shards.
func (in *churnInstance) relay(f *groupFlight, a group.Action, timeLeft time.Duration, respond func(group.Reply, snapshot.Report)) {
	if !in.holdsAll(a.Shards) {
		respond(group.Reply{Attempt: a.Attempt, Outcome: query.OutcomeWrongShard}, snapshot.Report{})
		return
	}
	req := f.request
	req.Deadline = in.run.loop.Now().Add(timeLeft)
	groupMap := query.Map{Version: f.shardMap.Version, Shards: a.Shards}
	f.relayFlights[a.Attempt] = in.scatter(req, groupMap, nil, func(part query.Answer, _ query.Map, _ bool) {
		reply := group.Reply{Attempt: a.Attempt, Outcome: query.OutcomeAnswered, Answer: part}
		respond(reply, in.report(groupMap))
	})
}

func (f *groupFlight) receive(a group.Action, reply group.Reply, versions snapshot.Report, sent time.Time, took time.Duration) {
	if f.finished || f.ended[a.Attempt] {
		return
	}
	now := f.in.run.loop.Now()
	if reply.Outcome == query.OutcomeAnswered {
		f.in.hedgeDelay.Record(now, now.Sub(sent))
		f.in.returnDelays.Record((now.Sub(sent) - took) / 2)
		if g, known := f.in.placementIndex.GroupOf(a.Shards[0]); known {
			f.in.snapshots.ObserveGroup(now, string(g.ID), versions)
		}
		restartMap, mustRestart := f.restart.OnPartial(now, &f.in.snapshots, reply.Answer.Coverage, f.in.latencies.Quantile(50))
		if mustRestart {
			f.finished = true
			for _, relayFlight := range f.relayFlights {
				relayFlight.abandon()
			}
			f.onFinish(query.Answer{}, restartMap, true)
			return
		}
	}
	f.perform(f.machine.OnReply(now, a.Attempt, reply))
}
