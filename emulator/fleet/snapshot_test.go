package fleet_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/query"
)

// publishMaps replaces the partition maps in the store.
func publishMaps(t *testing.T, f *fleet.Fleet, maps []query.Map) {
	t.Helper()
	current, _ := f.Store.Get(configsync.KindSnapshots, "ledger")
	data, err := json.Marshal(maps)
	require.NoError(t, err)
	_, ok := f.Store.Put(configsync.KindSnapshots, "ledger", data, current.Version, 0)
	require.True(t, ok)
}

// Guards against answers that lack shards or mix snapshot versions when all searchers drop the version that queries
// use.
func TestDroppedSnapshotRestartsTheQuery(t *testing.T) {
	f, apps := start(t)
	shards := []query.Shard{0, 1, 2, 3}
	publishMaps(t, f, []query.Map{{Version: 1, Shards: shards}, {Version: 2, Shards: shards}})
	for _, s := range f.Searchers {
		s.SetSnapshots([]query.Version{2})
	}
	require.Eventually(t, func() bool { return searchCompleteAt(t, apps[0], 2) }, settleTimeout, settlePollInterval)
	var result caller.SearchResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &result))
	require.True(t, result.Complete)
	require.Equal(t, query.Version(2), result.Snapshot)
}
