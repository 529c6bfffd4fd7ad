package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/hedge"
)

// Guards against more extra attempts of all instances in a window than the common bound allows, while the load is
// uneven, every request wants an extra attempt and all instances restart once.
func TestWindowBudgetsKeepCommonBound(t *testing.T) {
	limits := hedge.BudgetLimits{Share: 0.2, Slack: 52, Span: 10 * time.Second}
	const instances = 6
	source := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	budgets := make([]*hedge.WindowBudget, instances)
	for i := range budgets {
		budgets[i] = hedge.NewWindowBudget(limits)
	}
	type event struct {
		at    time.Time
		extra bool
	}
	var events []event
	for n := range 30_000 {
		now = now.Add(time.Duration(source.IntN(int(12 * time.Millisecond))))
		i := min(source.IntN(instances), source.IntN(instances)) // The load is uneven.
		budgets[i].RecordFirst(now)
		events = append(events, event{at: now})
		if budgets[i].TryTake(now, instances) {
			events = append(events, event{at: now, extra: true})
		}
		if n == 15_000 {
			for i := range budgets {
				budgets[i] = hedge.NewWindowBudget(limits)
			}
		}
	}
	from, firsts, extras := 0, 0, 0
	for _, e := range events {
		if e.extra {
			extras++
		} else {
			firsts++
		}
		for ; e.at.Sub(events[from].at) >= limits.Span; from++ {
			if events[from].extra {
				extras--
			} else {
				firsts--
			}
		}
		require.LessOrEqual(t, float64(extras), limits.Share*float64(firsts)+limits.Slack)
	}
	require.Greater(t, extras, firsts/8, "the budget must be usable")
}

// Guards against a budget that stays exhausted after the extra attempts have left the window.
func TestWindowBudgetRecovers(t *testing.T) {
	b := hedge.NewWindowBudget(hedge.BudgetLimits{Share: 0.2, Slack: 10, Span: 10 * time.Second})
	now := time.Unix(1000, 0)
	taken := 0
	for b.TryTake(now, 1) {
		taken++
	}
	require.Equal(t, 8, taken)
	require.Zero(t, int(100*b.RemainingShare(now, 1))/10)
	require.InDelta(t, 1, b.RemainingShare(now.Add(11*time.Second), 1), 1e-9)
	require.True(t, b.TryTake(now.Add(11*time.Second), 1))
}

// Guards against an attempt that is given back to a later part of the window than it was taken in, where it would be missing
// once the earlier part has passed; and against one that is given back after it has left the window.
func TestRefundLeavesWindowWithItsAttempt(t *testing.T) {
	start, limits := time.Unix(1000, 0), hedge.BudgetLimits{Slack: 60, Span: 10 * time.Second}
	for _, refundAfter := range []time.Duration{9 * time.Second, 11 * time.Second} {
		b := hedge.NewWindowBudget(limits)
		for range 20 {
			require.True(t, b.TryTake(start, 1))
		}
		for range 20 {
			b.Refund(start.Add(refundAfter), start)
		}
		taken := 0
		for b.TryTake(start.Add(limits.Span+2*time.Second), 1) {
			taken++
		}
		require.LessOrEqual(t, float64(taken), limits.Slack)
	}
}

// Guards against instances that start again and spend the slack of the window that they have spent before. Load: a third of
// the requests wants an extra attempt for some seconds, and in the middle of that three of six instances are killed twice.
func TestRestartsDoNotRenewBudget(t *testing.T) {
	limits := hedge.BudgetLimits{Share: 0.2, Slack: 52, Span: 10 * time.Second}
	const instances, killed, pause = 6, 3, 20 * time.Millisecond
	begin := time.Unix(1000, 0)
	budgets := make([]*hedge.WindowBudget, instances)
	for i := range budgets {
		budgets[i] = hedge.NewWindowBudget(limits)
	}
	firsts, extras := 0, 0
	for n := range int(limits.Span / pause) {
		now := begin.Add(time.Duration(n) * pause)
		if since := now.Sub(begin); since == 3*time.Second || since == 5*time.Second {
			for i := range killed {
				budgets[i] = hedge.NewWindowBudget(limits)
				budgets[i].Restrict(now.Add(limits.Span))
			}
		}
		b := budgets[n%instances]
		b.RecordFirst(now)
		firsts++
		for range 2 {
			if b.TryTake(now, instances) {
				extras++
			}
		}
	}
	require.LessOrEqual(t, float64(extras), limits.Share*float64(firsts)+limits.Slack)
	require.Greater(t, float64(extras), limits.Share*float64(firsts)/2, "the budget must be usable")
}
