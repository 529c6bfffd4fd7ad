package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// newWideHarness returns a machine over ten shards that sends two hedges before a target has answered. The attempts 1 to
// 10 are in flight.
func newWideHarness(cfg scatter.Config) *harness {
	h := &harness{policy: &scriptedPolicy{verdict: replica.Limited}}
	for range 40 {
		h.policy.remaining = append(h.policy.remaining, "t")
	}
	cfg.Request = query.Request{ID: 7, Limit: 10, Deadline: start.Add(time.Second), PreferCoverage: true}
	cfg.Map, cfg.Policy = query.Map{Version: 3}, h.policy
	for s := range 10 {
		cfg.Map.Shards = append(cfg.Map.Shards, query.Shard(s+1))
	}
	cfg.NextAttempt = func() query.AttemptID { h.last++; return h.last }
	h.Machine = scatter.New(cfg)
	h.record(h.Start(start))
	return h
}

// replyFor reports the outcome of an attempt, whose shard is that of its Send.
func (h *harness) replyFor(after time.Duration, attempt query.AttemptID, o query.Outcome) {
	h.record(h.OnReply(start.Add(after), attempt, query.Reply{
		Attempt: attempt, Request: 7, Shard: h.sends[attempt-1].Shard, Snapshot: 3, Outcome: o,
	}))
}

// Guards against a request that crashes its targets and is sent to a second replica of each shard before the first target
// has crashed. Load: no target of ten shards has answered when the hedges of all of them are due.
func TestHedgesWaitForTheFirstAnswer(t *testing.T) {
	const straggles = 3 * hedgeAfter
	for name, tc := range map[string]struct {
		events func(h *harness)
		sends  int
	}{
		"no answer":                 {func(*harness) {}, 12},
		"crash":                     {func(h *harness) { h.replyFor(15*time.Millisecond, 1, query.OutcomeCrashed) }, 12},
		"crash, then stragglers":    {func(h *harness) { h.replyFor(15*time.Millisecond, 1, query.OutcomeCrashed); h.wake(straggles) }, 12},
		"answer lets the others go": {func(h *harness) { h.replyFor(15*time.Millisecond, 1, query.OutcomeAnswered) }, 20},
		"answer to a hedge":         {func(h *harness) { h.replyFor(15*time.Millisecond, 11, query.OutcomeAnswered) }, 20},
		"stragglers wait no longer": {func(h *harness) { h.wake(straggles) }, 22}, // Two shards have their second hedge.
		"attempt that did not run":  {func(h *harness) { h.replyFor(15*time.Millisecond, 3, query.OutcomeNotRun) }, 13},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWideHarness(scatter.Config{MaxUnansweredHedges: 2})
			h.wake(hedgeAfter)
			tc.events(h)
			require.Len(t, h.sends, tc.sends)
			require.NotContains(t, h.kinds, finish)
		})
	}
}

// Guards against a request that has crashed a target before and is sent to all shards at once again, and against one that
// waits after its canary has been answered. Load: a query over ten shards, whose canary goes to the fourth.
func TestCanaryRunsFirst(t *testing.T) {
	const soon = 5 * time.Millisecond
	for name, tc := range map[string]struct {
		events   func(h *harness)
		sends    int
		finished bool
	}{
		"in flight":                {func(h *harness) { h.wake(2 * hedgeAfter) }, 1, false},
		"answered":                 {func(h *harness) { h.replyFor(soon, 1, query.OutcomeAnswered) }, 10, false},
		"crashed":                  {func(h *harness) { h.replyFor(soon, 1, query.OutcomeCrashed) }, 1, true},
		"lost":                     {func(h *harness) { h.replyFor(soon, 1, query.OutcomeUnknown) }, 1, true},
		"closed a new connection":  {func(h *harness) { h.replyFor(soon, 1, query.OutcomeRefused) }, 1, true},
		"not run":                  {func(h *harness) { h.replyFor(soon, 1, query.OutcomeNotRun) }, 2, false},
		"not run, then answered":   {func(h *harness) { h.replyFor(soon, 1, query.OutcomeNotRun); h.replyFor(soon, 2, query.OutcomeAnswered) }, 11, false},
		"straggles":                {func(h *harness) { h.wake(hedgeAfter); h.wake(3 * hedgeAfter); h.wake(200 * time.Millisecond) }, 2, false},
		"straggles, then answered": {func(h *harness) { h.wake(3 * hedgeAfter); h.replyFor(200*time.Millisecond, 2, query.OutcomeAnswered) }, 11, false},
		"straggles, both crash": {func(h *harness) {
			h.wake(3 * hedgeAfter)
			h.replyFor(200*time.Millisecond, 2, query.OutcomeCrashed)
			h.replyFor(200*time.Millisecond, 1, query.OutcomeCrashed)
		}, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWideHarness(scatter.Config{Canary: true, CanaryShard: 3})
			require.Equal(t, query.Shard(4), h.sends[0].Shard)
			tc.events(h)
			require.Len(t, h.sends, tc.sends)
			require.Equal(t, tc.finished, h.kinds[len(h.kinds)-1] == finish)
		})
	}
}
