package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against idle connections of callers that use all file descriptors, against a connection that is closed
// without "Connection: close" in its response, and against connections that are closed even after their number has
// fallen. The load is five times the allowed number of callers, each of which keeps its connection open.
func TestOpenConnectionsAreBounded(t *testing.T) {
	const maxOpen, callers = 4, 20
	limiter := &connLimiter{maxOpen: maxOpen}
	server := httptest.NewUnstartedServer(limiter.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})))
	server.Config.ConnState = limiter.onConnState
	server.Start()
	defer server.Close()
	var transports []*http.Transport
	closed := 0
	for range callers {
		transport := &http.Transport{}
		transports = append(transports, transport)
		resp, err := (&http.Client{Transport: transport}).Get(server.URL)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
		if resp.Close {
			closed++
		}
	}
	require.GreaterOrEqual(t, closed, callers-maxOpen-1, "one may be closing while the next is opened")
	require.Eventually(t, func() bool { return limiter.open.Load() <= maxOpen }, time.Second, time.Millisecond)
	for _, transport := range transports {
		transport.CloseIdleConnections()
	}
	require.Eventually(t, func() bool { return limiter.open.Load() == 0 }, time.Second, time.Millisecond)
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.False(t, resp.Close)
}
