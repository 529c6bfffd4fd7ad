package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// fakeInstance starts a server that responds with a fixed body for each path, and with 503 and the code
// outcome_unknown for any other path. It returns the address.
func fakeInstance(t *testing.T, bodies map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := bodies[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			body = `{"error":{"code":"outcome_unknown","message":"m","run":"unknown"}}`
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// runCaptured runs a command line and returns its exit code and its output.
func runCaptured(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	redirect := func(stream **os.File) func() string {
		r, w, err := os.Pipe()
		require.NoError(t, err)
		old, text := *stream, make(chan string)
		*stream = w
		go func() {
			raw, _ := io.ReadAll(r)
			text <- string(raw)
		}()
		return func() string {
			*stream = old
			_ = w.Close()
			return <-text
		}
	}
	out, err := redirect(&os.Stdout), redirect(&os.Stderr)
	code = run(args)
	return code, out(), err()
}

// Guards against changes of the exit codes and the output that scripts rely on.
func TestCommandLines(t *testing.T) {
	const events = `[{"at":{"wall":1000000000,"logical":0},"process":"p","kind":"k1","subject":"t1","detail":"plan=counter"},
		{"at":{"wall":2000000000,"logical":0},"process":"p","kind":"k2","subject":"t2"}]`
	good := fakeInstance(t, map[string]string{
		"/v1/search":   `{"instance":"entry-1","snapshot":4,"coverage":{"included":[0],"missing":[{"shard":1,"cause":"timeout"}]},"hits":[{"id":"a"}]}`,
		"/v1/execute":  `{"instance":"entry-1","result":"done","repeated":true}`,
		"/v1/status":   `{"instance":"entry-1","config_sequence":5}`,
		"/v1/timeline": events,
	})
	behind := fakeInstance(t, map[string]string{"/v1/status": `{"instance":"entry-2","config_sequence":4}`})
	refusing := fakeInstance(t, nil)
	cases := []struct {
		name, args     string
		code           int
		stdout, stderr string // substrings of the output
	}{
		{"unknown command", "bogus", exitUsage, "", "unexpected argument"},
		{"missing flag", "search x", exitUsage, "", "missing flags"},
		{"search", "--instance " + good + " search --plan p --index i x", 0, "shard 1 is missing: timeout", ""},
		{"search as JSON", "--json --instance " + good + " search --plan p --index i x", 0, `"snapshot": 4`, ""},
		{"execute", "--instance " + good + " execute --plan p --index i x", 0, "earlier submission: true", "key "},
		{"execute, outcome unknown", "--instance " + refusing + " execute --plan p --index i --key k-1 x", exitOutcomeUnknown, "", "send it again with --key k-1"},
		{"failure as JSON", "--json --instance " + refusing + " search --plan p --index i x", exitOutcomeUnknown, "", `{"error":{"code":"outcome_unknown"`},
		{"status of two", "status " + good + " " + behind, 0, "not confirmed: configuration 5 at entry-2, which has 4", ""},
		{"status, one unreachable", "status " + good + " 127.0.0.1:1", exitUnavailable, "entry-1 at ", "not every instance"},
		{"status as JSON", "--json status " + good, 0, `"config_sequence": 5`, ""},
		{"timeline", "timeline " + good, 0, "k1", ""},
		{"timeline, bad time", "timeline --since x " + good, exitInvalid, "", "--since: expected a time"},
		{"timeline, one unreachable", "timeline " + good + " 127.0.0.1:1", exitUnavailable, "k1", "127.0.0.1:1: no events"},
		{"check", "check ../../examples/entry-1.json", 0, "no faults", ""},
		{"check of invalid settings", "check ../../examples/workload.json", exitInvalid, "", "/seed: unknown key; known keys are"},
		{"check of invalid settings as JSON", "--json check ../../examples/workload.json", exitInvalid, `"path": "/listen"`, `{"error":{"code":"invalid"`},
		{"load with a non-loopback address", "load --workload ../../examples/workload.json 192.0.2.1:80", exitInvalid, "", "loopback"},
		{"load", "--json load --workload ../../examples/workload.json --requests 1 " + good, 0, `"finished": 1`, ""},
		{"replay", "replay ../../emulator/replay/testdata/target-crash.trace.gz", 0, "stated outcomes checked, pass true", ""},
		{"replay of a file that is not a trace", "replay ../../examples/workload.json", exitInvalid, "", "not a trace"},
		{"replay of a missing file", "replay no-such", exitNotFound, "", "no-such"},
		{"unknown measure", "measure no-such", exitNotFound, "", "no-such"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCaptured(t, strings.Fields(c.args)...)
			require.Equal(t, c.code, code, stderr)
			require.Contains(t, stdout, c.stdout)
			require.Contains(t, stderr, c.stderr)
		})
	}
}

// Guards against filters that let through events that do not match, or drop events that do.
func TestTimelineFilters(t *testing.T) {
	address := fakeInstance(t, map[string]string{"/v1/timeline": `[
		{"at":{"wall":3000000000},"process":"b","kind":"k2","subject":"t2","detail":"request 00ff, plan counter"},
		{"at":{"wall":1000000000},"process":"a","kind":"k1","subject":"t1"},
		{"at":{"wall":2000000000},"process":"a","kind":"k2","subject":"counter"}]`})
	cases := []struct{ flags, want string }{
		{"", "t1 counter t2"},
		{"--kind k1", "t1"},
		{"--kind k1 --kind k2", "t1 counter t2"},
		{"--target t2", "t2"},
		{"--plan counter", "counter t2"},
		{"--plan count", ""},
		{"--request 00ff --plan counter", "t2"},
		{"--since 1970-01-01T00:00:02Z", "counter t2"},
		{"--until 1970-01-01T00:00:02Z", "t1 counter"},
		{"--since 5m", ""},
	}
	for _, c := range cases {
		t.Run(c.flags, func(t *testing.T) {
			_, stdout, _ := runCaptured(t, strings.Fields("--json timeline "+c.flags+" "+address)...)
			var subjects []string
			for line := range strings.Lines(stdout) {
				_, rest, _ := strings.Cut(line, `"subject":"`)
				subject, _, _ := strings.Cut(rest, `"`)
				subjects = append(subjects, subject)
			}
			require.Equal(t, c.want, strings.Join(subjects, " "))
		})
	}
}

// Guards against a page that refers to other files, lacks events or lanes, or does not escape the texts of events.
func TestTimelinePage(t *testing.T) {
	address := fakeInstance(t, map[string]string{"/v1/timeline": `[
		{"at":{"wall":2000000000},"process":"b","kind":"k2","subject":"<script>x</script>"},
		{"at":{"wall":1000000000},"process":"a","kind":"k1","subject":"t1"}]`})
	file := filepath.Join(t.TempDir(), "page.html")
	code, _, stderr := runCaptured(t, "timeline", "--html", file, address)
	require.Zero(t, code, stderr)
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	page := string(raw)
	require.Equal(t, 2, strings.Count(page, "<circle"))
	require.Equal(t, 2, strings.Count(page, "<line"))
	require.NotContains(t, page, "<script")
	require.NotRegexp(t, `(src|href)="[^#]`, page)
	require.Less(t, strings.Index(page, "t1"), strings.Index(page, "k2"))
}

// Guards against a subcommand without examples in its help.
func TestEverySubcommandHasExamples(t *testing.T) {
	for _, leaf := range newParser(&cli{}).Model.Leaves(false) {
		require.Contains(t, detailOf(leaf), "hyssopctl ", "give %s a Help method with examples, as in help.go", leaf.Path())
	}
}

func detailOf(n *kong.Node) string {
	if n.Detail != "" || n.Parent == nil {
		return n.Detail
	}
	return detailOf(n.Parent)
}
