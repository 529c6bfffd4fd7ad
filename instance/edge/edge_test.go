package edge

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/query/quarantine"
)

// Guards against an instance that ignores a peer's suspicion that a request crashes targets, or that counts a repeated
// one twice.
func TestSuspicionOfAnotherInstance(t *testing.T) {
	registry := prometheus.NewRegistry()
	free := "127.0.0.1:0"
	e, err := New(Settings{Instance: "a", Callers: free, Readiness: free, Control: free, IP: "127.0.0.1"}.withDefaults(), Adapter{
		CallerHandler: func(*gateway.Service) http.Handler { return http.NotFoundHandler() },
	}, registry, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer func() {
		for _, l := range e.listeners {
			require.NoError(t, l.Close())
		}
	}()
	peers := httptest.NewServer(e.servers[0].Handler)
	defer peers.Close()
	suspicion := peer.Suspicion{Fingerprint: 7, Crashes: []quarantine.Crash{{Target: "t@1"}, {Target: "u@1"}}}
	for range 2 {
		require.NoError(t, peer.NewRelayClient(http.DefaultTransport).ReportSuspicion(t.Context(), peers.Listener.Addr().String(), suspicion))
	}
	families, err := registry.Gather()
	require.NoError(t, err)
	crashCount := -1.0
	for _, f := range families {
		if f.GetName() == "hyssopcroft_suspected_crashes_total" {
			crashCount = f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.EqualValues(t, 2, crashCount, "the second message reports no new crashes")
}
