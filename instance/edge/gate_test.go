package edge

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/drain"
)

// Guards against a shutdown that refuses requests which the load balancer still sends, that aborts a request in
// flight, that ends before callers were told to reconnect, or that exceeds its time limit.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(6*time.Second, slog.New(slog.DiscardHandler))
		workTime := time.Duration(0)
		h := g.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(workTime)
			w.WriteHeader(http.StatusOK)
		}))
		serve := func() *http.Response {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			return w.Result()
		}
		require.Empty(t, serve().Header.Get("Connection"))
		workTime = 3 * time.Second
		inFlight := make(chan *http.Response)
		go func() { inFlight <- serve() }()
		synctest.Wait()
		drained := g.begin()
		require.NotEqual(t, drain.Serving, g.phase(), "the readiness check fails at once")
		require.Equal(t, "close", (<-inFlight).Header.Get("Connection"), "arrived before the shutdown began")
		workTime = 0
		resp := serve()
		require.Equal(t, http.StatusOK, resp.StatusCode, "3 s after the shutdown began")
		require.Equal(t, "close", resp.Header.Get("Connection"))
		workTime = 1500 * time.Millisecond
		go func() { inFlight <- serve() }()
		time.Sleep(1100 * time.Millisecond)
		resp = serve()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), "did not run")
		require.Equal(t, http.StatusOK, (<-inFlight).StatusCode)
		<-drained
		require.Zero(t, g.aborted())
	})
}

// Guards against a request that delays the end of the process beyond the shutdown time.
func TestGateDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(6*time.Second, slog.New(slog.DiscardHandler))
		release := make(chan struct{})
		h := g.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		synctest.Wait()
		begin := time.Now()
		<-g.begin()
		require.Equal(t, 5700*time.Millisecond, time.Since(begin))
		require.Equal(t, 1, g.aborted())
		close(release)
	})
}
