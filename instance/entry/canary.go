package entry

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/quarantine"
)

const (
	// canaryPollInterval is the interval at which a request checks whether the canary of another request with
	// the same text has ended. It is below the mean service time.
	canaryPollInterval = time.Millisecond
	// maxCanaryTargets is the number of targets to which a canary is sent in turn if they refuse it or cannot be
	// reached.
	maxCanaryTargets = 4
	// canaryTimeoutDivisor is the divisor of the time left until the deadline that gives the timeout of a canary.
	canaryTimeoutDivisor = 4
)

// runCanary sends the request to one target and, if the request certainly did not run there, to a target of another
// shard. It returns true if the quarantine list must be consulted again: the canary was answered or crashed its
// target. Otherwise a request that is not suspected may run on all shards, since a timeout or a refusal does not
// indicate a crash, and a suspected one is refused.
func (g *guard) runCanary(ctx context.Context, m query.Map) (*problem.Problem, bool) {
	s := g.service
	s.counters.Counter("canaries_sent").Add(1)
	defer s.suspects.withList(func(l *quarantine.List) { l.EndCanary(g.fingerprint) })
	candidates := g.canaryTargets(m)
	for _, candidate := range candidates[:min(maxCanaryTargets, len(candidates))] {
		outcome := g.sendCanary(ctx, m.Version, candidate)
		g.sent = g.sent || !outcome.CertainlyNotRun()
		switch outcome {
		case query.OutcomeAnswered:
			s.suspects.recordAnswer(g)
			g.request.Cleared = true
			return nil, true
		case query.OutcomeCrashed:
			g.recordCanaryCrash(candidate)
			return nil, true
		}
		if !outcome.CertainlyNotRun() {
			break // The canary may still run there, and only one may run at a time.
		}
		if outcome == query.OutcomeNotRun && g.awaitPeerCrash(ctx) {
			return nil, true
		}
	}
	if s.suspects.restricted(g.fingerprint) {
		return g.refuse(), false
	}
	return nil, false
}

// canaryTargets returns the targets on which a canary may run, in order of preference. A relay chooses its target by
// the fingerprint alone, so with two levels an index of one shard has no other target after a crash.
func (g *guard) canaryTargets(m query.Map) []quarantine.Crash {
	targets := g.index.allTargets()
	var avoidShards []query.Shard
	var crashes []quarantine.Crash
	g.service.suspects.withList(func(l *quarantine.List) {
		now := time.Now()
		avoidShards, crashes = l.CrashedShards(now, g.fingerprint), l.RecentCrashes(now, g.fingerprint)
	})
	if _, twoLevels := g.index.twoLevelPlacement(); len(m.Shards) == 1 && !twoLevels {
		return quarantine.SingleShardCanaryTargets(g.fingerprint, m.Shards[0], targets, crashes)
	}
	return quarantine.CanaryTargets(g.fingerprint, m, targets, avoidShards)
}

// awaitPeerCrash waits for suspicions that peers are sending and reports whether one added a crash on this request:
// a target that could not be reached may have crashed on the same request from another instance. Without the wait,
// the canary would be sent to a third target.
func (g *guard) awaitPeerCrash(ctx context.Context) bool {
	before := g.service.suspects.crashCount(g.fingerprint)
	kernel.Sleep(ctx, peerReportTimeout)
	return g.service.suspects.crashCount(g.fingerprint) != before
}

// sendCanary sends the canary to one shard at one target, directly or through a relay that holds the target.
func (g *guard) sendCanary(ctx context.Context, v query.Version, candidate quarantine.Crash) query.Outcome {
	timeout := time.Until(g.request.Deadline) / canaryTimeoutDivisor
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	groupPlacement, twoLevels := g.index.twoLevelPlacement()
	if !twoLevels {
		return g.searchOnce(ctx, v, candidate, timeout)
	}
	call := peer.GroupRequest{
		Request: g.request.ID, Attempt: g.service.nextAttempt(), Index: g.request.Index, Snapshot: v,
		Shards: []query.Shard{candidate.Shard}, Query: g.request.Query, Limit: g.request.Limit, Plan: g.request.Plan,
		TimeLeft: timeout, Canary: true,
	}
	grp, known := groupPlacement.GroupOf(candidate.Shard)
	if !known {
		return query.OutcomeNotRun
	}
	for _, relay := range g.service.relaysOf(groupPlacement, grp.ID) {
		var p peer.GroupResponse
		if relay == g.service.instance {
			p = g.service.RunGroup(ctx, call)
		} else if address, ok := g.service.peerAddress(relay); ok {
			p = g.service.relayClient.Scatter(ctx, address, call)
		} else {
			continue
		}
		if !p.Outcome.CertainlyNotRun() {
			return canaryOutcome(call, p)
		}
	}
	return query.OutcomeNotRun
}

// canaryOutcome returns the outcome of a canary from the partial answer of the relay that ran it.
func canaryOutcome(call peer.GroupRequest, p peer.GroupResponse) query.Outcome {
	c := p.Answer.Coverage
	switch {
	case p.Outcome != query.OutcomeAnswered || p.Attempt != call.Attempt:
		return query.OutcomeUnknown
	case len(c.Included) == 1 && c.Included[0] == call.Shards[0]:
		return query.OutcomeAnswered
	case len(c.Missing) != 1 || c.Missing[0].Shard != call.Shards[0]:
		return query.OutcomeUnknown
	}
	switch c.Missing[0].Cause {
	case query.CauseCrashed:
		return query.OutcomeCrashed
	case query.CauseNoReplica:
		return query.OutcomeNotRun
	case query.CauseShed:
		return query.OutcomeShed
	}
	return query.OutcomeUnknown
}

// searchOnce sends one attempt to one target. If the reply does not match the attempt, the outcome is unknown.
func (g *guard) searchOnce(ctx context.Context, v query.Version, candidate quarantine.Crash, timeLeft time.Duration) query.Outcome {
	attempt := g.service.nextAttempt()
	r := g.service.targetClient.Search(ctx, target.Search{
		Address: g.index.address(candidate.Target), Request: g.request.ID, Attempt: attempt, Index: g.request.Index,
		Shard: candidate.Shard, Snapshot: v, Query: g.request.Query, Limit: g.request.Limit, TimeLeft: timeLeft,
	})
	if r.Attempt != attempt || r.Request != g.request.ID || r.Shard != candidate.Shard || r.Snapshot != v {
		return query.OutcomeUnknown
	}
	return r.Outcome
}

// runRelayedCanary runs a canary for another instance. The fingerprint determines the target, so that both instances
// choose the same one.
func (g *guard) runRelayedCanary(ctx context.Context, call peer.GroupRequest) peer.GroupResponse {
	p := peer.GroupResponse{Reply: group.Reply{Attempt: call.Attempt, Outcome: query.OutcomeWrongShard}}
	m := query.Map{Version: call.Snapshot, Shards: call.Shards}
	candidates := quarantine.CanaryTargets(g.fingerprint, m, g.index.allTargets(), nil)
	if len(candidates) != 1 {
		return p
	}
	p.Answer = query.Answer{Request: call.Request, Index: call.Index, Snapshot: call.Snapshot}
	p.Outcome = query.OutcomeAnswered
	cover := &p.Answer.Coverage
	switch o := g.searchOnce(ctx, call.Snapshot, candidates[0], call.TimeLeft); {
	case o == query.OutcomeAnswered:
		cover.Included = call.Shards
	case o == query.OutcomeCrashed:
		g.recordCanaryCrash(candidates[0])
		cover.Missing = []query.MissingShard{{Shard: call.Shards[0], Cause: query.CauseCrashed}}
	case o == query.OutcomeNotRun:
		cover.Missing = []query.MissingShard{{Shard: call.Shards[0], Cause: query.CauseNoReplica}}
	case o.CertainlyNotRun():
		cover.Missing = []query.MissingShard{{Shard: call.Shards[0], Cause: query.CauseShed}}
	default:
		cover.Missing = []query.MissingShard{{Shard: call.Shards[0], Cause: query.CauseUnreachable}}
	}
	return p
}

// quarantinedPartial returns the partial answer of a relay that sends no attempt because the request is quarantined.
func quarantinedPartial(call peer.GroupRequest) peer.GroupResponse {
	p := peer.GroupResponse{Reply: group.Reply{Attempt: call.Attempt, Outcome: query.OutcomeAnswered}}
	p.Answer = query.Answer{Request: call.Request, Index: call.Index, Snapshot: call.Snapshot}
	for _, shard := range call.Shards {
		p.Answer.Coverage.Missing = append(p.Answer.Coverage.Missing, query.MissingShard{Shard: shard, Cause: query.CauseQuarantined})
	}
	return p
}
