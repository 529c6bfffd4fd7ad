package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	cfg   = Config{BalancerLag: 5 * time.Second, Deadline: 30 * time.Second, StopReserve: 5 * time.Second}
	start = time.Unix(1_800_000_000, 0)
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against an instance that refuses requests before the load balancer has detected that it is not
// ready, and against one that waits although no request is in flight.
func TestServesUntilBalancerLagHasPassed(t *testing.T) {
	c := New(cfg)
	require.True(t, c.OnStart(at(0)))
	c.OnEnd(at(0))
	c.Begin(at(1))
	require.Equal(t, Leaving, c.Phase())
	require.Equal(t, at(6), c.NextWake())
	require.True(t, c.OnStart(at(5.9)))
	c.OnEnd(at(5.95))
	c.OnWake(at(6))
	require.Equal(t, Stopping, c.Phase())
	require.Zero(t, c.Aborted())
	require.False(t, c.OnStart(at(6.1)))
	require.Zero(t, c.NextWake())
}

// Guards against a deadline that aborts a request of maximum duration which started just before requests
// are refused.
func TestRequestInFlightFinishesBeforeDeadline(t *testing.T) {
	c := New(cfg)
	c.Begin(at(0))
	require.True(t, c.OnStart(at(4.999)))
	c.OnWake(at(5))
	require.Equal(t, Refusing, c.Phase())
	require.False(t, c.OnStart(at(5)))
	c.OnWake(at(20))
	require.Equal(t, Refusing, c.Phase())
	c.OnEnd(at(24.999))
	require.Equal(t, Stopping, c.Phase())
	require.Zero(t, c.Aborted())
}

// Guards against a request that never ends and prevents an instance from stopping in time, and against
// aborted requests that are not counted.
func TestDeadlineAbortsRequestsInFlight(t *testing.T) {
	c := New(cfg)
	require.True(t, c.OnStart(at(0)))
	c.Begin(at(0))
	c.Begin(at(3)) // has no effect
	c.OnWake(at(5))
	require.Equal(t, at(25), c.NextWake())
	c.OnWake(at(25))
	require.Equal(t, Stopping, c.Phase())
	require.Equal(t, 1, c.Aborted())
	c.OnEnd(at(26))
	require.Equal(t, 1, c.Aborted())
}

// Guards against an instance that serves beyond the deadline because BalancerLag exceeds it.
func TestDeadlineBoundsBalancerLag(t *testing.T) {
	c := New(Config{BalancerLag: time.Minute, Deadline: 10 * time.Second, StopReserve: time.Second})
	c.Begin(at(0))
	require.Equal(t, at(9), c.NextWake())
	c.OnWake(at(9))
	require.Equal(t, Stopping, c.Phase())
}
