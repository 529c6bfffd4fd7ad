package hedge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query/hedge"
)

// Guards against an instance that spends more than its part of the budget, at any moment and after any
// pause; and against one that grants nothing although it has room.
func TestWindowProperties(t *testing.T) {
	const span = 10 * time.Second
	type attempt struct {
		at    time.Time
		extra bool
	}
	rapid.Check(t, func(t *rapid.T) {
		terms := hedge.BudgetLimits{Share: rapid.Float64Range(0, 1).Draw(t, "share"), Slack: rapid.Float64Range(0, 200).Draw(t, "slack"), Span: span}
		instances := rapid.IntRange(0, 60).Draw(t, "instances")
		w := hedge.NewWindowBudget(terms)
		now := time.Unix(0, 0)
		var sent []attempt
		// count counts the attempts since a time. The window forgets in steps of a twentieth of the span.
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
			return terms.Share*float64(firsts) + terms.Slack/float64(max(1, instances))
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "firsts") {
				w.RecordFirst(now)
				sent = append(sent, attempt{at: now})
			}
			granted := w.TryTake(now, instances)
			if granted {
				sent = append(sent, attempt{at: now, extra: true})
			}
			whole, _ := count(now.Add(-span))
			_, extras := count(now.Add(-span + span/20))
			if granted {
				require.LessOrEqual(t, float64(extras), allowed(whole))
			}
			fewest, _ := count(now.Add(-span + span/20))
			_, most := count(now.Add(-span))
			if !granted {
				require.Greater(t, float64(most+1), 0.85*allowed(fewest)-1e-9)
			}
			left := w.RemainingShare(now, instances)
			require.True(t, left >= 0 && left <= 1, left)
		}
	})
}
