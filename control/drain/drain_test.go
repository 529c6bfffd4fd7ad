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

// Guards against an instance that refuses work before the balancer has noticed, and against one
// that waits although nothing is in flight.
func TestIdleInstanceServesUntilTheBalancerHasNoticed(t *testing.T) {
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

// Guards against a longest request, begun just before work is refused, that is cut by the deadline.
func TestLongestRequestFinishes(t *testing.T) {
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

// Guards against a request without end that keeps an instance from stopping in time, and against a
// cut that is not counted.
func TestDeadlineEndsTheWait(t *testing.T) {
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

// Guards against a balancer's lag beyond the deadline that keeps an instance serving.
func TestLagBeyondTheDeadline(t *testing.T) {
	c := New(Config{BalancerLag: time.Minute, Deadline: 10 * time.Second, StopReserve: time.Second})
	c.Begin(at(0))
	require.Equal(t, at(9), c.NextWake())
	c.OnWake(at(9))
	require.Equal(t, Stopping, c.Phase())
}
