package app

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/instance/ingress"
)

// Guards against a connection that stays open indefinitely because the caller stops sending after one byte of
// the body, and against a body timeout that cancels a request whose body is complete.
func TestBodyTimeout(t *testing.T) {
	const timeout = 2 * time.Second
	handler := withBodyTimeout(timeout)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var v map[string]int
		if p := problem.DecodeBody(w, r, 1000, &v); p != nil {
			problem.Write(w, p)
			return
		}
		time.Sleep(3 * timeout)
		if r.Context().Err() != nil {
			t.Error("the body timeout cancelled the request")
		}
	}))
	for name, c := range map[string]struct {
		body    string
		status  int
		elapsed time.Duration
	}{
		"stops": {`{`, http.StatusRequestTimeout, timeout},
		"whole": {`{"a": 1}`, http.StatusOK, 3 * timeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clientConn, serverConn := net.Pipe()
				server := &http.Server{Handler: handler}
				served := make(chan error)
				go func() { served <- server.Serve(&oneConn{conn: serverConn, closed: make(chan struct{})}) }()
				begin := time.Now()
				_, err := io.WriteString(clientConn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"+c.body)
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, c.status, resp.StatusCode, string(body))
				require.Equal(t, c.elapsed, time.Since(begin))
				if c.status != http.StatusOK {
					require.Contains(t, strings.ToLower(string(body)), `"body_late"`)
				}
				require.NoError(t, clientConn.Close())
				require.NoError(t, server.Close())
				require.ErrorIs(t, <-served, http.ErrServerClosed)
			})
		})
	}
}

// Guards against a body that is refused for lack of memory with a status that says that the request is malformed.
func TestBodyWithoutMemoryIsNotRun(t *testing.T) {
	guard := ingress.New(ingress.Config{Limits: ingress.Limits{Memory: 64 << 10}, Log: slog.New(slog.DiscardHandler)})
	handler := guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var v string
		if p := problem.DecodeBody(w, r, 60<<10, &v); p != nil {
			problem.Write(w, p)
		}
	}), 0)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`"`+strings.Repeat("x", 50<<10)+`"`)))
	require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body.String())
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Contains(t, w.Body.String(), `"not_run"`)
}

// oneConn is a listener with one connection.
type oneConn struct {
	conn   net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}
func (l *oneConn) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
