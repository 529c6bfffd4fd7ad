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

// Guards against an instance that does not take what another one says of a request that crashes targets.
func TestSuspicionOfAnotherInstance(t *testing.T) {
	registry := prometheus.NewRegistry()
	free := "127.0.0.1:0"
	e, err := New(Settings{Instance: "a", Callers: free, Readiness: free, Control: free, IP: "127.0.0.1"}.withDefaults(), Adapter{
		Callers: func(*gateway.Service) http.Handler { return http.NotFoundHandler() },
	}, registry, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer func() {
		for _, l := range e.listeners {
			require.NoError(t, l.Close())
		}
	}()
	peers := httptest.NewServer(e.servers[0].Handler)
	defer peers.Close()
	told := peer.Suspicion{Fingerprint: 7, Crashes: []quarantine.Crash{{Target: "t@1"}, {Target: "u@1"}}}
	for range 2 {
		require.NoError(t, peer.NewRelayClient(http.DefaultTransport).ReportSuspicion(t.Context(), peers.Listener.Addr().String(), told))
	}
	families, err := registry.Gather()
	require.NoError(t, err)
	known := -1.0
	for _, f := range families {
		if f.GetName() == "hyssopcroft_suspected_crashes_total" {
			known = f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.EqualValues(t, 2, known, "the second message says nothing new")
}
