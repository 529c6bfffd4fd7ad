package rolling

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/emulator/pipenet"
)

// Guards against an instance that, when it is replaced under load, interrupts requests or partial queries, or refuses
// them before the balancer has taken it out of rotation.
func TestReplacementInterruptsNoRequests(t *testing.T) {
	for name, connections := range map[string]int{"flat": 25, "over relays": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Until(claim.MinKeyTime)) // Virtual time starts in 2000, before the first valid key time.
				r, err := Run(Config{
					Instances: 3, Workers: 12, BalancerLag: 600 * time.Millisecond, BalancerPoll: 50 * time.Millisecond,
					MeanServiceTime: 20 * time.Millisecond, Connections: connections, SettleTime: 200 * time.Millisecond, Seed: 1, Pipes: pipenet.New(),
				})
				require.NoError(t, err)
				require.Equal(t, 3, r.Replaced)
				require.Zero(t, r.Interrupted, "%v", r.Causes)
				require.Zero(t, r.Refused, "%v", r.Causes)
				require.Zero(t, r.Incomplete, "%v", r.Causes)
				require.Zero(t, r.Late)
				require.Zero(t, r.RunTwice)
				require.Positive(t, r.Requests)
				t.Logf("%+v", r)
			})
		})
	}
}
