package fleet_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/instance/app"
)

// searchConcurrently runs several searches at the same time, so that both replicas of each shard get attempts.
func searchConcurrently(t *testing.T, a *app.App) {
	const searches = 8
	results := make([]caller.SearchResult, searches)
	codes := make([]int, searches)
	var clients sync.WaitGroup
	for i := range searches {
		clients.Go(func() { codes[i] = do(t, http.MethodPost, a, "/v1/search", nil, searchBody, &results[i]) })
	}
	clients.Wait()
	for i, code := range codes {
		require.Equal(t, http.StatusOK, code)
		require.True(t, results[i].Complete)
	}
}

// Guards against an instance that continues to send requests to a draining target that another instance has detected.
// The platform's list does not mark the target.
func TestDrainingTargetIsReportedToTheOtherInstance(t *testing.T) {
	f, apps := start(t)
	f.Searchers["ledger-0-0"].SetDraining(true)
	reported := func() bool {
		searchConcurrently(t, apps[0])
		var vars map[string]any
		do(t, http.MethodGet, apps[1], "/debug/vars", nil, nil, &vars)
		return vars["draining_reports_taken"] != nil
	}
	require.Eventually(t, reported, settleTimeout, settlePollInterval)
}
