package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against example commands in docs/OPERATIONS.md that do not work as written, and against reports that
// lack the lines by which the page explains the cause.
func TestOperationsPageExamples(t *testing.T) {
	page := readRepoFile(t, "docs/OPERATIONS.md")
	commands := regexp.MustCompile(`(?m)^    hyssopctl explain ([0-9a-f]{16}) (cmd/hyssopctl/testdata/\S+)$`).FindAllStringSubmatch(page, -1)
	require.Len(t, commands, 3)
	// The key lines of each of the three reports, in the order of the page.
	expected := [][]string{
		{"request answered short", "cancelled after 111.1 ms", `"covered":9`, "routes in force"},
		{"request refused", "lets in fewer", `"in_flight":7`, `"retry_after_ms"`},
		{"request failed", "crashed after 373.7 ms", "another target has this address"},
	}
	for i, c := range commands {
		f, err := os.Open(filepath.Join("..", "..", filepath.FromSlash(c[2])))
		require.NoError(t, err)
		lines, err := readLog(f, nil)
		require.NoError(t, err)
		require.NoError(t, f.Close())
		report := explain(c[1], lines)
		output := strings.Join(append(append(append(
			report.Outcomes, report.Attempts...), report.InstanceState...), report.TargetEvents...), "\n")
		for _, text := range expected[i] {
			require.Contains(t, output, text, c[0])
		}
	}
}

// Guards against a line that is not JSON ending the read, and against a report with the state of an instance
// other than the one that handled the request.
func TestExplainUsesStateOfRequestInstance(t *testing.T) {
	lines, err := readLog(strings.NewReader(strings.Join([]string{
		`{"time":"2026-01-01T00:00:00Z","msg":"routes in force","instance":"a","version":1}`,
		`{"time":"2026-01-01T00:00:09Z","msg":"routes in force","instance":"b","version":2}`,
		`not JSON {"msg":`, `  12.5 a {"time":"2026-01-01T00:00:10Z","msg":"request failed","instance":"a","request":"r","attempts":[{"service":"s","target":"t"}]}`,
		`{"time":"2026-01-01T00:00:11Z","msg":"target left the list","instance":"b","target":"t"}`,
		`{"time":"2026-01-01T00:01:11Z","msg":"target left the list","instance":"b","target":"t"}`,
		`{"time":"2026-01-01T00:00:11Z","msg":"target left the list","instance":"b","target":"u"}`,
	}, "\n")), nil)
	require.NoError(t, err)
	report := explain("r", lines)
	require.Len(t, report.Outcomes, 1)
	require.Len(t, report.InstanceState, 1)
	require.Contains(t, report.InstanceState[0], `"version":1`)
	require.Contains(t, report.InstanceState[0], "10.000 s old")
	require.Len(t, report.TargetEvents, 1)
	require.Empty(t, explain("unknown", lines).Outcomes)
}

// Guards against a report on a late request that omits a stall of the instance that handled it.
func TestExplainListsStallsOfRequestInstance(t *testing.T) {
	lines, err := readLog(strings.NewReader(strings.Join([]string{
		`{"time":"2026-01-01T00:00:10Z","msg":"request answered late","instance":"a","request":"r","attempts":[]}`,
		`{"time":"2026-01-01T00:00:10.1Z","msg":"process stood still","instance":"a","pause_ms":2500}`,
		`{"time":"2026-01-01T00:00:10.1Z","msg":"process stood still","instance":"b","pause_ms":900}`,
	}, "\n")), nil)
	require.NoError(t, err)
	report := explain("r", lines)
	require.Len(t, report.TargetEvents, 1)
	require.Contains(t, report.TargetEvents[0], `"pause_ms":2500`)
}
