package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that stragglers lower, and against one that queueing does not lower.
func TestLimitTellsQueueingFromStragglers(t *testing.T) {
	const lowest = 5 * time.Millisecond
	now := time.Unix(1000, 0)
	run := func(slowEvery int) float64 {
		l := limit{value: 16, probed: true}
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			latency := lowest
			if i%slowEvery == 0 {
				latency = 20 * lowest
			}
			l.onAnswer(now, 1, latency, lowest)
		}
		return l.value
	}
	require.Equal(t, 16.0, run(20), "stragglers")
	require.Equal(t, float64(slowFloor), run(1), "queueing")
}

// Guards against several cuts for one moment of shedding.
func TestOneCutForEachPause(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limit{value: 20}
	for range 10 {
		l.onShed(now)
	}
	require.InDelta(t, 20*shedCut, l.value, 1e-9)
	for range 100 {
		now = now.Add(cutPause)
		l.onShed(now)
	}
	require.Equal(t, float64(minLimit), l.value)
}

// Guards against a lowest latency that is kept for ever.
func TestLowestForgets(t *testing.T) {
	var l MinLatency
	now := time.Unix(1000, 0)
	l.Record(now, time.Millisecond)
	l.Record(now, 3*time.Millisecond)
	require.Equal(t, time.Millisecond, l.Value())
	for range 3 {
		now = now.Add(lowestPeriod)
		l.Record(now, 2*time.Millisecond)
	}
	require.Equal(t, 2*time.Millisecond, l.Value())
}
