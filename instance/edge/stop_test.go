package edge

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/drain"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/kernel/settings"
	"hyssopcroft.example/platform"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/routing"
)

// silentSender sends attempts to targets that answer none.
type silentSender struct{ sent chan struct{} }

func (s silentSender) Send(ctx context.Context, _ gateway.Attempt) query.Reply {
	s.sent <- struct{}{}
	<-ctx.Done()
	return query.Reply{Outcome: query.OutcomeUnknown}
}
func (silentSender) SetConnections(map[string]int)                {}
func (silentSender) CheckReachable(context.Context, string) error { return nil }
func (silentSender) NeedsConnection(string) bool                  { return false }
func (silentSender) KeepSpares([]string)                          {}
func (silentSender) CloseUnused(time.Duration, map[string]bool)   {}
func (silentSender) Connect(context.Context, string) error        { return nil }

func newSilentEdge(t *testing.T, sender silentSender, shutdownSeconds float64) *Edge {
	t.Helper()
	log, free := slog.New(slog.DiscardHandler), "127.0.0.1:0"
	store := platform.NewStore("127.0.0.1:1", log, func(string) {}) // Nothing listens there.
	e, err := New(Settings{
		Instance: "a", Callers: free, Readiness: free, Control: free, IP: "127.0.0.1", ShutdownSeconds: shutdownSeconds,
		IdleTimeout: settings.Duration(time.Minute), CoreSpeed: 1, ExtraShare: 0.2, ExtraSlack: 50, ExtraSeconds: 10,
	}, Adapter{
		Store: store, Instances: platform.NewInstanceRegistry(store), Sender: sender,
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
	const (
		shutdown = 4 * time.Second
		deadline = 15 * time.Second // of the callers
	)
	sender := silentSender{sent: make(chan struct{})}
	e := newSilentEdge(t, sender, shutdown.Seconds())
	address := e.listeners[e.callers].Addr().String()
	type result struct {
		status int
		err    error
	}
	results := make(chan result, 2)
	submit := func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", strings.NewReader("credit"))
		if err != nil {
			panic(err) // unreachable: the URL is valid
		}
		r.Host = "h"
		r.Header.Set("Request-Id", "id")
		r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		resp, err := (&http.Transport{}).RoundTrip(r)
		if err != nil {
			results <- result{err: err}
			return
		}
		_, err = io.ReadAll(resp.Body)
		results <- result{resp.StatusCode, err}
	}
	go submit() // In flight when the stop begins.
	<-sender.sent
	stopped, stopBegan := make(chan error, 1), time.Now()
	go func() { stopped <- e.Stop(context.Background()) }()
	require.Eventually(t, func() bool { return e.gate.phase() == drain.Leaving }, time.Second, time.Millisecond)
	go submit() // Late, but still accepted.
	<-sender.sent
	for range 2 {
		r := <-results
		require.NoError(t, r.err)
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, r.status, "it may have run")
		require.Less(t, time.Since(stopBegan), deadline/2, "the caller waits no longer than the instance runs")
	}
	require.NoError(t, <-stopped)
	require.Zero(t, e.gate.aborted(), "requests that the end of the process would have cut off")
}
