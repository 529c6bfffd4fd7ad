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

// resends is the number of times that a caller sends the request through each instance.
const resends = 3

// Guards against a request that crashes more than two targets or two replicas of a shard when it is
// sent through every instance again and again, and against other requests that are refused with it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for name, begin := range map[string]func(*testing.T) (*fleet.Fleet, []*app.App){
		"one level": start, "two levels": startTwoLevels,
	} {
		t.Run(name, func(t *testing.T) {
			f, apps := begin(t)
			for _, s := range f.Searchers {
				require.NoError(t, s.SetFaults(target.Faults{CrashOn: "poison"}))
			}
			body := caller.SearchRequest{Plan: "counter", Index: "ledger", Query: "poison: jar 7"}
			for range resends {
				for _, a := range apps {
					var got struct{ Error problem.Problem }
					require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, a, "/v1/search", nil, body, &got))
					require.Equal(t, problem.Quarantined, got.Error.Code)
				}
			}
			require.LessOrEqual(t, crashes(t, f), int64(2))
			for _, a := range apps {
				require.Eventually(t, func() bool { return completeAt(t, a, 1) }, settleTimeout, settlePoll)
			}
		})
	}
}

// Guards against an instance that starts later and runs a canary of a confirmed request.
func TestLaterInstanceKnowsQuarantinedRequests(t *testing.T) {
	f, apps := start(t)
	for _, s := range f.Searchers {
		require.NoError(t, s.SetFaults(target.Faults{CrashOn: "poison", RestartAfter: settings.Duration(time.Millisecond)}))
	}
	body := caller.SearchRequest{Plan: "counter", Index: "ledger", Query: "poison: jar 7"}
	require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, apps[0], "/v1/search", nil, body, nil))
	require.Eventually(t, func() bool {
		_, written := f.Store.Get(configsync.KindQuarantine, configsync.NameCurrent)
		return written && crashes(t, f) == 2 // A host counts a crash once its connections are closed.
	}, settleTimeout, settlePoll)
	a, err := app.New(app.Settings{
		Instance: "entry-3", FailureDomain: "llandrindod", Region: "wales", Listen: "127.0.0.1:0", Platform: f.PlatformURL(),
		BalancerLag: settings.Duration(time.Millisecond), // no balancer sends requests here
	}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, a.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, a.Stop(context.Background())) })
	require.Eventually(t, func() bool { return completeAt(t, a, 1) }, settleTimeout, settlePoll)
	var got struct{ Error problem.Problem }
	require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, a, "/v1/search", nil, body, &got))
	require.Equal(t, problem.Quarantined, got.Error.Code)
	require.Equal(t, problem.NotRun, got.Error.RunState)
	require.Equal(t, int64(2), crashes(t, f))
}

// crashes returns the crashes of all targets, and fails if two replicas of a shard have crashed.
func crashes(t *testing.T, f *fleet.Fleet) int64 {
	var all int64
	byShard := map[string]int64{}
	for id, s := range f.Searchers {
		n := s.Counter("crashes")
		all += n
		shard := string(id)[:len(id)-1] // ids end with the number of the replica
		byShard[shard] += n
		require.LessOrEqual(t, byShard[shard], int64(1), shard)
	}
	return all
}

// Guards against a request that is held back because one target crashed on it, although the others
// answer it.
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
