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

// Guards against a slow query whose way over both levels down to the searcher cannot be seen, and
// against events about ordinary queries.
func TestSlowQueryIsSeenOverBothLevels(t *testing.T) {
	f, apps := startTwoLevels(t)
	const lateTargets = "ledger-2-" // the replicas of shard 2
	late := func(by time.Duration) {
		for id, s := range f.Searchers {
			if strings.HasPrefix(string(id), lateTargets) {
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
	require.Eventually(t, func() bool { // On a busy machine some ordinary queries are slow.
		var ordinary caller.Result
		require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &ordinary))
		return len(events(ordinary.Request)) == 0
	}, settleTimeout, settlePoll, "each query is recorded")

	late(150 * time.Millisecond)
	var slow caller.Result
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &slow))
	found := events(slow.Request)
	index := func(kind string) int {
		return slices.IndexFunc(found, func(ev timeline.Event) bool { return ev.Kind == kind })
	}
	searcher, relay, entry := index("target_late"), index("relay_slow"), index("query_slow")
	require.GreaterOrEqual(t, searcher, 0, found)
	require.Greater(t, relay, searcher, found)
	require.Greater(t, entry, relay, found)
	require.Equal(t, "entry-0", found[entry].Process)
	for _, i := range []int{relay, entry} {
		require.Contains(t, found[i].Detail, "plan=counter", found)
	}
	require.Contains(t, found[entry].Detail, " relay="+found[relay].Process+" ", found)
	require.Contains(t, found[relay].Detail, " shard=2 target=", found)
	_, name, _ := strings.Cut(found[relay].Detail, " target=")
	name, _, _ = strings.Cut(name, " ")
	require.True(t, slices.ContainsFunc(found, func(ev timeline.Event) bool {
		return ev.Kind == "target_late" && strings.Contains(ev.Detail, "target="+name+" ")
	}), found)
}
