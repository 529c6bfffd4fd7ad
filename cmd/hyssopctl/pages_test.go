package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// repoRoot is the root of the repository, relative to the folder in which the tests run.
const repoRoot = "../.."

func readRepoFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(repoRoot, path))
	require.NoError(t, err)
	return string(raw)
}

// productionSources returns the contents of the Go files that are not tests, by path.
func productionSources(t *testing.T) map[string]string {
	t.Helper()
	files := map[string]string{}
	for _, module := range []string{"adapter", "control", "emulator", "instance", "kernel", "query"} {
		err := fs.WalkDir(os.DirFS(repoRoot), module, func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				files[path] = readRepoFile(t, path)
			}
			return err
		})
		require.NoError(t, err)
	}
	return files
}

var (
	// counterCall matches calls that count under a name. A name that is the prefix of an expression is listed
	// with a "*" at its end.
	counterCall = regexp.MustCompile(`(?:Counter|Func|drop)\(\s*"([a-z0-9_]+)"(\s*\+)?`)
	// rowName matches the name in the first column of a table.
	rowName = regexp.MustCompile("(?m)^\\| `([a-z0-9_]+\\*?)` \\|")
)

func rowNames(page string) map[string]bool {
	names := map[string]bool{}
	for _, row := range rowName.FindAllStringSubmatch(page, -1) {
		names[row[1]] = true
	}
	return names
}

// Guards against counters that are missing from the page, and against rows for counters that no longer exist.
func TestCountersPageIsCurrent(t *testing.T) {
	documented := rowNames(readRepoFile(t, "docs/counters.md"))
	var source strings.Builder
	missing := map[string]string{}
	for path, text := range productionSources(t) {
		source.WriteString(text)
		for _, use := range counterCall.FindAllStringSubmatch(text, -1) {
			name := use[1]
			if use[2] != "" {
				name += "*"
			}
			if !documented[name] {
				missing["| `"+name+"` | what it counts |"] = path
			}
		}
	}
	require.Empty(t, missing, "add these rows to docs/counters.md; each comes with the file that counts it")
	for name := range documented {
		literal := `"` + strings.TrimSuffix(name, "*") + `"`
		require.Contains(t, source.String(), literal, "no code counts %q: remove its row from docs/counters.md", name)
	}
}

// Guards against error codes that are missing from the page or have no exit code.
func TestErrorsPageIsCurrent(t *testing.T) {
	documented := rowNames(readRepoFile(t, "docs/errors.md"))
	codes := regexp.MustCompile(`Code = "([a-z_]+)"`).FindAllStringSubmatch(readRepoFile(t, "adapter/problem/problem.go"), -1)
	require.NotEmpty(t, codes)
	mapped := map[string]bool{}
	for code := range exitCodes {
		mapped[string(code)] = true
	}
	for _, c := range codes {
		require.True(t, documented[c[1]], "add a row for the code %q to docs/errors.md", c[1])
		require.True(t, mapped[c[1]], "add the code %q to exitCodes in exit.go", c[1])
	}
}

// Guards against a page that does not match the schema of the settings.
func TestSettingsPageIsCurrent(t *testing.T) {
	want, err := instanceSettingsReference()
	require.NoError(t, err)
	require.Equal(t, want, readRepoFile(t, "docs/settings.md"), "run: go run ./cmd/hyssopctl settings-reference > docs/settings.md")
}

// Guards against a page of the gateway's settings that does not match their schema.
func TestGatewaySettingsPageIsCurrent(t *testing.T) {
	want, err := gatewaySettingsReference()
	require.NoError(t, err)
	require.Equal(t, want, readRepoFile(t, "docs/settings-gateway.md"), "run: go run ./cmd/hyssopctl settings-reference --gateway > docs/settings-gateway.md")
}

// Guards against fields of plans and limits that are missing from the operators' page.
func TestOperatingPageListsEveryField(t *testing.T) {
	documented := rowNames(readRepoFile(t, "docs/operating.md"))
	for _, field := range regexp.MustCompile(`json:"([a-z_]+)[,"]`).FindAllStringSubmatch(planAndLimitSource(t), -1) {
		require.True(t, documented[field[1]], "add a row for the field %q to docs/operating.md", field[1])
	}
}

// planAndLimitSource returns the source of the types Plan and Limit.
func planAndLimitSource(t *testing.T) string {
	t.Helper()
	types := regexp.MustCompile(`(?s)type (?:Plan|Limit) struct \{.*?\n\}`).FindAllString(readRepoFile(t, "control/config/config.go"), -1)
	require.Len(t, types, 2)
	return strings.Join(types, "\n")
}
