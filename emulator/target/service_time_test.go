package target_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/emulator/target"
)

// Guards against service times that lack the heavy tail needed to measure stragglers, exceed Max, or
// differ between sources with the same seed. The tolerance of the share is five standard deviations.
func TestServiceTimesHaveAHeavyTail(t *testing.T) {
	const draws = 10_000
	d := target.ServiceTimes{Mean: 0, TailShare: 0.02, TailFrom: 50 * time.Millisecond, TailExponent: 1.1, Max: time.Second}
	first, second := d.Source(7, 1), d.Source(7, 1)
	tail, capped := 0, 0
	for range draws {
		got := first()
		require.Equal(t, got, second())
		require.True(t, got == 0 || got >= d.TailFrom && got <= d.Max)
		if got > 0 {
			tail++
		}
		if got == d.Max {
			capped++
		}
	}
	require.InDelta(t, 0.02, float64(tail)/draws, 5*0.0014)
	require.Positive(t, capped)
}
