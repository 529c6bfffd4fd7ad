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

// publish replaces the partition maps.
func publish(t *testing.T, f *fleet.Fleet, maps []query.Map) {
	t.Helper()
	present, _ := f.Store.Get(configsync.KindSnapshots, "ledger")
	data, err := json.Marshal(maps)
	require.NoError(t, err)
	_, ok := f.Store.Put(configsync.KindSnapshots, "ledger", data, present.Version, 0)
	require.True(t, ok)
}

// Guards against answers that lack shards, or mix versions, when all searchers drop the version that
// queries are asked at.
func TestDroppedSnapshotRestartsTheQuery(t *testing.T) {
	f, apps := start(t)
	shards := []query.Shard{0, 1, 2, 3}
	publish(t, f, []query.Map{{Version: 1, Shards: shards}, {Version: 2, Shards: shards}})
	for _, s := range f.Searchers {
		s.SetSnapshots([]query.Version{2})
	}
	require.Eventually(t, func() bool { return completeAt(t, apps[0], 2) }, settleTimeout, settlePoll)
	var result caller.SearchResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &result))
	require.True(t, result.Complete)
	require.Equal(t, query.Version(2), result.Snapshot)
}
