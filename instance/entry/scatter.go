package entry

import (
	"context"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/scatter"
)

// run performs the actions of one scatter.Machine. Only its own goroutine uses the machine.
type run struct {
	service *Service
	index   *index
	request query.Request
	version query.Version
	machine *scatter.Machine
	replies chan sentReply
	cancels map[query.AttemptID]context.CancelFunc
}

type sentReply struct {
	attempt query.AttemptID
	reply   query.Reply
}

// scatter asks all shards of an index and returns the merged answer.
func (s *Service) scatter(ctx context.Context, ix *index, req query.Request) (query.Answer, *problem.Problem) {
	shardMap, known := ix.chooseSnapshot()
	if !known {
		return query.Answer{}, refusal(http.StatusServiceUnavailable, problem.NotReady, "index "+req.Index+" has no snapshot yet")
	}
	r := &run{
		service: s, index: ix, request: req, version: shardMap.Version,
		machine: scatter.New(scatter.Config{Request: req, Map: shardMap, Policy: ix, NextAttempt: s.nextAttempt}),
		replies: make(chan sentReply, len(shardMap.Shards)),
		cancels: make(map[query.AttemptID]context.CancelFunc, len(shardMap.Shards)),
	}
	return r.loop(ctx), nil
}

func (r *run) loop(caller context.Context) query.Answer {
	ctx, cancel := context.WithCancel(caller)
	defer cancel() // ends all attempts that are still in flight
	finished := r.perform(ctx, r.machine.Start(time.Now()))
	timer := time.NewTimer(time.Until(r.machine.NextWake()))
	defer timer.Stop()
	for !finished {
		select {
		case s := <-r.replies:
			finished = r.perform(ctx, r.machine.OnReply(time.Now(), s.attempt, s.reply))
		case <-timer.C:
			finished = r.perform(ctx, r.machine.OnWake(time.Now()))
		case <-caller.Done():
			r.machine.Abandon(time.Now())
			finished = true
		}
		timer.Reset(time.Until(r.machine.NextWake()))
	}
	for reason, n := range r.machine.Dropped() {
		r.service.counters.Counter(reason).Add(n)
	}
	return r.machine.Answer()
}

// perform returns true if the machine has finished.
func (r *run) perform(ctx context.Context, actions []scatter.Action) bool {
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

func (r *run) send(ctx context.Context, a scatter.Action) {
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
		reply := r.service.targets.Search(ctx, call)
		select {
		case r.replies <- sentReply{attempt: a.Attempt, reply: reply}:
		case <-ctx.Done():
		}
	}()
}
