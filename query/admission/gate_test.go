package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/admission"
)

// overload replays four times the load that the targets can carry: 10 shards, each with 6 slots of 80 ms
// and a queue of 36, and requests that need a part of every shard within 1.2 s. A part that finds the
// queue full is refused, and its request is lost.
type overload struct {
	gate   *admission.Gate // nil lets everything in
	source *rand.Rand
	free   [shardCount][]time.Duration // when each slot is free
	events queue
	good   int
	asked  int
}

const (
	shardCount = 10
	slots      = 6
	queueLimit = 36
	service    = 80 * time.Millisecond
	objective  = 600 * time.Millisecond
	interval   = service / slots / 4 // between two requests
	span       = 20 * time.Second
)

type event struct {
	at     time.Duration
	start  time.Duration
	result admission.Result
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (o *overload) run() float64 {
	for i := range o.free {
		o.free[i] = make([]time.Duration, slots)
	}
	for now := time.Duration(0); now < span; now += interval {
		for len(o.events) > 0 && o.events[0].at <= now {
			o.end(heap.Pop(&o.events).(event))
		}
		o.asked++
		if o.gate == nil || o.gate.Admit(1) {
			heap.Push(&o.events, o.start(now))
		}
	}
	return float64(o.good) / float64(o.asked)
}

// start sends a part to every shard.
func (o *overload) start(now time.Duration) event {
	e := event{at: now, start: now}
	for i := range o.free {
		slot := 0
		waiting := time.Duration(0)
		for j, free := range o.free[i] {
			if free < o.free[i][slot] {
				slot = j
			}
			waiting += max(0, free-now)
		}
		if waiting > (slots+queueLimit)*service {
			e.result = admission.RefusedByTargets
			continue
		}
		begin := max(now, o.free[i][slot])
		o.free[i][slot] = begin + time.Duration(float64(service)*(0.3+1.4*o.source.Float64()))
		e.at = max(e.at, o.free[i][slot])
	}
	if e.result == admission.InTime && e.at-now > objective {
		e.result = admission.Late
	}
	return e
}

func (o *overload) end(e event) {
	if e.result == admission.InTime {
		o.good++
	}
	if o.gate != nil {
		o.gate.Done(time.Unix(0, 0).Add(e.at), e.at-e.start, e.result)
	}
}

// Guards against targets that work at full load for requests which are lost all the same: with a quarter of
// the capacity asked for, nearly none was served in time.
func TestGateServesMoreUnderOverload(t *testing.T) {
	without := (&overload{source: rand.New(rand.NewPCG(1, 1))}).run()
	with := (&overload{source: rand.New(rand.NewPCG(1, 1)), gate: admission.NewGate()}).run()
	t.Logf("served in time: %.3f with the gate, %.3f without; capacity %.3f", with, without, 0.25)
	require.Less(t, without, 0.05, "otherwise the load is no test")
	require.Greater(t, with, 0.15, "more than half of what the targets can carry")
}

// Guards against a gate that refuses under ordinary load because a few answers are late, that stays low
// after an overload, or that lets a less urgent request in before a more urgent one.
func TestGate(t *testing.T) {
	g := admission.NewGate()
	now := time.Unix(1000, 0)
	step := func(r admission.Result) {
		now = now.Add(30 * time.Millisecond)
		require.True(t, g.Admit(2))
		g.Done(now, 40*time.Millisecond, r)
	}
	for i := range 3000 {
		r := admission.InTime
		if i%10 == 0 {
			r = admission.Late
		}
		step(r)
	}
	for range 200 {
		step(admission.RefusedByTargets)
	}
	fill := func(rank int) int {
		n := 0
		for g.Admit(rank) {
			n++
		}
		return n
	}
	low := fill(3)
	require.GreaterOrEqual(t, low, 4)
	inFlight := low + fill(1)
	require.Greater(t, inFlight, low, "there is room for more urgent ones")
	require.Zero(t, fill(3))
	after := inFlight
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		g.Done(now, 40*time.Millisecond, admission.InTime)
		after += fill(1) - 1
	}
	require.Greater(t, after, 3*inFlight, "the number rises again")
	require.GreaterOrEqual(t, g.RetryAfter(0), 50*time.Millisecond)
	require.LessOrEqual(t, g.RetryAfter(1), 4*50*time.Millisecond)
}
