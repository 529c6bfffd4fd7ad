package app

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/problem"
)

// Guards against a caller that sends a header and one byte of its body and is held for good, and against a
// request that runs longer than its body may take.
func TestBodyWithin(t *testing.T) {
	const limit = 2 * time.Second
	handler := bodyWithin(limit)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var v map[string]int
		if p := problem.DecodeBody(w, r, 1000, &v); p != nil {
			problem.Write(w, p)
			return
		}
		time.Sleep(3 * limit)
		if r.Context().Err() != nil {
			t.Error("the deadline of the body ended the request")
		}
	}))
	for name, c := range map[string]struct {
		body   string
		status int
		took   time.Duration
	}{
		"stops": {`{`, http.StatusRequestTimeout, limit},
		"whole": {`{"a": 1}`, http.StatusOK, 3 * limit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				server := &http.Server{Handler: handler}
				served := make(chan error)
				go func() { served <- server.Serve(&oneConn{conn: far, closed: make(chan struct{})}) }()
				begin := time.Now()
				_, err := io.WriteString(near, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"+c.body)
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, c.status, resp.StatusCode, string(body))
				require.Equal(t, c.took, time.Since(begin))
				if c.status != http.StatusOK {
					require.Contains(t, strings.ToLower(string(body)), `"body_late"`)
				}
				require.NoError(t, near.Close())
				require.NoError(t, server.Close())
				require.ErrorIs(t, <-served, http.ErrServerClosed)
			})
		})
	}
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
