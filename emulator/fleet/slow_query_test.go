package fleet_test

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/kernel/settings"
	"hyssopcroft.example/kernel/timeline"
)

// Guards against a slow query whose path over both levels to the searcher is missing from the timelines, and against
// events about ordinary queries.
func TestSlowQueryIsRecordedAtBothLevels(t *testing.T) {
	f, apps := startTwoLevels(t)
	const slowTargetPrefix = "ledger-2-" // the replicas of shard 2
	delayTargets := func(by time.Duration) {
		for id, s := range f.Searchers {
			if strings.HasPrefix(string(id), slowTargetPrefix) {
				require.NoError(t, s.SetFaults(target.Faults{LateShare: 1, LateBy: settings.Duration(by)}))
			}
		}
	}
	events := func(request string) []timeline.Event {
		all := f.Platform.Ring().Events()
		for _, a := range apps {
			var own []timeline.Event
			require.Equal(t, http.StatusOK, do(t, http.MethodGet, a, "/v1/timeline", nil, nil, &own))
			all = append(all, own...)
		}
		all = slices.DeleteFunc(all, func(ev timeline.Event) bool { return ev.Subject != request })
		slices.SortFunc(all, func(a, b timeline.Event) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process)) })
		return all
	}
	require.Eventually(t, func() bool { // On a loaded machine some ordinary queries are slow.
		var ordinary caller.SearchResult
		require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &ordinary))
		return len(events(ordinary.Request)) == 0
	}, settleTimeout, settlePollInterval, "each query is recorded")

	delayTargets(600 * time.Millisecond) // far above the delay that a loaded machine adds to the other shards
	var slow caller.SearchResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &slow))
	found := events(slow.Request)
	entry := slices.IndexFunc(found, func(ev timeline.Event) bool { return strings.HasPrefix(ev.Kind, "query_") })
	require.GreaterOrEqual(t, entry, 0, found)
	require.Equal(t, "entry-0", found[entry].Process)
	// If the group was also sent to a second relay, the first one ended the group early.
	relay := slices.IndexFunc(found, func(ev timeline.Event) bool {
		return strings.HasPrefix(ev.Kind, "relay_") && ev.Process == detailValue(found[entry].Detail, "relay=")
	})
	require.GreaterOrEqual(t, relay, 0, found)
	require.Contains(t, found[relay].Detail, " shard=2 target=", found)
	searcher := slices.IndexFunc(found, func(ev timeline.Event) bool {
		return ev.Kind == "target_late" && detailValue(ev.Detail, "target=") == detailValue(found[relay].Detail, "target=")
	})
	require.GreaterOrEqual(t, searcher, 0, found)
	require.True(t, slices.ContainsFunc(found[:entry], func(ev timeline.Event) bool { return ev.Kind == "target_late" }), found)
	require.True(t, slices.ContainsFunc(found[:entry], func(ev timeline.Event) bool { return strings.HasPrefix(ev.Kind, "relay_") }), found)
}

// detailValue returns the value in a detail of the form "key=value key=value", for a prefix of the form "key=".
func detailValue(text, prefix string) string {
	_, rest, _ := strings.Cut(text, " "+prefix)
	if strings.HasPrefix(text, prefix) {
		rest = strings.TrimPrefix(text, prefix)
	}
	rest, _, _ = strings.Cut(rest, " ")
	return rest
}
