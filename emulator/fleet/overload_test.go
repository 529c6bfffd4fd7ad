package fleet_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/instance/app"
)

// overloadLists adds a batch plan whose limits exceed what an instance admits.
func overloadLists() config.Lists {
	lists := testLists()
	lists.Plans["nightly"] = config.Entry[config.Plan]{
		Value: config.Plan{Name: "nightly", Priority: config.PriorityBatch, Prefer: config.PreferTail}, Revision: 1,
	}
	limit := lists.Limits["counter"].Value
	limit.Plan, limit.RatePerSecond, limit.Concurrency = "nightly", 1_000_000, 1_000_000
	lists.Limits["nightly"] = config.Entry[config.Limit]{Value: limit, Revision: 1}
	return lists
}

// Guards against batch searches that displace searches of high priority, against overload refusals without an
// error code, and against refused searches that reach a searcher.
func TestOverloadRefusesBatchFirst(t *testing.T) {
	f, err := fleet.Start(fleet.Deployment{
		Host: "127.0.0.1", FailureDomains: []string{"caernarfon"}, Lists: overloadLists(), Seed: 1,
		Indexes:         []fleet.Index{{Name: "ledger", Shards: testShards, Replicas: 2, Slots: 2, Connections: 25}},
		MeanServiceTime: 20 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	a, err := app.New(app.Settings{
		Instance: "entry-1", FailureDomain: "caernarfon", Region: "wales", Listen: "127.0.0.1:0", Platform: f.PlatformURL(),
	}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, a.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, a.Stop(context.Background())) })
	require.Eventually(t, func() bool { return searchCompleteAt(t, a, 1) }, settleTimeout, settlePollInterval)

	const searches = 200
	bodies := make([]struct{ Error *problem.Problem }, searches)
	var batch sync.WaitGroup
	for i := range bodies {
		batch.Go(func() {
			body := caller.SearchRequest{Plan: "nightly", Index: "ledger", Query: "washed jars"}
			do(t, http.MethodPost, a, "/v1/search", nil, body, &bodies[i])
		})
	}
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, a, "/v1/search", nil, searchBody, nil))
	batch.Wait()
	refused := 0
	for _, b := range bodies {
		if b.Error == nil {
			continue
		}
		require.Equal(t, problem.Overloaded, b.Error.Code)
		require.Equal(t, problem.NotRun, b.Error.RunState)
		require.Positive(t, b.Error.RetryAfterMillis)
		refused++
	}
	require.Positive(t, refused)
	var vars struct {
		Refused int `json:"admission_refused_batch_full"`
	}
	require.Equal(t, http.StatusOK, do(t, http.MethodGet, a, "/debug/vars", nil, nil, &vars))
	require.Equal(t, refused, vars.Refused)
}
