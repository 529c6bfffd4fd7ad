package hlc_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel/hlc"
)

// Guards against a timestamp of an effect that is not after the timestamp of its cause.
func TestObserveOrdersCauseBeforeEffect(t *testing.T) {
	at := func(wall int64, logical uint32) hlc.Timestamp { return hlc.Timestamp{Wall: wall, Logical: logical} }
	cases := []struct {
		name     string
		physical int64
		last     hlc.Timestamp // observed before remote
		remote   hlc.Timestamp
		want     hlc.Timestamp
	}{
		{"physical clock is ahead", 100, at(10, 5), at(20, 7), at(100, 0)},
		{"remote timestamp is ahead", 100, at(10, 5), at(200, 7), at(200, 8)},
		{"local timestamp is ahead", 100, at(300, 5), at(200, 7), at(300, 7)},
		{"wall times are equal", 100, at(100, 1), at(100, 4), at(100, 5)},
		{"remote timestamp is zero", 100, at(100, 1), hlc.Timestamp{}, at(100, 3)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var physical int64
			clock := hlc.New(func() time.Time { return time.Unix(0, physical) })
			clock.Observe(c.last)
			physical = c.physical
			require.Equal(t, c.want, clock.Observe(c.remote))
			require.Positive(t, clock.Now().Compare(c.want))
		})
	}
}

// Guards against timestamps that repeat or decrease when the physical clock stalls or steps back.
func TestNowIsStrictlyIncreasing(t *testing.T) {
	readings := []int64{100, 100, 90, 101, 50, 101, 102}
	next := 0
	clock := hlc.New(func() time.Time {
		next++
		return time.Unix(0, readings[next-1])
	})
	last := hlc.Timestamp{}
	for range readings {
		now := clock.Now()
		require.Equal(t, 1, now.Compare(last))
		require.Equal(t, -1, last.Compare(now))
		last = now
	}
	require.Zero(t, last.Compare(last))
}
