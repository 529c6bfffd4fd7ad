package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

// submitBad submits the bad request of one caller through an instance, and returns the number of targets that it crashed.
func (c *cluster) submitBad(t *testing.T, instance int) int {
	before := c.crashCount()
	c.do(t.Context(), instance, "/one/x", badBody, "10.0.0.1:1")
	return c.crashCount() - before
}

// Guards against a request that is let go because one target answers it with an error without running it.
func TestErrorResponseDoesNotReleaseCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll(t)
		c.failing["single-3"] = true
		for range 40 {
			c.submitBad(t, 0)
			time.Sleep(restartTime + time.Second)
		}
		require.LessOrEqual(t, c.crashCount(), 3)
	})
}

// Guards against a crash that is not counted because the target is back before the request has ended elsewhere.
func TestCrashCountsWhileAnotherAttemptIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll(t)
		c.restartIn = 400 * time.Millisecond
		c.silent["single-1"], c.silent["single-2"], c.silent["single-3"] = true, true, true
		for range 40 {
			c.submitBad(t, 0)
			time.Sleep(2 * time.Second)
		}
		require.LessOrEqual(t, c.crashCount(), 3)
	})
}

// Guards against a crash that is not counted because the target is back under the same id before it is probed.
func TestCrashCountsIfTargetRestartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll(t)
		c.restartIn = 0
		for range 40 {
			c.submitBad(t, 0)
			time.Sleep(2 * time.Second)
		}
		require.LessOrEqual(t, c.crashCount(), 3)
	})
}

// Guards against crashes of a suspected request that are not counted because the end of the connection was lost.
func TestSilentCrashOfSuspectedRequestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll(t)
		c.silent["single-1"], c.silent["single-2"], c.silent["single-3"] = true, true, true
		for c.submitBad(t, 0) == 0 {
			time.Sleep(time.Second)
		}
		c.mu.Lock()
		clear(c.silent)
		c.mute = true
		c.mu.Unlock()
		for range 20 {
			time.Sleep(restartTime + time.Second)
			c.submitBad(t, 0)
		}
		require.LessOrEqual(t, c.crashCount(), 4, "the last submission may have two attempts")
	})
}

// Guards against an instance that was paused while crashes were reported, and sends the request on afterwards.
func TestPausedInstanceLearnsOfCrashingRequest(t *testing.T) {
	for name, crashes := range map[string]int{"of the third crash": 3, "of the second crash": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stopAll(t)
				c.paused["i2"] = true
				total := 0
				for n := 0; total < crashes; n++ {
					total += c.submitBad(t, n%2)
					time.Sleep(restartTime + time.Second)
				}
				c.mu.Lock()
				c.paused["i2"] = false
				c.mu.Unlock()
				time.Sleep(5 * time.Second)
				for range 10 {
					total += c.submitBad(t, 2)
					time.Sleep(restartTime + time.Second)
				}
				require.Equal(t, 3, total)
			})
		})
	}
}

// Guards against a request that crashes three targets again after all instances have restarted at once.
func TestCrashingRequestStaysQuarantinedAfterLossOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		for n := range 8 {
			c.submitBad(t, n%3)
			time.Sleep(restartTime + time.Second)
		}
		require.Equal(t, 3, c.crashCount())
		c.stopAll(t)
		for i := range 3 {
			c.restart(t, i)
		}
		for n := range 8 {
			c.submitBad(t, n%3)
			time.Sleep(restartTime + time.Second)
		}
		require.Equal(t, 3, c.crashCount())
	})
}

// Guards against quarantined requests that the store has lost, and that nobody writes again.
func TestQuarantinedRequestIsSavedAgainIfStoreLacksIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		for n := range 8 {
			c.submitBad(t, n%3)
			time.Sleep(restartTime + time.Second)
		}
		c.mu.Lock()
		require.Len(t, c.stored, 1)
		c.stored = nil
		c.mu.Unlock()
		for _, bus := range c.buses {
			require.NoError(t, bus.Publish(configsync.QuarantineChanged{}))
		}
		synctest.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Len(t, c.stored, 1)
	})
}

// Guards against further attempts of a submission in flight once other submissions have crashed enough targets.
func TestQuarantineStopsSubmissionsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		c.silent["single-0"], c.silent["single-3"] = true, true // The targets near the instances, which are asked first.
		var wait sync.WaitGroup
		defer wait.Wait()
		wait.Go(func() { c.do(t.Context(), 0, "/many/x", badBody, "10.0.0.1:1") })
		time.Sleep(50 * time.Millisecond)
		c.mu.Lock()
		clear(c.silent)
		c.mu.Unlock()
		c.do(t.Context(), 1, "/many/x", badBody, "10.0.0.1:1")
		require.Equal(t, 3, c.crashCount())
		time.Sleep(2 * time.Second)
		require.Equal(t, 3, c.crashCount())
	})
}

// Guards against submissions that go on at their targets, and let their callers wait, after other submissions of the same
// request have crashed enough of them.
func TestQuarantineEndsSubmissionsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll(t)
		for id := range c.entries {
			c.silent[id] = true
		}
		ended := make(chan gateway.Response, 1)
		go func() { ended <- c.do(t.Context(), 0, "/all/x", badBody, "10.0.0.1:1") }()
		time.Sleep(20 * time.Millisecond)
		f := gateway.Fingerprint(&gateway.Request{Method: "POST", Target: "/all/x", Host: "h", Body: []byte(badBody)})
		for n := range 3 {
			require.Empty(t, ended)
			c.gateways["i0"].OnSuspicion(peer.Suspicion{Fingerprint: f, Crashes: []quarantine.Crash{{Target: query.TargetID(fmt.Sprint(n))}}})
			synctest.Wait()
		}
		require.Len(t, ended, 1)
		require.Equal(t, gateway.Failed, (<-ended).Kind)
	})
}
