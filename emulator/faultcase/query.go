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
	// answerTime is the time from a send to the answer of a target without a fault.
	answerTime = 5 * time.Millisecond
	deadline   = 200 * time.Millisecond
	// warmUps is the number of queries before the fault, two at a time so that both replicas of a shard
	// are asked. 8 answers of each of the 8 targets end its cold start; before that, no hedge goes to it.
	warmUps = 80
)

// world is one instance with the two replicas of each shard.
type world struct {
	loop   *measure.Loop
	pool   *scatter.Pool
	last   query.AttemptID
	faulty func(f *flight, a scatter.Action, r query.Reply) bool // delivers the reply itself if true
}

// flight is one query.
type flight struct {
	world   *world
	request query.Request
	machine *trace.Machine
	sent    map[query.Shard]int // attempts by shard
	ended   bool
	wake    time.Time
}

func newWorld(loop *measure.Loop) *world {
	w := &world{loop: loop, pool: scatter.NewPool("a", rand.New(rand.NewPCG(1, 1)))}
	var targets []query.Target
	for s := range shardCount {
		for _, replica := range []string{"x", "y"} {
			targets = append(targets, query.Target{
				ID: query.TargetID(fmt.Sprintf("s%d%s", s, replica)), FailureDomain: "a", Index: "signs",
				Shards: []query.Shard{query.Shard(s)}, Connections: 25,
			})
		}
	}
	w.pool.SetTargets(targets)
	for i := range warmUps {
		after(loop, time.Duration(i/2)*10*time.Millisecond, func() { w.start(query.RequestID(1000+i), nil) })
	}
	return w
}

// faultAt is the time of the queries that are recorded, after the warm-up.
const faultAt = time.Second

// start runs a query. It is recorded unless r is nil.
func (w *world) start(id query.RequestID, r *trace.Recorder) *flight {
	shards := make([]query.Shard, shardCount)
	for i := range shards {
		shards[i] = query.Shard(i)
	}
	f := &flight{world: w, sent: map[query.Shard]int{}}
	f.request = query.Request{ID: id, Plan: "proof-desk", Index: "signs", Limit: 10, Deadline: w.loop.Now().Add(deadline)}
	f.machine = trace.NewMachine(scatter.Config{
		Request: f.request, Map: query.Map{Version: snapshot, Shards: shards}, Policy: w.pool,
		NextAttempt: func() query.AttemptID { w.last++; return w.last },
	}, r)
	f.perform(f.machine.Start(w.loop.Now()))
	return f
}

func (f *flight) perform(actions []scatter.Action) {
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			f.send(a)
		case scatter.Finish:
			f.ended = true
		}
	}
	if f.ended {
		f.machine.Answer()
		return
	}
	wake := f.machine.NextWake()
	f.wake = wake
	f.world.loop.At(wake, func() {
		if !f.ended && f.wake.Equal(wake) {
			f.perform(f.machine.OnWake(f.world.loop.Now()))
		}
	})
}

func (f *flight) send(a scatter.Action) {
	f.sent[a.Shard]++
	r := query.Reply{
		Attempt: a.Attempt, Request: f.request.ID, Shard: a.Shard, Snapshot: snapshot, Outcome: query.OutcomeAnswered,
		Hits: []query.Hit{{ID: fmt.Sprintf("%d/%d", f.request.ID, a.Shard), Score: float64(a.Shard)}},
	}
	if f.world.faulty != nil && f.world.faulty(f, a, r) {
		return
	}
	f.deliver(answerTime, a.Attempt, r)
}

func (f *flight) deliver(after time.Duration, sent query.AttemptID, r query.Reply) {
	f.world.loop.After(after, func() {
		if !f.ended {
			f.perform(f.machine.OnReply(f.world.loop.Now(), sent, r))
		}
	})
}

// slowReplica: the target of the first attempt at shard 0 takes longer than the deadline.
func slowReplica(loop *measure.Loop, r *trace.Recorder) {
	w := newWorld(loop)
	after(loop, faultAt, func() {
		w.faulty = func(f *flight, a scatter.Action, reply query.Reply) bool {
			if a.Shard == 0 && f.sent[0] == 1 {
				f.deliver(2*deadline, a.Attempt, reply)
				return true
			}
			return false
		}
		w.start(1, r)
	})
}

// targetCrash: the target of the first attempt at shard 1 crashes after 3 ms.
func targetCrash(loop *measure.Loop, r *trace.Recorder) {
	w := newWorld(loop)
	after(loop, faultAt, func() {
		w.faulty = func(f *flight, a scatter.Action, reply query.Reply) bool {
			if a.Shard == 1 && f.sent[1] == 1 {
				reply.Outcome, reply.Hits = query.OutcomeCrashed, nil
				f.deliver(3*time.Millisecond, a.Attempt, reply)
				return true
			}
			return false
		}
		w.start(1, r)
	})
}

// droppedSnapshot: both replicas of shard 2 have dropped the snapshot of the query.
func droppedSnapshot(loop *measure.Loop, r *trace.Recorder) {
	w := newWorld(loop)
	after(loop, faultAt, func() {
		w.faulty = func(f *flight, a scatter.Action, reply query.Reply) bool {
			if a.Shard == 2 {
				reply.Outcome, reply.Hits = query.OutcomeSnapshotGone, nil
				f.deliver(time.Millisecond, a.Attempt, reply)
				return true
			}
			return false
		}
		w.start(1, r)
	})
}

// crossedReplies: two queries get each other's first reply for shard 0. In query 1, the answer of the
// first attempt at shard 1 comes after that of its hedge. Shard 3 keeps query 1 open until then.
func crossedReplies(loop *measure.Loop, r *trace.Recorder) {
	w := newWorld(loop)
	after(loop, faultAt, func() {
		var waiting *parcel
		w.faulty = func(f *flight, a scatter.Action, reply query.Reply) bool {
			first := f.sent[a.Shard] == 1
			switch {
			case a.Shard == 0 && first && waiting == nil:
				waiting = &parcel{flight: f, sent: a.Attempt, reply: reply}
			case a.Shard == 0 && first:
				waiting.flight.deliver(answerTime, waiting.sent, reply)
				f.deliver(answerTime, a.Attempt, waiting.reply)
			case a.Shard == 1 && first && f.request.ID == 1:
				f.deliver(60*time.Millisecond, a.Attempt, reply)
			case a.Shard == 3 && f.request.ID == 1:
				f.deliver(90*time.Millisecond, a.Attempt, reply)
			default:
				return false
			}
			return true
		}
		w.start(1, r)
		w.start(2, r)
	})
}

// parcel is a reply that waits for another one to be swapped with.
type parcel struct {
	flight *flight
	sent   query.AttemptID
	reply  query.Reply
}
