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
