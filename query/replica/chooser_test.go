package replica_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

var start = time.Unix(1000, 0)

const usual = 5 * time.Millisecond

// bench is a chooser over one shard with the replicas a (local), b and c, all warm.
type bench struct {
	*replica.Chooser
	t   *testing.T
	now time.Time
}

func list(ids ...query.TargetID) []query.Target {
	var targets []query.Target
	for _, id := range ids {
		targets = append(targets, query.Target{ID: id, FailureDomain: "d-" + string(id), Shards: []query.Shard{1}})
	}
	return targets
}

func newBench(t *testing.T) *bench {
	b := &bench{Chooser: replica.NewChooser("d-a", rand.New(rand.NewPCG(1, 1))), t: t, now: start}
	b.SetTargets(list("a", "b", "c"))
	for _, id := range []query.TargetID{"a", "b", "c"} {
		for range 40 {
			b.answer(id, usual)
		}
	}
	return b
}

// only returns an ask for the given target alone.
func only(id query.TargetID, use replica.AttemptKind) replica.Criteria {
	return replica.Criteria{Shard: 1, Kind: use, Unfit: func(t query.TargetID) bool { return t != id }}
}

func (b *bench) verdict(id query.TargetID, use replica.AttemptKind) replica.Verdict {
	_, v := b.Choose(b.now, only(id, use))
	if v == replica.Chosen {
		b.Release(id)
	}
	return v
}

func (b *bench) end(id query.TargetID, e replica.Result) {
	_, v := b.Choose(b.now, only(id, replica.First))
	require.Equal(b.t, replica.Chosen, v)
	b.now = b.now.Add(e.Elapsed)
	if e.Overdue {
		b.Overdue(id, b.now.Add(-e.Elapsed))
	}
	e.Target = id
	b.End(b.now, e)
}

func (b *bench) answer(id query.TargetID, d time.Duration) {
	b.end(id, replica.Result{Elapsed: d, Outcome: query.OutcomeAnswered})
}

func (b *bench) chosen(n int) map[query.TargetID]int {
	counts := map[query.TargetID]int{}
	for range n {
		p, _ := b.Choose(b.now, replica.Criteria{Shard: 1})
		counts[p.Target]++
		b.Release(p.Target)
	}
	return counts
}

// Guards against attempts to targets that are out of use, and against targets that stay out of use.
func TestOutcomesDecideFurtherUse(t *testing.T) {
	const ms = time.Millisecond
	lost := replica.Result{Elapsed: 300 * ms, Outcome: query.OutcomeUnknown, Overdue: true}
	cases := []struct {
		name       string
		ends       []replica.Result
		wait       time.Duration
		first, hdg replica.Verdict
	}{
		{"answers", nil, 0, replica.Chosen, replica.Chosen},
		{"draining", []replica.Result{{Outcome: query.OutcomeDraining}}, 0, replica.NoReplica, replica.NoReplica},
		{"draining for long", []replica.Result{{Outcome: query.OutcomeDraining}}, 9 * time.Minute, replica.NoReplica, replica.NoReplica},
		{"drained long ago", []replica.Result{{Outcome: query.OutcomeDraining}}, 10 * time.Minute, replica.Chosen, replica.NoReplica},
		{"shed", []replica.Result{{Outcome: query.OutcomeShed}}, 0, replica.Chosen, replica.Limited},
		{"shed a while ago", []replica.Result{{Outcome: query.OutcomeShed}}, time.Second, replica.Chosen, replica.Chosen},
		{"cold", []replica.Result{{Elapsed: ms, Outcome: query.OutcomeAnswered, Cold: true}}, 0, replica.Chosen, replica.Limited},
		{"connection refused", []replica.Result{{Outcome: query.OutcomeNotRun}}, 0, replica.NoReplica, replica.NoReplica},
		{"refused, probe due", []replica.Result{{Outcome: query.OutcomeNotRun}}, time.Second, replica.Chosen, replica.NoReplica},
		{"one unknown", []replica.Result{{Elapsed: ms, Outcome: query.OutcomeUnknown}}, 0, replica.Chosen, replica.Chosen},
		{"two unknown", []replica.Result{{Elapsed: ms, Outcome: query.OutcomeUnknown}, {Elapsed: ms, Outcome: query.OutcomeUnknown}}, 0, replica.NoReplica, replica.NoReplica},
		{"silent until closed", []replica.Result{lost}, 0, replica.NoReplica, replica.NoReplica},
		{"two silent losers", []replica.Result{{Elapsed: 50 * ms, Cancelled: true, Overdue: true}, {Elapsed: 50 * ms, Cancelled: true, Overdue: true}}, 0, replica.NoReplica, replica.NoReplica},
		{"losers of a race", []replica.Result{{Elapsed: ms, Cancelled: true}, {Elapsed: ms, Cancelled: true}}, 0, replica.Chosen, replica.Chosen},
		{"wrong shard", []replica.Result{{Outcome: query.OutcomeWrongShard}}, 0, replica.Chosen, replica.Chosen},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			for _, e := range c.ends {
				b.end("b", e)
			}
			b.now = b.now.Add(c.wait)
			require.Equal(t, c.hdg, b.verdict("b", replica.Hedge), "hedge")
			require.Equal(t, c.first, b.verdict("b", replica.First), "first")
		})
	}
}

// Guards against probes that run into each other, and against a returned target that gets the load
// of a warm one at once.
func TestOneProbeAtATime(t *testing.T) {
	b := newBench(t)
	b.end("b", replica.Result{Outcome: query.OutcomeNotRun})
	b.now = b.now.Add(time.Second)
	_, v := b.Choose(b.now, only("b", replica.First))
	require.Equal(t, replica.Chosen, v)
	require.Equal(t, replica.NoReplica, b.verdict("b", replica.First), "second probe")
	b.End(b.now, replica.Result{Target: "b", Elapsed: usual, Outcome: query.OutcomeAnswered})
	require.Equal(t, replica.Chosen, b.verdict("b", replica.First))
	require.Equal(t, replica.Limited, b.verdict("b", replica.Hedge), "cold")
}

// Guards against an answer to a request from before a drain that ends the drain.
func TestAnswerFromBeforeDrainChangesNothing(t *testing.T) {
	b := newBench(t)
	_, _ = b.Choose(b.now, only("b", replica.First))
	b.end("b", replica.Result{Outcome: query.OutcomeDraining})
	b.End(b.now.Add(usual), replica.Result{Target: "b", Elapsed: usual, Outcome: query.OutcomeAnswered})
	require.Equal(t, replica.NoReplica, b.verdict("b", replica.First))
	b.SetTargets(list("a", "c"))
	b.SetTargets(list("a", "b", "c"))
	require.Equal(t, replica.Chosen, b.verdict("b", replica.First), "listed again")
}

// Guards against choices that ignore latency, load, locality, silence or the mark in the list.
func TestChoicePrefersLowCost(t *testing.T) {
	const n = 300
	cases := []struct {
		name string
		do   func(b *bench)
		want func(t *testing.T, got map[query.TargetID]int)
	}{
		{"local", func(*bench) {}, func(t *testing.T, got map[query.TargetID]int) {
			require.Greater(t, got["a"], got["b"]+got["c"])
		}},
		{"slow", func(b *bench) {
			for range 20 {
				b.answer("a", 20*usual)
			}
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["a"]) }},
		{"loaded", func(b *bench) {
			for range 4 {
				_, _ = b.Choose(b.now, only("a", replica.First))
			}
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["a"]) }},
		{"silent", func(b *bench) {
			_, _ = b.Choose(b.now, only("a", replica.First))
			b.Overdue("a", b.now)
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["a"]) }},
		{"leaving", func(b *bench) {
			targets := list("a", "b", "c")
			targets[1].Leaving = true
			b.SetTargets(targets)
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["b"]) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.do(b)
			c.want(t, b.chosen(n))
		})
	}
}

// Guards against a slow target that is never tried again after it has recovered.
func TestLearntSlownessGetsStale(t *testing.T) {
	b := newBench(t)
	for range 20 {
		b.answer("a", 20*usual)
	}
	b.now = b.now.Add(2 * time.Minute)
	require.NotZero(t, b.chosen(300)["a"])
}

// Guards against more requests in flight than the learnt limit, and against a limit that stays low.
func TestLimitFollowsShedding(t *testing.T) {
	b := newBench(t)
	fill := func() (n int) {
		for ; ; n++ {
			if _, v := b.Choose(b.now, only("b", replica.First)); v != replica.Chosen {
				require.Equal(t, replica.Limited, v)
				break
			}
		}
		for range n {
			b.Release("b")
		}
		return n
	}
	before := fill()
	for range 5 {
		b.now = b.now.Add(time.Second)
		b.end("b", replica.Result{Outcome: query.OutcomeShed})
	}
	after := fill()
	require.Less(t, after, before)
	for range 200 {
		b.answer("b", usual)
	}
	require.Greater(t, fill(), after)
}

// BenchmarkKnownTarget measures the memory for each target that an instance knows.
func BenchmarkKnownTarget(b *testing.B) {
	b.ReportAllocs()
	targets := make([]query.Target, b.N)
	for i := range targets {
		targets[i] = query.Target{ID: query.TargetID(strconv.Itoa(i)), FailureDomain: "d", Shards: []query.Shard{query.Shard(i / 3)}}
	}
	b.ResetTimer()
	replica.NewChooser("d", rand.New(rand.NewPCG(1, 1))).SetTargets(targets)
}

// Guards against attempts of lower priority that queue at a target under overload, and against a target
// that they leave idle.
func TestYieldKeepsQueuesShort(t *testing.T) {
	cases := []struct {
		name     string
		every    time.Duration // between answers
		latency  time.Duration
		inFlight int
	}{
		{"one in flight keeps the target at work", 10 * time.Millisecond, 2 * time.Millisecond, 1},
		{"as many as the target works on, and one", time.Millisecond, 3500 * time.Microsecond, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.SetTargets(list("a"))
			for range 500 {
				sent := 0
				for ; sent < 8; sent++ { // Only a limit in use grows.
					if _, v := b.Choose(b.now, replica.Criteria{Shard: 1}); v != replica.Chosen {
						break
					}
				}
				b.now = b.now.Add(time.Duration(sent) * c.every)
				for range sent {
					b.End(b.now, replica.Result{Target: "a", Elapsed: c.latency, Outcome: query.OutcomeAnswered})
				}
			}
			yield := replica.Criteria{Shard: 1, Kind: replica.First, AvoidQueueing: true}
			for range c.inFlight {
				_, v := b.Choose(b.now, yield)
				require.Equal(t, replica.Chosen, v)
			}
			_, v := b.Choose(b.now, yield)
			require.Equal(t, replica.Limited, v)
			_, v = b.Choose(b.now, replica.Criteria{Shard: 1, LowestCost: true})
			require.Equal(t, replica.Chosen, v)
		})
	}
}

// Guards against high priority that waits at a busy replica while another is free.
func TestBestTakesTheLowestCost(t *testing.T) {
	b := newBench(t)
	b.SetTargets(list("a", "b", "c"))
	for _, id := range []query.TargetID{"a", "b", "c"} {
		for range 20 {
			b.answer(id, 2*time.Millisecond)
		}
	}
	busy := map[query.TargetID]int{}
	for range 3 {
		p, v := b.Choose(b.now, replica.Criteria{Shard: 1, LowestCost: true})
		require.Equal(t, replica.Chosen, v)
		busy[p.Target]++
	}
	require.Equal(t, map[query.TargetID]int{"a": 1, "b": 1, "c": 1}, busy)
}
