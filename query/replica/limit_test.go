package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Queueing makes most answers slow and must lower the limit. Occasional stragglers must not lower it.
func TestLimitDistinguishesQueueingFromStragglers(t *testing.T) {
	const minLatency = 5 * time.Millisecond
	now := time.Unix(1000, 0)
	run := func(slowEvery int) float64 {
		l := limit{value: 16, reduced: true}
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			latency := minLatency
			if i%slowEvery == 0 {
				latency = 20 * minLatency
			}
			l.onAnswer(now, 1, latency, minLatency)
		}
		return l.value
	}
	require.Equal(t, 16.0, run(20), "stragglers")
	require.Equal(t, float64(slowFloor), run(1), "queueing")
}

// Several requests that are shed within minReduceInterval must lower the limit only once.
func TestLimitCutsOncePerInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limit{value: 20}
	for range 10 {
		l.onShed(now)
	}
	require.InDelta(t, 20*shedDecreaseFactor, l.value, 1e-9)
	for range 100 {
		now = now.Add(minReduceInterval)
		l.onShed(now)
	}
	require.Equal(t, float64(minLimit), l.value)
}

// The minimum latency must expire after two periods. Otherwise it would stay below what the target reaches.
func TestMinLatencyExpires(t *testing.T) {
	var l MinLatency
	now := time.Unix(1000, 0)
	l.Record(now, time.Millisecond)
	l.Record(now, 3*time.Millisecond)
	require.Equal(t, time.Millisecond, l.Value())
	for range 3 {
		now = now.Add(minLatencyPeriod)
		l.Record(now, 2*time.Millisecond)
	}
	require.Equal(t, 2*time.Millisecond, l.Value())
}
