package fleet_test

import (
	"net/http"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/emulator/replay"
	"hyssopcroft.example/instance/app"
)

// Guards against traces of running instances that do not replay to the same decisions or that lack some of them.
func TestTracesOfInstancesReplay(t *testing.T) {
	dir := t.TempDir()
	traceFile := func(instance string) string { return filepath.Join(dir, instance+".trace.gz") }
	t.Cleanup(func() { // runs after the instances have stopped
		for _, id := range []string{"entry-1", "entry-2"} {
			report, err := replay.File(traceFile(id))
			require.NoError(t, err)
			require.Equal(t, id, report.Source)
			require.Empty(t, report.Differences)
			require.Empty(t, report.Violations)
			require.NotEmpty(t, report.Found.Queries)
			require.EqualValues(t, 2, report.Found.Sequences[id])
			require.Len(t, report.Found.Plans, 1)
			if id == "entry-1" {
				require.Equal(t, []replay.EditOutcome{{Edit: "batch", Verdict: "accepted", Revision: 2, Writes: 1}}, report.Found.Edits)
			}
		}
	})
	_, apps := startWithSettings(t, func(s *app.Settings) { s.TraceFile = traceFile(s.Instance) })
	plan := testLists().Plans["counter"].Value
	plan.Priority = "batch"
	header := http.Header{}
	header.Set(admin.HeaderIfRevision, "1")
	header.Set(admin.HeaderEditID, "batch")
	require.Equal(t, http.StatusOK, do(t, http.MethodPut, apps[0], "/v1/plans/counter", header, plan, nil))
	for _, a := range apps {
		require.Eventually(t, func() bool {
			var status admin.Status
			do(t, http.MethodGet, a, "/v1/status", nil, nil, &status)
			return status.ConfigSequence == 2
		}, settleTimeout, settlePollInterval)
		for range 20 {
			var result caller.SearchResult
			require.Equal(t, http.StatusOK, do(t, http.MethodPost, a, "/v1/search", nil, searchBody, &result))
		}
	}
}
