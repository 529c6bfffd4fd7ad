package gateway_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/instance/gateway"
)

// crashUnder crashes all targets of the service "single" while an instance has the page in flight there.
func (c *cluster) crashUnder(t *testing.T, instance int, page string) {
	var wait sync.WaitGroup
	wait.Go(func() { c.do(t.Context(), instance, "/one/x", page, "10.0.0.1:1") })
	time.Sleep(serviceTime / 2)
	c.mu.Lock()
	var running []string
	for id := range c.entries {
		if strings.HasPrefix(id, "single-") && !c.down[id] {
			running = append(running, id)
		}
	}
	c.mu.Unlock()
	for _, id := range running {
		c.crash(id)
	}
	wait.Wait()
}

// Guards against a page that is refused everywhere although targets answer it between their crashes: an instance that has
// not seen the answers counts all crashes together.
func TestPageAnsweredBetweenCrashesIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		for range 4 {
			require.Equal(t, gateway.Answered, c.do(t.Context(), 0, "/one/x", "page", "10.0.0.1:1").Kind)
			c.crashUnder(t, 0, "page")
			time.Sleep(restartTime + time.Second)
		}
		require.Empty(t, c.stored)
		for instance := range 3 {
			require.Equal(t, gateway.Answered, c.do(t.Context(), instance, "/one/x", "page", "10.0.0.1:1").Kind, instance)
		}
	})
}

// quarantineAnsweredPage lets all instances see answers to the page, and then crashes the targets that run it three times.
func (c *cluster) quarantineAnsweredPage(t *testing.T) {
	t.Helper()
	for instance := range 3 {
		require.Equal(t, gateway.Answered, c.do(t.Context(), instance, "/one/x", "page", "10.0.0.1:1").Kind)
	}
	for n := range 3 {
		c.crashUnder(t, n, "page")
		time.Sleep(restartTime + time.Second)
	}
	require.True(t, isQuarantined(c.do(t.Context(), 0, "/one/x", "page", "10.0.0.1:1")))
}

// servedOfAMinute submits the page once a second for a minute and returns the number of answers.
func (c *cluster) servedOfAMinute(t *testing.T) int {
	t.Helper()
	served := 0
	for n := range 60 {
		time.Sleep(time.Second)
		if c.do(t.Context(), n, "/one/x", "page", "10.0.0.1:1").Kind == gateway.Answered {
			served++
		}
	}
	return served
}

// Guards against a page that all instances refuse for ten minutes because three crashes in a row met it, although targets
// had answered it before; and against a trial that each instance makes for itself.
func TestAnsweredPageIsServedSoonAfterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		c.quarantineAnsweredPage(t)
		require.Len(t, c.stored, 1)
		require.GreaterOrEqual(t, c.servedOfAMinute(t), 40)
		require.Empty(t, c.stored, "instances that start later would refuse the page")
	})
}

// Guards against trials of a request that crashes all its targets again, more than the few that the rules allow.
func TestTrialsOfCrashingRequestAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		for instance := range 3 {
			require.Equal(t, gateway.Answered, c.do(t.Context(), instance, "/one/x", "page", "10.0.0.1:1").Kind)
		}
		c.deadly = "page" // From now on, after a change of the targets.
		for n := range 3 {
			c.do(t.Context(), n, "/one/x", "page", "10.0.0.1:1")
			time.Sleep(restartTime + time.Second)
		}
		before := c.crashCount()
		for n := range 300 {
			c.do(t.Context(), n, "/one/x", "page", "10.0.0.1:1")
			time.Sleep(200 * time.Millisecond)
		}
		require.LessOrEqual(t, c.crashCount()-before, 3)
	})
}

// Guards against a page that is refused for ten minutes after the loss of all instances, although targets had answered it all the
// time before three crashes met it (review/7): the store has to say so.
func TestAnsweredPageIsServedSoonAfterLossOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		c.quarantineAnsweredPage(t)
		c.stopAll(t)
		for instance := range 3 {
			c.restart(t, instance)
		}
		require.GreaterOrEqual(t, c.servedOfAMinute(t), 40)
	})
}
