package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/kernel/settings"
	"hyssopcroft.example/query"
)

// startTwoLevels starts five instances, of which only two may connect to the same searcher.
func startTwoLevels(t *testing.T) (*fleet.Fleet, []*app.App) {
	t.Helper()
	domains := []string{"caernarfon", "llandrindod", "pontypridd"}
	f, err := fleet.Start(fleet.Deployment{
		Host: "127.0.0.1", FailureDomains: domains, Lists: testLists(), Seed: 1,
		Indexes: []fleet.Index{{Name: "ledger", Shards: testShards, Replicas: 3, Slots: 2, Connections: 5}},
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	var apps []*app.App
	var list []platform.Instance
	for i := range 5 {
		id, domain := fmt.Sprintf("entry-%d", i), domains[i%len(domains)]
		a, err := app.New(app.Settings{
			Instance: id, FailureDomain: domain, Region: "wales", Listen: "127.0.0.1:0", Platform: f.PlatformURL(),
			BalancerLag: settings.Duration(time.Millisecond), // no balancer sends requests here
		}, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		apps = append(apps, a)
		list = append(list, platform.Instance{ID: id, Address: a.Address(), FailureDomain: domain, State: platform.InstanceLive})
	}
	f.SetInstances(list)
	for _, a := range apps {
		require.NoError(t, a.Start(context.Background()))
		t.Cleanup(func() { require.NoError(t, a.Stop(context.Background())) })
	}
	for _, a := range apps {
		// The status shows a member before the placement that follows from it is computed; until then searches go to the
		// searchers directly.
		require.Eventually(t, func() bool {
			before := groupsSent(t, a)
			return hasLiveMembers(t, a, len(apps)) && searchCompleteAt(t, a, 1) && groupsSent(t, a) > before
		}, settleTimeout, settlePollInterval)
	}
	return f, apps
}

func hasLiveMembers(t *testing.T, a *app.App, want int) bool {
	var status admin.Status
	require.Equal(t, http.StatusOK, do(t, http.MethodGet, a, "/v1/status", nil, nil, &status))
	live := 0
	for _, m := range status.Members {
		if m.State == "live" {
			live++
		}
	}
	return live == want
}

func searchCompleteAt(t *testing.T, a *app.App, v query.Version) bool {
	var result caller.SearchResult
	code := do(t, http.MethodPost, a, "/v1/search", nil, searchBody, &result)
	return code == http.StatusOK && result.Complete && result.Snapshot == v && len(result.Coverage.Included) == testShards
}

// groupsSent returns the number of shard groups that the instance has sent to relays.
func groupsSent(t *testing.T, a *app.App) int {
	var vars struct {
		Sent int `json:"groups_sent"`
	}
	require.Equal(t, http.StatusOK, do(t, http.MethodGet, a, "/debug/vars", nil, nil, &vars))
	return vars.Sent
}

// maxConnections returns the highest number of connections that any searcher has.
func maxConnections(f *fleet.Fleet) int {
	n := 0
	for _, h := range f.Hosts {
		n = max(n, h.Connections())
	}
	return n
}

// Guards against answers over two levels that lack shards or differ between instances. The test drops a snapshot
// version and stops an instance that holds connections to targets.
func TestTwoLevels(t *testing.T) {
	f, apps := startTwoLevels(t)
	var first caller.SearchResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &first))
	for _, a := range apps {
		var result caller.SearchResult
		before := groupsSent(t, a)
		require.Equal(t, http.StatusOK, do(t, http.MethodPost, a, "/v1/search", nil, searchBody, &result))
		require.Equal(t, first.Hits, result.Hits)
		require.Equal(t, first.Coverage, result.Coverage)
		require.Greater(t, groupsSent(t, a), before, "one level although the searchers' connections do not suffice")
	}
	require.Eventually(t, func() bool { return maxConnections(f) == 2 },
		settleTimeout, settlePollInterval, "connections not released")
	shards := []query.Shard{0, 1, 2, 3}
	publishMaps(t, f, []query.Map{{Version: 1, Shards: shards}, {Version: 2, Shards: shards}})
	for _, s := range f.Searchers {
		s.SetSnapshots([]query.Version{2})
	}
	for _, a := range apps {
		require.Eventually(t, func() bool { return searchCompleteAt(t, a, 2) }, settleTimeout, settlePollInterval)
	}
	require.NoError(t, apps[4].Stop(context.Background()))
	for _, a := range slices.Clone(apps[:4]) {
		require.True(t, searchCompleteAt(t, a, 2), "group not sent to a second relay")
	}
}
