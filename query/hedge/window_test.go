package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/hedge"
)

// Guards against more extra attempts in any window than the fleet's bound, with uneven load, after a
// restart of all instances, and when every request asks for one.
func TestWindowsKeepTheBoundOfTheFleet(t *testing.T) {
	terms := hedge.BudgetLimits{Share: 0.2, Slack: 52, Span: 10 * time.Second}
	const instances = 6
	source := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	windows := make([]*hedge.WindowBudget, instances)
	for i := range windows {
		windows[i] = hedge.NewWindowBudget(terms)
	}
	type event struct {
		at    time.Time
		extra bool
	}
	var events []event
	for n := range 30_000 {
		now = now.Add(time.Duration(source.IntN(int(12 * time.Millisecond))))
		i := min(source.IntN(instances), source.IntN(instances)) // The load is uneven.
		windows[i].RecordFirst(now)
		events = append(events, event{at: now})
		if windows[i].TryTake(now, instances) {
			events = append(events, event{at: now, extra: true})
		}
		if n == 15_000 {
			for i := range windows {
				windows[i] = hedge.NewWindowBudget(terms)
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
		for ; e.at.Sub(events[from].at) >= terms.Span; from++ {
			if events[from].extra {
				extras--
			} else {
				firsts--
			}
		}
		require.LessOrEqual(t, float64(extras), terms.Share*float64(firsts)+terms.Slack)
	}
	require.Greater(t, extras, firsts/8, "the budget is used")
}

// Guards against a budget that is gone for good once it was spent.
func TestWindowRegainsWhatLeavesIt(t *testing.T) {
	w := hedge.NewWindowBudget(hedge.BudgetLimits{Share: 0.2, Slack: 10, Span: 10 * time.Second})
	now := time.Unix(1000, 0)
	taken := 0
	for w.TryTake(now, 1) {
		taken++
	}
	require.Equal(t, 8, taken)
	require.Zero(t, int(100*w.RemainingShare(now, 1))/10)
	require.InDelta(t, 1, w.RemainingShare(now.Add(11*time.Second), 1), 1e-9)
	require.True(t, w.TryTake(now.Add(11*time.Second), 1))
}
