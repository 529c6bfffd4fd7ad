package gateway_test

import (
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/routing"
)

// Guards against an instance that wakes from a freeze, gets several configurations at once, and keeps an older one.
func TestNewestOfSeveralConfigurationsStaysInForce(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t, &fakeSender{sent: map[string]int{}})
		s := newServiceFrom(t, cfg)
		require.NoError(t, s.Start(t.Context()))
		const newest = 60
		for v := 6; v <= newest; v++ {
			// The limit tells which table is in force.
			table := routing.Table{Version: query.Version(v), Limits: routing.Limits{HeaderBytes: v}}
			require.NoError(t, cfg.Bus.Publish(directory.RoutesChanged{Table: table}))
		}
		synctest.Wait()
		inForce, ok := s.Limits()
		require.True(t, ok)
		require.Equal(t, newest, inForce.HeaderBytes)
		require.NoError(t, s.Stop(t.Context()))
	})
}
