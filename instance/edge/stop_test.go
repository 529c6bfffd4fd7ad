package edge

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/kernel/settings"
	"hyssopcroft.example/platform"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/routing"
)

// silentSender sends attempts to targets that answer none.
type silentSender struct{}

func (silentSender) Send(ctx context.Context, _ gateway.Attempt) query.Reply {
	<-ctx.Done()
	return query.Reply{Outcome: query.OutcomeUnknown}
}
func (silentSender) SetConnections(map[string]int)                {}
func (silentSender) CheckReachable(context.Context, string) error { return nil }
func (silentSender) NeedsConnection(string) bool                  { return false }
func (silentSender) KeepSpares([]string)                          {}
func (silentSender) CloseUnused(time.Duration, map[string]bool)   {}
func (silentSender) Connect(context.Context, string) error        { return nil }
func newSilentEdge(t *testing.T, shutdownSeconds float64) *Edge {
	t.Helper()
	log, free := slog.New(slog.DiscardHandler), "127.0.0.1:0"
	store := platform.NewStore("127.0.0.1:1", log, func(string) {}) // Nothing listens there.
	e, err := New(Settings{
		Instance: "a", Callers: free, Readiness: free, Control: free, IP: "127.0.0.1", ShutdownSeconds: shutdownSeconds,
		IdleTimeout: settings.Duration(time.Minute), CoreSpeed: 1, ExtraShare: 0.2, ExtraSlack: 50, ExtraSeconds: 10,
	}, Adapter{
		Store: store, Instances: platform.NewInstanceRegistry(store), Sender: silentSender{},
		CallerHandler: func(g *gateway.Service) http.Handler { return platform.CallerHandler(g, log) },
	}, prometheus.NewRegistry(), log)
	require.NoError(t, err)
	require.NoError(t, e.Start(t.Context()))
	e.gateway.SetTable(&routing.Table{
		Version: 1, Services: []routing.Service{{Name: "s", Connections: 50}},
		Routes: []routing.Route{{Name: "once", Host: "h", Prefix: "/", MaxAttempts: 1, Objective: time.Second, Timeout: 20 * time.Second,
			Split: []routing.WeightedService{{Service: "s", Weight: 1}}}},
	})
	e.gateway.SetTargets(directory.TargetsChanged{Entries: []roster.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:2"}}})
	return e
}

// Guards against requests that are accepted in a planned stop, passed on, and cut off without an answer at its end.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	const shutdown = 4 * time.Second
	e := newSilentEdge(t, shutdown.Seconds())
	address := e.listeners[e.callers].Addr().String()
	type result struct {
		resp *http.Response
		err  error
		at   time.Time
	}
	submit := func() result {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", strings.NewReader("credit"))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("Request-Id", "id")
		r.Header.Set("Deadline-Ms", "15000")
		resp, err := (&http.Transport{}).RoundTrip(r)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		return result{resp, err, time.Now()}
	}
	results := make(chan result)
	go func() { results <- submit() }() // In flight when the stop begins.
	time.Sleep(100 * time.Millisecond)
	stopped, stopBegan := make(chan error), time.Now()
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(shutdown - inFlightReserve - 500*time.Millisecond)
	go func() { results <- submit() }() // Late, but still accepted.
	for range 2 {
		r := <-results
		require.NoError(t, r.err)
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, r.resp.StatusCode, "it may have run")
		require.Less(t, r.at.Sub(stopBegan), shutdown, "the process ends then")
	}
	require.NoError(t, <-stopped)
}
