package fleet_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel/settings"
)

// resendsPerInstance is the number of times that a caller sends the crashing request through each instance.
const resendsPerInstance = 3

// Guards against a request that crashes more than two targets, or two replicas of a shard, when it is resent through
// every instance, and against the refusal of other requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for name, startFleet := range map[string]func(*testing.T) (*fleet.Fleet, []*app.App){
		"one level": start, "two levels": startTwoLevels,
	} {
		t.Run(name, func(t *testing.T) {
			f, apps := startFleet(t)
			for _, s := range f.Searchers {
				require.NoError(t, s.SetFaults(target.Faults{CrashOn: "poison"}))
			}
			body := caller.SearchRequest{Plan: "counter", Index: "ledger", Query: "poison: jar 7"}
			for range resendsPerInstance {
				for _, a := range apps {
					var got struct{ Error problem.Problem }
					require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, a, "/v1/search", nil, body, &got))
					require.Equal(t, problem.Quarantined, got.Error.Code)
				}
			}
			require.LessOrEqual(t, crashCount(t, f), int64(2))
			for _, a := range apps {
				require.Eventually(t, func() bool { return searchCompleteAt(t, a, 1) }, settleTimeout, settlePollInterval)
			}
		})
	}
}

// Guards against an instance that starts after a request was confirmed as crashing and runs another canary of it.
func TestLaterInstanceRefusesQuarantinedRequests(t *testing.T) {
	f, apps := start(t)
	for _, s := range f.Searchers {
		require.NoError(t, s.SetFaults(target.Faults{CrashOn: "poison", RestartAfter: settings.Duration(time.Millisecond)}))
	}
	body := caller.SearchRequest{Plan: "counter", Index: "ledger", Query: "poison: jar 7"}
	require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, apps[0], "/v1/search", nil, body, nil))
	require.Eventually(t, func() bool {
		_, written := f.Store.Get(configsync.KindQuarantine, configsync.NameCurrent)
		return written && crashCount(t, f) == 2 // A host counts a crash after it has closed its connections.
	}, settleTimeout, settlePollInterval)
	a, err := app.New(app.Settings{
		Instance: "entry-3", FailureDomain: "llandrindod", Region: "wales", Listen: "127.0.0.1:0", Platform: f.PlatformURL(),
		BalancerLag: settings.Duration(time.Millisecond), // no balancer sends requests here
	}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, a.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, a.Stop(context.Background())) })
	require.Eventually(t, func() bool { return searchCompleteAt(t, a, 1) }, settleTimeout, settlePollInterval)
	var got struct{ Error problem.Problem }
	require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, a, "/v1/search", nil, body, &got))
	require.Equal(t, problem.Quarantined, got.Error.Code)
	require.Equal(t, problem.NotRun, got.Error.RunState)
	require.Equal(t, int64(2), crashCount(t, f))
}

// crashCount returns the number of crashes of all targets. It fails the test if a shard has had two crashes.
func crashCount(t *testing.T, f *fleet.Fleet) int64 {
	var total int64
	byShard := map[string]int64{}
	for id, s := range f.Searchers {
		n := s.Counter("crashes")
		total += n
		shard := string(id)[:len(id)-1] // An id ends with the replica number.
		byShard[shard] += n
		require.LessOrEqual(t, byShard[shard], int64(1), shard)
	}
	return total
}

// Guards against the quarantine of a request that crashed one target although other targets answer it.
func TestSuspectIsClearedByItsCanary(t *testing.T) {
	f, apps := start(t)
	body := caller.SearchRequest{Plan: "counter", Index: "ledger", Query: "poison: jar 7"}
	for id, s := range f.Searchers {
		if shard := string(id)[:len(id)-1]; shard == "ledger-0-" {
			require.NoError(t, s.SetFaults(target.Faults{CrashOn: "poison"}))
		}
	}
	for _, a := range apps {
		var got caller.SearchResult
		do(t, http.MethodPost, a, "/v1/search", nil, body, &got)
		for _, m := range got.Coverage.Missing {
			require.EqualValues(t, 0, m.Shard)
		}
		var refused struct{ Error *problem.Problem }
		do(t, http.MethodPost, a, "/v1/search", nil, body, &refused)
		require.False(t, refused.Error != nil && refused.Error.Code == problem.Quarantined)
	}
}
