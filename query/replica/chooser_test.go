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

const usualLatency = 5 * time.Millisecond

// harness wraps a chooser for one shard with the replicas a (local), b and c, all warm.
type harness struct {
	*replica.Chooser
	t   *testing.T
	now time.Time
}

func newTargets(ids ...query.TargetID) []query.Target {
	var targets []query.Target
	for _, id := range ids {
		targets = append(targets, query.Target{ID: id, FailureDomain: "d-" + string(id), Shards: []query.Shard{1}})
	}
	return targets
}

func newHarness(t *testing.T) *harness {
	h := &harness{Chooser: replica.NewChooser("d-a", rand.New(rand.NewPCG(1, 1))), t: t, now: start}
	h.SetTargets(newTargets("a", "b", "c"))
	for _, id := range []query.TargetID{"a", "b", "c"} {
		for range 40 {
			h.answer(id, usualLatency)
		}
	}
	return h
}

// onlyTarget returns criteria that only the given target meets.
func onlyTarget(id query.TargetID, kind replica.AttemptKind) replica.Criteria {
	return replica.Criteria{Shard: 1, Kind: kind, Unfit: func(t query.TargetID) bool { return t != id }}
}

func (h *harness) verdict(id query.TargetID, kind replica.AttemptKind) replica.Verdict {
	_, v := h.Choose(h.now, onlyTarget(id, kind))
	if v == replica.Chosen {
		h.Release(id)
	}
	return v
}

func (h *harness) end(id query.TargetID, r replica.Result) {
	_, v := h.Choose(h.now, onlyTarget(id, replica.First))
	require.Equal(h.t, replica.Chosen, v)
	h.now = h.now.Add(r.Elapsed)
	if r.Overdue {
		h.Overdue(id, h.now.Add(-r.Elapsed))
	}
	r.Target = id
	h.End(h.now, r)
}

func (h *harness) answer(id query.TargetID, d time.Duration) {
	h.end(id, replica.Result{Elapsed: d, Outcome: query.OutcomeAnswered})
}

func (h *harness) countChoices(n int) map[query.TargetID]int {
	counts := map[query.TargetID]int{}
	for range n {
		p, _ := h.Choose(h.now, replica.Criteria{Shard: 1})
		counts[p.Target]++
		h.Release(p.Target)
	}
	return counts
}

// Guards against first attempts and hedges to a target that an earlier outcome excludes, and against an
// exclusion that does not end.
func TestVerdictAfterOutcomes(t *testing.T) {
	const ms = time.Millisecond
	lost := replica.Result{Elapsed: 300 * ms, Outcome: query.OutcomeUnknown, Overdue: true}
	cases := []struct {
		name         string
		results      []replica.Result
		wait         time.Duration
		first, hedge replica.Verdict
	}{
		{"answers", nil, 0, replica.Chosen, replica.Chosen},
		{"draining", []replica.Result{{Outcome: query.OutcomeDraining}}, 0, replica.NoReplica, replica.NoReplica},
		{"draining, before the probe is due", []replica.Result{{Outcome: query.OutcomeDraining}}, 9 * time.Minute, replica.NoReplica, replica.NoReplica},
		{"draining, probe due", []replica.Result{{Outcome: query.OutcomeDraining}}, 10 * time.Minute, replica.Chosen, replica.NoReplica},
		{"shed", []replica.Result{{Outcome: query.OutcomeShed}}, 0, replica.Chosen, replica.Limited},
		{"shed, hedges allowed again", []replica.Result{{Outcome: query.OutcomeShed}}, time.Second, replica.Chosen, replica.Chosen},
		{"cold", []replica.Result{{Elapsed: ms, Outcome: query.OutcomeAnswered, Cold: true}}, 0, replica.Chosen, replica.Limited},
		{"connection refused", []replica.Result{{Outcome: query.OutcomeNotRun}}, 0, replica.NoReplica, replica.NoReplica},
		{"refused, probe due", []replica.Result{{Outcome: query.OutcomeNotRun}}, time.Second, replica.Chosen, replica.NoReplica},
		{"one unknown", []replica.Result{{Elapsed: ms, Outcome: query.OutcomeUnknown}}, 0, replica.Chosen, replica.Chosen},
		{"two unknown", []replica.Result{{Elapsed: ms, Outcome: query.OutcomeUnknown}, {Elapsed: ms, Outcome: query.OutcomeUnknown}}, 0, replica.NoReplica, replica.NoReplica},
		{"silent until the connection closed", []replica.Result{lost}, 0, replica.NoReplica, replica.NoReplica},
		{"two cancelled, target silent", []replica.Result{{Elapsed: 50 * ms, Cancelled: true, Overdue: true}, {Elapsed: 50 * ms, Cancelled: true, Overdue: true}}, 0, replica.NoReplica, replica.NoReplica},
		{"two cancelled, not overdue", []replica.Result{{Elapsed: ms, Cancelled: true}, {Elapsed: ms, Cancelled: true}}, 0, replica.Chosen, replica.Chosen},
		{"wrong shard", []replica.Result{{Outcome: query.OutcomeWrongShard}}, 0, replica.Chosen, replica.Chosen},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			for _, r := range c.results {
				h.end("b", r)
			}
			h.now = h.now.Add(c.wait)
			require.Equal(t, c.hedge, h.verdict("b", replica.Hedge), "hedge")
			require.Equal(t, c.first, h.verdict("b", replica.First), "first")
		})
	}
}

// Only one probe may be in flight at a target, and a target that returns must count as cold, so that it
// does not immediately get the load of a warm one.
func TestOneProbeInFlight(t *testing.T) {
	h := newHarness(t)
	h.end("b", replica.Result{Outcome: query.OutcomeNotRun})
	h.now = h.now.Add(time.Second)
	_, v := h.Choose(h.now, onlyTarget("b", replica.First))
	require.Equal(t, replica.Chosen, v)
	require.Equal(t, replica.NoReplica, h.verdict("b", replica.First), "second probe")
	h.End(h.now, replica.Result{Target: "b", Elapsed: usualLatency, Outcome: query.OutcomeAnswered})
	require.Equal(t, replica.Chosen, h.verdict("b", replica.First))
	require.Equal(t, replica.Limited, h.verdict("b", replica.Hedge), "cold")
}

// An answer to a request sent before a drain must not end the drain.
func TestAnswerSentBeforeDrainIsIgnored(t *testing.T) {
	h := newHarness(t)
	_, _ = h.Choose(h.now, onlyTarget("b", replica.First))
	h.end("b", replica.Result{Outcome: query.OutcomeDraining})
	h.End(h.now.Add(usualLatency), replica.Result{Target: "b", Elapsed: usualLatency, Outcome: query.OutcomeAnswered})
	require.Equal(t, replica.NoReplica, h.verdict("b", replica.First))
	h.SetTargets(newTargets("a", "c"))
	h.SetTargets(newTargets("a", "b", "c"))
	require.Equal(t, replica.Chosen, h.verdict("b", replica.First), "listed again")
}

// The choice must depend on latency, load, locality, silence and the Leaving mark of the target list.
func TestChooserPrefersLowCost(t *testing.T) {
	const n = 300
	cases := []struct {
		name string
		do   func(h *harness)
		want func(t *testing.T, got map[query.TargetID]int)
	}{
		{"local", func(*harness) {}, func(t *testing.T, got map[query.TargetID]int) {
			require.Greater(t, got["a"], got["b"]+got["c"])
		}},
		{"slow", func(h *harness) {
			for range 20 {
				h.answer("a", 20*usualLatency)
			}
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["a"]) }},
		{"loaded", func(h *harness) {
			for range 4 {
				_, _ = h.Choose(h.now, onlyTarget("a", replica.First))
			}
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["a"]) }},
		{"silent", func(h *harness) {
			_, _ = h.Choose(h.now, onlyTarget("a", replica.First))
			h.Overdue("a", h.now)
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["a"]) }},
		{"leaving", func(h *harness) {
			targets := newTargets("a", "b", "c")
			targets[1].Leaving = true
			h.SetTargets(targets)
		}, func(t *testing.T, got map[query.TargetID]int) { require.Zero(t, got["b"]) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			c.do(h)
			c.want(t, h.countChoices(n))
		})
	}
}

// A target that was slow must be tried again, because only an attempt shows that it has recovered.
func TestStaleLatencyDecays(t *testing.T) {
	h := newHarness(t)
	for range 20 {
		h.answer("a", 20*usualLatency)
	}
	h.now = h.now.Add(2 * time.Minute)
	require.NotZero(t, h.countChoices(300)["a"])
}

// Requests in flight must stay within the limit. Shedding must lower the limit, and answers must raise it again.
func TestLimitFallsOnSheddingAndRecovers(t *testing.T) {
	h := newHarness(t)
	fill := func() (n int) {
		for ; ; n++ {
			if _, v := h.Choose(h.now, onlyTarget("b", replica.First)); v != replica.Chosen {
				require.Equal(t, replica.Limited, v)
				break
			}
		}
		for range n {
			h.Release("b")
		}
		return n
	}
	before := fill()
	for range 5 {
		h.now = h.now.Add(time.Second)
		h.end("b", replica.Result{Outcome: query.OutcomeShed})
	}
	after := fill()
	require.Less(t, after, before)
	for range 200 {
		h.answer("b", usualLatency)
	}
	require.Greater(t, fill(), after)
}

// BenchmarkSetTargets measures the memory that a chooser allocates for each target.
func BenchmarkSetTargets(b *testing.B) {
	b.ReportAllocs()
	targets := make([]query.Target, b.N)
	for i := range targets {
		targets[i] = query.Target{ID: query.TargetID(strconv.Itoa(i)), FailureDomain: "d", Shards: []query.Shard{query.Shard(i / 3)}}
	}
	b.ResetTimer()
	replica.NewChooser("d", rand.New(rand.NewPCG(1, 1))).SetTargets(targets)
}

// Under overload, attempts with AvoidQueueing must not queue at a target, but must not leave it idle
// either.
func TestAvoidQueueing(t *testing.T) {
	cases := []struct {
		name     string
		every    time.Duration // time between two answers
		latency  time.Duration
		inFlight int
	}{
		{"one attempt in flight keeps the target busy", 10 * time.Millisecond, 2 * time.Millisecond, 1},
		{"one more than the target runs at once", time.Millisecond, 3500 * time.Microsecond, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.SetTargets(newTargets("a"))
			for range 500 {
				sent := 0
				for ; sent < 8; sent++ { // The limit grows only while it is in use.
					if _, v := h.Choose(h.now, replica.Criteria{Shard: 1}); v != replica.Chosen {
						break
					}
				}
				h.now = h.now.Add(time.Duration(sent) * c.every)
				for range sent {
					h.End(h.now, replica.Result{Target: "a", Elapsed: c.latency, Outcome: query.OutcomeAnswered})
				}
			}
			criteria := replica.Criteria{Shard: 1, Kind: replica.First, AvoidQueueing: true}
			for range c.inFlight {
				_, v := h.Choose(h.now, criteria)
				require.Equal(t, replica.Chosen, v)
			}
			_, v := h.Choose(h.now, criteria)
			require.Equal(t, replica.Limited, v)
			_, v = h.Choose(h.now, replica.Criteria{Shard: 1, LowestCost: true})
			require.Equal(t, replica.Chosen, v)
		})
	}
}

// With LowestCost, an attempt must not queue at a busy replica while another one is idle.
func TestLowestCost(t *testing.T) {
	h := newHarness(t)
	h.SetTargets(newTargets("a", "b", "c"))
	for _, id := range []query.TargetID{"a", "b", "c"} {
		for range 20 {
			h.answer(id, 2*time.Millisecond)
		}
	}
	busy := map[query.TargetID]int{}
	for range 3 {
		p, v := h.Choose(h.now, replica.Criteria{Shard: 1, LowestCost: true})
		require.Equal(t, replica.Chosen, v)
		busy[p.Target]++
	}
	require.Equal(t, map[query.TargetID]int{"a": 1, "b": 1, "c": 1}, busy)
}
