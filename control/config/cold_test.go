package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/config"
)

// Guards against a slow start after the store has recovered, and against cold instances that use up the store's
// capacity for reads.
func TestColdPause(t *testing.T) {
	for _, c := range []struct {
		name             string
		instances, calls int
		want             time.Duration
	}{
		{"alone", 1, 2, 200 * time.Millisecond},
		{"six instances", 6, 2, 200 * time.Millisecond},
		{"60 instances share 200 calls a second", 60, 2, 600 * time.Millisecond},
		{"780 instances", 780, 2, 7800 * time.Millisecond},
		{"no instance known", 0, 2, 200 * time.Millisecond},
	} {
		require.Equal(t, c.want, config.ColdPause(c.instances, c.calls), c.name)
	}
}

// Guards against reads that time out repeatedly if the store takes 1 s to answer.
func TestColdTimeoutGrows(t *testing.T) {
	const responseTime, maxTotal = time.Second, 6 * time.Second
	total := time.Duration(0)
	for attempt := 0; config.ColdTimeout(attempt) <= responseTime; attempt++ {
		total += config.ColdTimeout(attempt) + config.ColdPause(1, 2)
	}
	require.LessOrEqual(t, total, maxTotal)
}
