package faultcase

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/emulator/measure"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/scatter"
)

const (
	shardCount = 4
	snapshot   = query.Version(7)
	// replyDelay is the time from a send to the reply of a target without a fault.
	replyDelay = 5 * time.Millisecond
	deadline   = 200 * time.Millisecond
	// warmUpQueries is the number of queries before the fault. They are sent two at a time so that both replicas of
	// a shard get attempts. A target gets no hedges until its cold start ends with its 8th answer; there are 8 targets.
	warmUpQueries = 80
)

// cluster is one instance and two replicas of each shard.
type cluster struct {
	loop        *measure.Loop
	pool        *scatter.Pool
	lastAttempt query.AttemptID
	// intercept injects the fault. It returns true if it delivers the reply itself; nil injects none.
	intercept func(q *activeQuery, a scatter.Action, r query.Reply) bool
}

// activeQuery is one running query.
type activeQuery struct {
	cluster  *cluster
	request  query.Request
	machine  *trace.Machine
	attempts map[query.Shard]int // number of attempts by shard
	ended    bool
	nextWake time.Time
}

func newCluster(loop *measure.Loop) *cluster {
	c := &cluster{loop: loop, pool: scatter.NewPool("a", rand.New(rand.NewPCG(1, 1)))}
	var targets []query.Target
	for s := range shardCount {
		for _, replica := range []string{"x", "y"} {
			targets = append(targets, query.Target{
				ID: query.TargetID(fmt.Sprintf("s%d%s", s, replica)), FailureDomain: "a", Index: "signs",
				Shards: []query.Shard{query.Shard(s)}, Connections: 25,
			})
		}
	}
	c.pool.SetTargets(targets)
	for i := range warmUpQueries {
		runAt(loop, time.Duration(i/2)*10*time.Millisecond, func() { c.startQuery(query.RequestID(1000+i), nil) })
	}
	return c
}

// faultAt is the start time of the recorded queries, after the warm-up.
const faultAt = time.Second

// startQuery starts a query. It is recorded unless r is nil.
func (c *cluster) startQuery(id query.RequestID, r *trace.Recorder) *activeQuery {
	shards := make([]query.Shard, shardCount)
	for i := range shards {
		shards[i] = query.Shard(i)
	}
	q := &activeQuery{cluster: c, attempts: map[query.Shard]int{}}
	q.request = query.Request{ID: id, Plan: "proof-desk", Index: "signs", Limit: 10, Deadline: c.loop.Now().Add(deadline)}
	q.machine = trace.NewMachine(scatter.Config{
		Request: q.request, Map: query.Map{Version: snapshot, Shards: shards}, Policy: c.pool,
		NextAttempt: func() query.AttemptID { c.lastAttempt++; return c.lastAttempt },
	}, r)
	q.perform(q.machine.Start(c.loop.Now()))
	return q
}

func (q *activeQuery) perform(actions []scatter.Action) {
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			q.send(a)
		case scatter.Finish:
			q.ended = true
		}
	}
	if q.ended {
		q.machine.Answer()
		return
	}
	nextWake := q.machine.NextWake()
	q.nextWake = nextWake
	q.cluster.loop.At(nextWake, func() {
		if !q.ended && q.nextWake.Equal(nextWake) {
			q.perform(q.machine.OnWake(q.cluster.loop.Now()))
		}
	})
}

func (q *activeQuery) send(a scatter.Action) {
	q.attempts[a.Shard]++
	r := query.Reply{
		Attempt: a.Attempt, Request: q.request.ID, Shard: a.Shard, Snapshot: snapshot, Outcome: query.OutcomeAnswered,
		Hits: []query.Hit{{ID: fmt.Sprintf("%d/%d", q.request.ID, a.Shard), Score: float64(a.Shard)}},
	}
	if q.cluster.intercept != nil && q.cluster.intercept(q, a, r) {
		return
	}
	q.deliver(replyDelay, a.Attempt, r)
}

func (q *activeQuery) deliver(delay time.Duration, attempt query.AttemptID, r query.Reply) {
	q.cluster.loop.After(delay, func() {
		if !q.ended {
			q.perform(q.machine.OnReply(q.cluster.loop.Now(), attempt, r))
		}
	})
}

// slowReplica delays the reply to the first attempt for shard 0 beyond the deadline.
func slowReplica(loop *measure.Loop, r *trace.Recorder) {
	c := newCluster(loop)
	runAt(loop, faultAt, func() {
		c.intercept = func(q *activeQuery, a scatter.Action, reply query.Reply) bool {
			if a.Shard == 0 && q.attempts[0] == 1 {
				q.deliver(2*deadline, a.Attempt, reply)
				return true
			}
			return false
		}
		c.startQuery(1, r)
	})
}

// targetCrash makes the target of the first attempt for shard 1 crash after 3 ms.
func targetCrash(loop *measure.Loop, r *trace.Recorder) {
	c := newCluster(loop)
	runAt(loop, faultAt, func() {
		c.intercept = func(q *activeQuery, a scatter.Action, reply query.Reply) bool {
			if a.Shard == 1 && q.attempts[1] == 1 {
				reply.Outcome, reply.Hits = query.OutcomeCrashed, nil
				q.deliver(3*time.Millisecond, a.Attempt, reply)
				return true
			}
			return false
		}
		c.startQuery(1, r)
	})
}

// droppedSnapshot runs a query whose snapshot both replicas of shard 2 have dropped.
func droppedSnapshot(loop *measure.Loop, r *trace.Recorder) {
	c := newCluster(loop)
	runAt(loop, faultAt, func() {
		c.intercept = func(q *activeQuery, a scatter.Action, reply query.Reply) bool {
			if a.Shard == 2 {
				reply.Outcome, reply.Hits = query.OutcomeSnapshotGone, nil
				q.deliver(time.Millisecond, a.Attempt, reply)
				return true
			}
			return false
		}
		c.startQuery(1, r)
	})
}

// crossedReplies swaps the first replies for shard 0 of two queries. In query 1, the reply to the first attempt for
// shard 1 arrives after that of its hedge; the late reply of shard 3 keeps query 1 running until then.
func crossedReplies(loop *measure.Loop, r *trace.Recorder) {
	c := newCluster(loop)
	runAt(loop, faultAt, func() {
		var delayed *delayedReply
		c.intercept = func(q *activeQuery, a scatter.Action, reply query.Reply) bool {
			first := q.attempts[a.Shard] == 1
			switch {
			case a.Shard == 0 && first && delayed == nil:
				delayed = &delayedReply{query: q, attempt: a.Attempt, reply: reply}
			case a.Shard == 0 && first:
				delayed.query.deliver(replyDelay, delayed.attempt, reply)
				q.deliver(replyDelay, a.Attempt, delayed.reply)
			case a.Shard == 1 && first && q.request.ID == 1:
				q.deliver(60*time.Millisecond, a.Attempt, reply)
			case a.Shard == 3 && q.request.ID == 1:
				q.deliver(90*time.Millisecond, a.Attempt, reply)
			default:
				return false
			}
			return true
		}
		c.startQuery(1, r)
		c.startQuery(2, r)
	})
}

// delayedReply is a reply that is delayed until it can be swapped with another one.
type delayedReply struct {
	query   *activeQuery
	attempt query.AttemptID
	reply   query.Reply
}
