package scatter_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newPool(shards int) (*scatter.Pool, query.Map) {
	pool := scatter.NewPool("d0", rand.New(rand.NewPCG(1, 1)))
	m := query.Map{Version: 3}
	var targets []query.Target
	for s := range shards {
		m.Shards = append(m.Shards, query.Shard(s))
		for r := range 3 {
			targets = append(targets, query.Target{
				ID: query.TargetID(fmt.Sprintf("t-%d-%d", s, r)), FailureDomain: fmt.Sprintf("d%d", r),
				Shards: []query.Shard{query.Shard(s)},
			})
		}
	}
	pool.SetTargets(targets)
	return pool, m
}

// Guards against more extra attempts than the budget allows that first attempts earn.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	pool, _ := newPool(1)
	const firsts = 10_000
	now, extra := start, 0
	for range firsts {
		now = now.Add(10 * time.Millisecond)
		for _, use := range []replica.AttemptKind{replica.First, replica.Hedge, replica.Retry} {
			g, v := pool.Choose(now, scatter.AttemptSpec{Plan: "p", Kind: use, TimeLeft: time.Second})
			if v != replica.Chosen {
				continue
			}
			if use != replica.First {
				extra++
			}
			pool.End(now, replica.Result{Target: g.Target, Elapsed: time.Millisecond, Outcome: query.OutcomeAnswered})
		}
	}
	const shareOfFirsts, initial = 0.03, 3 * (5 + 50) // three classes
	require.LessOrEqual(t, float64(extra), shareOfFirsts*firsts+initial)
	require.Greater(t, extra, 0)
}

// Guards against an attempt whose answer cannot return in time, and against a plan that uses the budget of
// another plan.
func TestPoolRefusesAttempts(t *testing.T) {
	pool, _ := newPool(1)
	spec := scatter.AttemptSpec{Plan: "p", TimeLeft: time.Second}
	for range 20 { // answers from every class
		g, _ := pool.Choose(start, spec)
		pool.End(start, replica.Result{Target: g.Target, Elapsed: 5 * time.Millisecond, Outcome: query.OutcomeAnswered})
	}
	spec.TimeLeft = time.Millisecond
	_, v := pool.Choose(start, spec)
	require.Equal(t, replica.Final, v)
	spec.TimeLeft, spec.Kind = time.Second, replica.Retry
	for v = replica.Chosen; v == replica.Chosen; {
		var g scatter.Grant
		if g, v = pool.Choose(start, spec); v == replica.Chosen {
			pool.End(start, replica.Result{Target: g.Target, Elapsed: 5 * time.Millisecond, Outcome: query.OutcomeAnswered})
		}
	}
	require.Equal(t, replica.NoToken, v)
	spec.Plan = "q"
	_, v = pool.Choose(start, spec)
	require.Equal(t, replica.Chosen, v)
}

// Guards against queries that never finish, shards that are counted twice or not at all, attempts that are not
// ended exactly once, and hits of another request in the answer.
func TestAnswerIsCorrectUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, m := newPool(4)
		policy := &countingPolicy{Pool: pool}
		req := query.Request{
			ID: 9, Limit: 100, Deadline: start.Add(deadline), PreferCoverage: rapid.Bool().Draw(t, "coverage"),
		}
		var last query.AttemptID
		machine := scatter.New(scatter.Config{Request: req, Map: m, Policy: policy, NextAttempt: func() query.AttemptID { last++; return last }})
		inFlight := map[query.AttemptID]query.Shard{}
		finished := perform(inFlight, machine.Start(start))
		now := start
		for !finished {
			if len(inFlight) == 0 || rapid.IntRange(0, 2).Draw(t, "wake") == 0 {
				now = machine.NextWake()
				finished = perform(inFlight, machine.OnWake(now))
				continue
			}
			sent := rapid.SampledFrom(sortedIDs(inFlight)).Draw(t, "attempt")
			r := query.Reply{Attempt: sent, Request: req.ID, Shard: inFlight[sent], Snapshot: m.Version}
			r.Outcome = query.Outcome(rapid.IntRange(0, int(query.OutcomeCrashed)).Draw(t, "outcome"))
			r.Hits = []query.Hit{{ID: fmt.Sprint(r.Shard)}}
			if rapid.IntRange(0, 4).Draw(t, "crossed") == 0 {
				r.Request, r.Hits = 10, []query.Hit{{ID: "other"}}
			}
			delete(inFlight, sent)
			finished = perform(inFlight, machine.OnReply(now, sent, r))
		}
		answer := machine.Answer()
		require.Len(t, answer.Hits, len(answer.Coverage.Included))
		for i, h := range answer.Hits {
			require.Equal(t, fmt.Sprint(answer.Coverage.Included[i]), h.ID)
		}
		require.Equal(t, len(m.Shards), len(answer.Coverage.Included)+len(answer.Coverage.Missing))
		require.Equal(t, policy.chosen, policy.ended)
		require.False(t, now.After(req.Deadline))
	})
}

type countingPolicy struct {
	*scatter.Pool
	chosen, ended int
}

func (c *countingPolicy) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	g, v := c.Pool.Choose(now, spec)
	if v == replica.Chosen {
		c.chosen++
	}
	return g, v
}

func (c *countingPolicy) End(now time.Time, r replica.Result) {
	c.ended++
	c.Pool.End(now, r)
}

func perform(inFlight map[query.AttemptID]query.Shard, actions []scatter.Action) bool {
	finished := false
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			inFlight[a.Attempt] = a.Shard
		case scatter.Cancel:
			delete(inFlight, a.Attempt)
		case scatter.Finish:
			finished = true
		}
	}
	return finished
}

func sortedIDs(m map[query.AttemptID]query.Shard) []query.AttemptID {
	return slices.Sorted(maps.Keys(m))
}

// BenchmarkSubRequest measures choice, hedge timer and merge of one sub-request at the fan-out of the target
// size. The goal is less than 1 µs without allocation.
func BenchmarkSubRequest(b *testing.B) {
	const shards = 440
	pool, m := newPool(shards)
	hits := []query.Hit{{ID: "h"}}
	var last query.AttemptID
	next := func() query.AttemptID { last++; return last }
	now := start
	sends := make([]scatter.Action, 0, shards)
	b.ReportAllocs()
	for i := 0; i < b.N; i += shards {
		req := query.Request{ID: query.RequestID(i), Limit: 10, Deadline: now.Add(deadline)}
		machine := scatter.New(scatter.Config{Request: req, Map: m, Policy: pool, NextAttempt: next})
		sends = append(sends[:0], machine.Start(now)...)
		now = now.Add(2 * time.Millisecond)
		for _, a := range sends {
			if a.Kind == scatter.Send {
				machine.OnReply(now, a.Attempt, query.Reply{
					Attempt: a.Attempt, Request: req.ID, Shard: a.Shard, Snapshot: m.Version,
					Outcome: query.OutcomeAnswered, Hits: hits,
				})
				machine.NextWake()
			}
		}
		machine.Answer()
	}
}
