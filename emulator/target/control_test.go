package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	api "hyssopcroft.example/adapter/target"
	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/query"
)

// sendControl sends a JSON body over HTTP/1.1, as curl does, and returns the response status.
func sendControl(t *testing.T, h *harness, method, path string, body any) int {
	t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(raw))
	require.NoError(t, err)
	transport := &http.Transport{DialContext: h.network.DialContext, DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against faults and actions that work in Go but not over HTTP, and against invalid faults that
// are accepted without an error.
func TestFaultsOverHTTP(t *testing.T) {
	ok, put, post := http.StatusOK, http.MethodPut, http.MethodPost
	shards := []query.Shard{4}
	cases := []struct {
		name, method, path string
		body               any
		status             int
		req                api.Search
		outcome            query.Outcome
	}{
		{"shed", put, fault.Path, target.Faults{ShedShare: 1}, ok, search(0, 1, "jars"), query.OutcomeShed},
		{"invalid share", put, fault.Path, target.Faults{ShedShare: 2}, 422, search(0, 1, "jars"), query.OutcomeAnswered},
		{"invalid factor", put, fault.Path, target.Faults{SlowShare: 1}, 422, search(0, 1, "jars"), query.OutcomeAnswered},
		{"unknown fault", put, fault.Path, map[string]int{"colour": 1}, 400, search(0, 1, "jars"), query.OutcomeAnswered},
		{"all faults off", http.MethodDelete, fault.Path, nil, ok, search(0, 1, "jars"), query.OutcomeAnswered},
		{"drain", post, target.PathDrain, target.Drain{Draining: true}, ok, search(0, 1, "jars"), query.OutcomeDraining},
		{"drop a version", post, target.PathSnapshots, target.Snapshots{Held: []query.Version{2}}, ok, search(0, 1, "jars"), query.OutcomeSnapshotGone},
		{"split", post, target.PathAddSnapshot, target.AddedSnapshot{Version: 3, Shards: shards}, ok, search(4, 3, "jars"), query.OutcomeAnswered},
		{"silence", post, target.PathSilence, target.Silence{Connections: 1}, ok, search(0, 1, "jars"), query.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
				require.Equal(t, query.OutcomeAnswered, h.client.Search(t.Context(), search(0, 2, "jars")).Outcome)
				require.Equal(t, c.status, sendControl(t, h, c.method, c.path, c.body))
				require.Equal(t, c.outcome, h.client.Search(t.Context(), c.req).Outcome)
			})
		})
	}
}

// Guards against outcomes over TCP that differ from those over in-memory pipes after a crash or a
// connection refused at the limit.
func TestCrashAndLimitOverTCP(t *testing.T) {
	const rounds = 20 // The order in which client and server see the close varies.
	for range rounds {
		s := target.NewSearcher(config())
		require.NoError(t, s.SetFaults(target.Faults{CrashOn: "poison"}))
		h := target.NewHost(s, target.HostConfig{Connections: 1})
		addr, err := h.Start("127.0.0.1:0")
		require.NoError(t, err)
		occupied, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return h.Connections() == 1 }, time.Second, time.Millisecond)
		transport := api.NewTransport(time.Second, time.Second)
		searchFor := func(text string) query.Outcome {
			req := search(0, 1, text)
			req.Address = addr
			return api.NewClient(transport).Search(context.Background(), req).Outcome
		}
		require.Contains(t, []query.Outcome{query.OutcomeNotRun, query.OutcomeUnknown}, searchFor("jars"))
		require.NoError(t, occupied.Close())
		require.Eventually(t, func() bool { return h.Connections() == 0 }, time.Second, time.Millisecond)
		require.Equal(t, query.OutcomeAnswered, searchFor("jars"))
		require.Equal(t, query.OutcomeCrashed, searchFor("poison"))
		require.Equal(t, query.OutcomeNotRun, searchFor("jars"))
		transport.CloseIdleConnections()
		h.Stop()
	}
}
