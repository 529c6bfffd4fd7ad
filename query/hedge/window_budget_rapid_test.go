package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query/hedge"
)

// Guards against an instance that spends more than its part of the budget, at any time and after any pause, and
// against one that refuses an extra attempt although its part is not spent.
func TestWindowBudgetProperties(t *testing.T) {
	const span = 10 * time.Second
	type attempt struct {
		at    time.Time
		extra bool
	}
	rapid.Check(t, func(t *rapid.T) {
		limits := hedge.BudgetLimits{Share: rapid.Float64Range(0, 1).Draw(t, "share"), Slack: rapid.Float64Range(0, 200).Draw(t, "slack"), Span: span}
		instances := rapid.IntRange(0, 60).Draw(t, "instances")
		b := hedge.NewWindowBudget(limits)
		now := time.Unix(0, 0)
		var sent []attempt
		// count counts the attempts since the given time. The window advances in steps of a twentieth of the span.
		count := func(since time.Time) (firsts, extras int) {
			for _, a := range sent {
				switch {
				case a.at.Before(since):
				case a.extra:
					extras++
				default:
					firsts++
				}
			}
			return firsts, extras
		}
		allowed := func(firsts int) float64 {
			return limits.Share*float64(firsts) + limits.Slack/float64(max(1, instances))
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "firsts") {
				b.RecordFirst(now)
				sent = append(sent, attempt{at: now})
			}
			granted := b.TryTake(now, instances)
			if granted {
				sent = append(sent, attempt{at: now, extra: true})
			}
			spanFirsts, _ := count(now.Add(-span))
			_, extras := count(now.Add(-span + span/20))
			if granted {
				require.LessOrEqual(t, float64(extras), allowed(spanFirsts))
			}
			minFirsts, _ := count(now.Add(-span + span/20))
			_, maxFirsts := count(now.Add(-span))
			if !granted {
				require.Greater(t, float64(maxFirsts+1), 0.85*allowed(minFirsts)-1e-9)
			}
			remaining := b.RemainingShare(now, instances)
			require.True(t, remaining >= 0 && remaining <= 1, remaining)
		}
	})
}
