package entry

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/placement"
	"hyssopcroft.example/query/snapshot"
)

// maxRelays bounds the candidate relays for one group of one query.
const maxRelays = 4

// groupRun performs the actions of one group.Machine. Only the goroutine that calls loop uses the machine.
type groupRun struct {
	service        *Service
	index          *index
	request        query.Request
	priority       string
	shardMap       query.Map
	restart        *snapshot.Restart
	groupPlacement *placement.Index
	machine        *group.Machine
	replies        chan attemptPartial
	cancels        map[query.AttemptID]context.CancelFunc
	start          time.Time // of the query
	sent           []group.Action
	// lastShard is the first shard of the last attempt that was answered.
	lastShard query.Shard
}

type attemptPartial struct {
	attempt query.AttemptID
	partial peer.GroupResponse
}

func (s *Service) newGroupRun(ix *index, groupPlacement *placement.Index, req query.Request, m query.Map, restart *snapshot.Restart, start time.Time) *groupRun {
	parts := group.Divide(groupPlacement, m, func(id placement.GroupID) []string { return s.relaysOf(groupPlacement, id) })
	return &groupRun{
		service: s, index: ix, request: req, priority: s.priorityOf(req.Plan), shardMap: m, restart: restart,
		groupPlacement: groupPlacement, start: start,
		machine: group.New(group.Config{
			Request: req, Map: m, Parts: parts, HedgeAfter: ix.hedgeAfter(), Budget: ix, NextAttempt: s.nextAttempt,
		}),
		replies: make(chan attemptPartial, maxRelays*len(parts)),
		cancels: make(map[query.AttemptID]context.CancelFunc, len(parts)),
	}
}

// loop runs the query until it is finished or must restart, or until the caller's context is done.
func (r *groupRun) loop(caller context.Context) runResult {
	ctx, cancel := context.WithCancel(caller)
	defer cancel() // cancels the attempts that are still in flight
	defer func() { r.service.countDropped(r.machine.Dropped()) }()
	finished := r.perform(ctx, r.machine.Start(time.Now()))
	alarm := kernel.NewAlarm(time.Until(r.machine.NextWake()))
	defer alarm.Stop()
	for !finished {
		select {
		case p := <-r.replies:
			if m, mustRestart := r.index.restartOnPartial(r.restart, p.partial.Answer.Coverage); mustRestart {
				return runResult{mayHaveRun: true, mustRestart: true, restartMap: m} // A relay has answered.
			}
			r.recordLastShard(p.attempt)
			finished = r.perform(ctx, r.machine.OnReply(time.Now(), p.attempt, p.partial.Reply))
		case <-alarm.C:
			finished = r.perform(ctx, r.machine.OnWake(time.Now()))
		case <-ctx.Done():
			finished = true
		}
		alarm.Set(time.Until(r.machine.NextWake()))
	}
	answer := r.machine.Answer()
	m, mustRestart := r.index.restartOnFinish(r.restart, answer.Coverage)
	if !mustRestart {
		r.service.recordIfSlow(caller, r.request, r.start, false, answer.Coverage,
			func() slowest { return r.slowest(answer.Coverage) })
	}
	return runResult{answer: answer, mayHaveRun: r.machine.MayHaveRun(), mustRestart: mustRestart, restartMap: m}
}

// recordLastShard sets lastShard for an attempt that was answered.
func (r *groupRun) recordLastShard(attempt query.AttemptID) {
	for _, a := range r.sent {
		if a.Attempt == attempt {
			r.lastShard = a.Shards[0]
		}
	}
}

// perform performs actions of the machine and returns true if the machine has finished.
func (r *groupRun) perform(ctx context.Context, actions []group.Action) bool {
	finished := false
	for _, a := range actions {
		switch a.Kind {
		case group.Send:
			r.send(ctx, a)
		case group.Cancel:
			r.cancels[a.Attempt]()
		case group.Finish:
			finished = true
		}
	}
	return finished
}

func (r *groupRun) send(ctx context.Context, a group.Action) {
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	r.cancels[a.Attempt] = cancel
	r.sent = append(r.sent, a)
	call := peer.GroupRequest{
		Request: r.request.ID, Attempt: a.Attempt, Index: r.request.Index, Snapshot: r.shardMap.Version, Shards: a.Shards,
		Query: r.request.Query, Limit: r.request.Limit, Plan: r.request.Plan, Priority: r.priority,
		Cleared: r.request.Cleared,
	}
	r.service.counters.Counter("groups_sent").Add(1)
	go func() {
		defer cancel()
		start := time.Now()
		p := r.callRelay(ctx, a.Relay, call)
		if p.Outcome == query.OutcomeAnswered && p.Attempt == a.Attempt {
			r.observe(a, p, time.Since(start))
		}
		select {
		case r.replies <- attemptPartial{attempt: a.Attempt, partial: p}:
		case <-ctx.Done():
		}
	}()
}

// callRelay sends the group to the relay, or runs it directly if the relay is this instance.
func (r *groupRun) callRelay(ctx context.Context, relay string, call peer.GroupRequest) peer.GroupResponse {
	timeLeft := time.Until(r.request.Deadline)
	if relay == r.service.instance {
		call.TimeLeft = timeLeft
		return r.service.RunGroup(ctx, call)
	}
	call.TimeLeft = timeLeft - r.index.returnTime()
	address, ok := r.service.peerAddress(relay)
	if !ok {
		return peer.GroupResponse{Reply: group.Reply{Attempt: call.Attempt, Outcome: query.OutcomeNotRun}}
	}
	return r.service.relayClient.Scatter(ctx, address, call)
}

func (r *groupRun) observe(a group.Action, p peer.GroupResponse, took time.Duration) {
	if g, ok := r.groupPlacement.GroupOf(a.Shards[0]); ok {
		r.index.observeGroup(g.ID, p, took)
	}
}

// RunGroup implements relay.Backend. It runs the query on the shards of a group at the targets that this instance
// holds. A snapshot that is gone is reported to the entry instance, since only it can restart the whole query.
func (s *Service) RunGroup(ctx context.Context, g peer.GroupRequest) peer.GroupResponse {
	start := time.Now()
	p := peer.GroupResponse{Reply: group.Reply{Attempt: g.Attempt, Outcome: query.OutcomeWrongShard}}
	ix, ok := s.lookup(g.Index)
	if !ok || !ix.holdsAll(g.Shards) {
		return p
	}
	req := query.Request{
		ID: g.Request, Plan: g.Plan, Index: g.Index, Query: g.Query, Limit: g.Limit, Deadline: start.Add(g.TimeLeft),
		PreferCoverage: s.prefersCoverage(g.Plan), Priority: query.ParsePriority(g.Priority), Cleared: g.Cleared,
	}
	guard := s.newGuard(ix, req)
	switch {
	case g.Canary:
		return guard.runRelayedCanary(ctx, g)
	case g.Cleared:
		s.suspects.recordAnswer(guard)
	case s.suspects.restricted(guard.fingerprint):
		return quarantinedPartial(g)
	}
	admitted, refused := ix.admit(ix.relayAdmission, req.Priority, g.TimeLeft)
	if refused != nil {
		s.counters.Counter("relay_refused_" + req.Priority.String() + "_" + refused.verdict.String()).Add(1)
		p.Outcome = query.OutcomeShed
		return p
	}
	req.Overloaded = admitted.ticket.Overloaded
	requested := query.Map{Version: g.Snapshot, Shards: g.Shards}
	p.Answer = s.newShardRun(ix, req, requested, nil, start).loop(ctx).answer
	admitted.end(ctx.Err() == nil, p.Answer.Coverage)
	p.Outcome = query.OutcomeAnswered
	p.Versions = ix.versionReport(requested)
	p.Took = time.Since(start)
	return p
}

func (s *Service) priorityOf(plan string) string {
	lists, _ := s.config.InForce()
	return string(lists.Plans[plan].Value.Priority)
}
