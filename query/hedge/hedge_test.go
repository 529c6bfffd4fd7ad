package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/hedge"
)

// Guards against a budget that grants more than it has earned, or that accumulates without a bound.
func TestBudget(t *testing.T) {
	const firsts = 100_000
	for name, c := range map[string]struct {
		budget hedge.Budget
		share  float64
		burst  int
	}{
		"hedges":  {hedge.NewHedgeBudget(), 0.02, 50},
		"retries": {hedge.NewRetryBudget(), 0.01, 200},
	} {
		t.Run(name, func(t *testing.T) {
			for range firsts {
				c.budget.Earn()
			}
			taken := 0
			for c.budget.TryTake() {
				taken++
			}
			require.Equal(t, c.burst, taken)
			for range firsts {
				c.budget.Earn()
				if c.budget.TryTake() {
					taken++
				}
			}
			require.InDelta(t, c.share*firsts+float64(c.burst), taken, 1)
		})
	}
}

// Guards against a delay that is used with too few samples, that is not near the 98th percentile, or that does
// not adapt when the latency changes.
func TestDelayFollowsThePercentile(t *testing.T) {
	d := hedge.NewDelay()
	now := time.Unix(1000, 0)
	source := rand.New(rand.NewPCG(1, 1))
	record := func(n int, maxLatency time.Duration) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			d.Record(now, time.Duration(source.Int64N(int64(maxLatency))))
		}
	}
	record(50, 100*time.Millisecond)
	_, ok := d.Value()
	require.False(t, ok)
	record(2000, 100*time.Millisecond)
	got, ok := d.Value()
	require.True(t, ok)
	require.InDelta(t, 98, got.Seconds()*1000, 1.5)
	record(4000, 10*time.Millisecond)
	got, _ = d.Value()
	require.InDelta(t, 9.8, got.Seconds()*1000, 0.2)
}

// Guards against allocations in Record, which runs for every sub-request.
func TestDelayDoesNotAllocate(t *testing.T) {
	d := hedge.NewDelay()
	now := time.Unix(1000, 0)
	require.Zero(t, testing.AllocsPerRun(1000, func() { d.Record(now, 5*time.Millisecond) }))
}
