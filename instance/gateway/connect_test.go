package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/instance/members"
)

// memberCount is a fleet of this number of instances. It implements gateway.Members.
type memberCount int

func (n memberCount) Members() []membership.Member {
	list := make([]membership.Member, 0, n)
	for i := range int(n) {
		list = append(list, membership.Member{ID: fmt.Sprint("i", i), FailureDomain: "near", State: membership.Live})
	}
	return list
}

// Guards against unused connections that stay open where targets accept few: after a power loss of the instances,
// targets count the connections of their earlier incarnations for 10 s and refuse new ones, and requests lack shards
// meanwhile. Connections that first attempts need stay open, and where targets accept many connections, all stay open. An
// instance whose requests run at relays needs none to the shards.
func TestUnusedConnectionsAreClosedWhenScarce(t *testing.T) {
	for _, c := range []struct {
		instances    int
		closes       bool
		needsNearest bool
	}{{6, false, true}, {12, true, true}, {64, true, false}} {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSteadySender()
				f.sent = map[string]int{}
				cfg := testConfig(t, f)
				cfg.Members = memberCount(c.instances)
				s := gateway.New(cfg)
				require.NoError(t, s.Start(t.Context()))
				defer func() { require.NoError(t, s.Stop(t.Context())) }()
				require.NoError(t, cfg.Bus.Publish(members.Changed{ID: "i1", State: "live"}))
				table, entries := tableAndTargets()
				s.SetTable(table)
				s.SetTargets(directory.TargetsChanged{Entries: entries})
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				if !c.closes {
					require.Empty(t, f.keepSets)
					return
				}
				require.NotEmpty(t, f.keepSets)
				latest := f.keepSets[len(f.keepSets)-1]
				require.True(t, latest["single-near"])
				for i := range shards {
					require.Equal(t, c.needsNearest, latest[fmt.Sprintf("s%d-near", i)])
					require.False(t, latest[fmt.Sprintf("s%d-far", i)])
				}
			})
		})
	}
}
