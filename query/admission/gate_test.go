package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/admission"
)

// overloadSim simulates four times the capacity of the targets: 10 shards, each with 6 slots, a service time
// of 80 ms and a queue of 36, and requests that need a part from every shard within the objective. A part
// that meets a full queue is refused, and its request is lost.
type overloadSim struct {
	gate   *admission.Gate // nil admits everything
	rng    *rand.Rand
	free   [shardCount][]time.Duration // when each slot becomes free
	events eventQueue
	inTime int
	total  int
}

const (
	shardCount      = 10
	slots           = 6
	queueLimit      = 36
	serviceTime     = 80 * time.Millisecond
	objective       = 600 * time.Millisecond
	arrivalInterval = serviceTime / slots / 4 // between two requests
	runTime         = 20 * time.Second
)

type event struct {
	at     time.Duration
	start  time.Duration
	result admission.Result
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (o *overloadSim) run() float64 {
	for i := range o.free {
		o.free[i] = make([]time.Duration, slots)
	}
	for now := time.Duration(0); now < runTime; now += arrivalInterval {
		for len(o.events) > 0 && o.events[0].at <= now {
			o.finish(heap.Pop(&o.events).(event))
		}
		o.total++
		if o.gate == nil || o.gate.Admit(1) {
			heap.Push(&o.events, o.start(now))
		}
	}
	return float64(o.inTime) / float64(o.total)
}

// start sends a part to every shard.
func (o *overloadSim) start(now time.Duration) event {
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
		if waiting > (slots+queueLimit)*serviceTime {
			e.result = admission.RefusedByTargets
			continue
		}
		begin := max(now, o.free[i][slot])
		o.free[i][slot] = begin + time.Duration(float64(serviceTime)*(0.3+1.4*o.rng.Float64()))
		e.at = max(e.at, o.free[i][slot])
	}
	if e.result == admission.InTime && e.at-now > objective {
		e.result = admission.Late
	}
	return e
}

func (o *overloadSim) finish(e event) {
	if e.result == admission.InTime {
		o.inTime++
	}
	if o.gate != nil {
		o.gate.Done(time.Unix(0, 0).Add(e.at), e.at-e.start, e.result)
	}
}

// Guards against targets that spend their capacity on requests that fail at another shard: at four times the
// capacity, nearly no request is served in time without the gate.
func TestGateServesMoreUnderOverload(t *testing.T) {
	withoutGate := (&overloadSim{rng: rand.New(rand.NewPCG(1, 1))}).run()
	withGate := (&overloadSim{rng: rand.New(rand.NewPCG(1, 1)), gate: admission.NewGate()}).run()
	t.Logf("served in time: %.3f with the gate, %.3f without; capacity %.3f", withGate, withoutGate, 0.25)
	require.Less(t, withoutGate, 0.05, "the load must overload the targets")
	require.Greater(t, withGate, 0.15, "more than half of the capacity of the targets")
}

// Guards against a gate that refuses under ordinary load because a few answers are late, whose limit stays
// low after an overload, or that admits less urgent requests where more urgent ones would be refused.
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
	require.Greater(t, inFlight, low, "more urgent requests are still admitted")
	require.Zero(t, fill(3))
	after := inFlight
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		g.Done(now, 40*time.Millisecond, admission.InTime)
		after += fill(1) - 1
	}
	require.Greater(t, after, 3*inFlight, "the limit rises again")
	require.GreaterOrEqual(t, g.RetryAfter(0), 50*time.Millisecond)
	require.LessOrEqual(t, g.RetryAfter(1), 4*50*time.Millisecond)
}
