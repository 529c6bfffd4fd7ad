package entry

import (
	"context"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

// shardRun performs the actions of one scatter.Machine. Only the goroutine that calls loop uses the machine.
type shardRun struct {
	service *Service
	index   *index
	request query.Request
	guard   *guard
	version query.Version
	start   time.Time // of the query
	relayed bool      // this instance is the relay of another one's query
	restart *snapshot.Restart
	machine *trace.Machine
	replies chan attemptReply
	cancels map[query.AttemptID]context.CancelFunc
}

type attemptReply struct {
	attempt query.AttemptID
	target  query.TargetID
	shard   query.Shard
	reply   query.Reply
}

// runResult is the result of one run at one snapshot.
type runResult struct {
	answer query.Answer
	// mayHaveRun is true if a target may have run a part of the query.
	mayHaveRun bool
	// mustRestart is true if the query must run again at restartMap; answer is not used then.
	mustRestart bool
	restartMap  query.Map
}

// scatter runs a query on all shards of an index. It returns the merged answer and whether a target may have run a part
// of the query.
func (s *Service) scatter(ctx context.Context, ix *index, req query.Request) (query.Answer, bool, *problem.Problem) {
	start := time.Now()
	shardMap, ok := ix.chooseSnapshot()
	if !ok {
		return query.Answer{}, false, refusal(http.StatusServiceUnavailable, problem.NotReady, "index "+req.Index+" has no snapshot yet")
	}
	restart := snapshot.NewRestart(shardMap.Version, req.Deadline)
	g := s.newGuard(ix, req)
	for {
		if p := g.admit(ctx, shardMap); p != nil {
			return query.Answer{}, g.sent, p
		}
		r := s.runOnce(ctx, ix, g.request, shardMap, restart, start)
		g.sent = g.sent || r.mayHaveRun
		if !r.mustRestart && g.onAnswer(r.answer) {
			continue
		}
		if !r.mustRestart {
			if r.answer.Coverage.Complete() {
				ix.recordLatency(time.Since(start))
			}
			return r.answer, g.sent, nil
		}
		s.counters.Counter("search_restarts").Add(1)
		shardMap = r.restartMap
	}
}

// runOnce runs a query at one snapshot, with a fan-out of one level or two.
func (s *Service) runOnce(ctx context.Context, ix *index, req query.Request, m query.Map, restart *snapshot.Restart, start time.Time) runResult {
	if groupPlacement, twoLevels := ix.twoLevelPlacement(); twoLevels {
		return s.newGroupRun(ix, groupPlacement, req, m, restart, start).loop(ctx)
	}
	return s.newShardRun(ix, req, m, restart, start).loop(ctx)
}

// newShardRun returns a run over the targets that this instance holds. restart is nil on a relay, which does not
// restart queries.
func (s *Service) newShardRun(ix *index, req query.Request, shardMap query.Map, restart *snapshot.Restart, start time.Time) *shardRun {
	cfg := scatter.Config{
		Request: req, Map: shardMap, Policy: ix.policyAt(shardMap.Version), NextAttempt: s.nextAttempt,
	}
	return &shardRun{
		service: s, index: ix, request: req, guard: s.newGuard(ix, req), version: shardMap.Version, restart: restart,
		start: start, relayed: restart == nil,
		machine: trace.NewMachine(cfg, s.recorder),
		replies: make(chan attemptReply, len(shardMap.Shards)),
		cancels: make(map[query.AttemptID]context.CancelFunc, len(shardMap.Shards)),
	}
}

// loop runs the query until it is finished or must restart, or until the caller's context is done.
func (r *shardRun) loop(caller context.Context) runResult {
	ctx, cancel := context.WithCancel(caller)
	defer cancel() // cancels the attempts that are still in flight
	defer func() { r.service.countDropped(r.machine.Dropped()) }()
	finished := r.perform(ctx, r.machine.Start(time.Now()))
	alarm := kernel.NewAlarm(time.Until(r.machine.NextWake()))
	defer alarm.Stop()
	for !finished {
		select {
		case ar := <-r.replies:
			if m, mustRestart := r.index.restartOnReply(r.restart, ar.shard, ar.reply.Outcome); mustRestart {
				r.abandon()
				return runResult{mayHaveRun: r.machine.MayHaveRun(), mustRestart: true, restartMap: m}
			}
			r.handleOutcome(ar)
			finished = r.perform(ctx, r.machine.OnReply(time.Now(), ar.attempt, ar.reply))
		case <-alarm.C:
			finished = r.perform(ctx, r.machine.OnWake(time.Now()))
		case <-caller.Done():
			finished = true
		}
		alarm.Set(time.Until(r.machine.NextWake()))
	}
	r.abandon()
	answer := r.machine.Answer()
	m, mustRestart := r.index.restartOnFinish(r.restart, answer.Coverage)
	if !mustRestart {
		r.service.recordIfSlow(caller, r.request, r.start, r.relayed, answer.Coverage, r.slowest)
	}
	return runResult{answer: answer, mayHaveRun: r.machine.MayHaveRun(), mustRestart: mustRestart, restartMap: m}
}

// handleOutcome acts on the outcome of an attempt beyond the machine: it marks a draining target, clears a request that
// was answered, and records a crash that happened before any target answered.
func (r *shardRun) handleOutcome(ar attemptReply) {
	if ar.reply.Attempt != ar.attempt {
		return
	}
	switch ar.reply.Outcome {
	case query.OutcomeDraining:
		r.service.onDraining(r.index, ar.target)
	case query.OutcomeAnswered:
		r.guard.request.Cleared = true
	case query.OutcomeCrashed:
		if !r.guard.request.Cleared {
			r.guard.recordCrash(quarantine.Crash{Shard: ar.shard, Target: ar.target})
		}
	}
}

// abandon ends the attempts that are still in flight. They may have run.
func (r *shardRun) abandon() { r.machine.Abandon(time.Now()) }

// countDropped counts the replies that a machine dropped, by reason.
func (s *Service) countDropped(dropped map[string]int64) {
	for reason, n := range dropped {
		s.counters.Counter(reason).Add(n)
	}
}

// perform performs actions of the machine and returns true if the machine has finished.
func (r *shardRun) perform(ctx context.Context, actions []scatter.Action) bool {
	finished := false
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			r.send(ctx, a)
		case scatter.Cancel:
			r.cancels[a.Attempt]()
		case scatter.Finish:
			finished = true
		}
	}
	return finished
}

func (r *shardRun) send(ctx context.Context, a scatter.Action) {
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	r.cancels[a.Attempt] = cancel
	call := target.Search{
		Address: r.index.address(a.Target), Request: r.request.ID, Attempt: a.Attempt, Index: r.request.Index,
		Shard: a.Shard, Snapshot: r.version, Query: r.request.Query, Limit: r.request.Limit,
		TimeLeft: a.TimeLeft,
	}
	r.service.counters.Counter("attempts_sent").Add(1)
	go func() {
		defer cancel()
		reply := r.service.targetClient.Search(ctx, call)
		if reportsVersions(a.Attempt, reply) {
			r.index.observeVersions(a.Target, reply.HeldVersions)
		}
		select {
		case r.replies <- attemptReply{attempt: a.Attempt, target: a.Target, shard: a.Shard, reply: reply}:
		case <-ctx.Done():
		}
	}()
}

// reportsVersions reports whether the reply lists the versions that the target of the attempt holds. An empty list is
// valid only with query.OutcomeSnapshotGone, since a failed call has an empty list as well.
func reportsVersions(sent query.AttemptID, r query.Reply) bool {
	return r.Attempt == sent && (len(r.HeldVersions) > 0 || r.Outcome == query.OutcomeSnapshotGone)
}
