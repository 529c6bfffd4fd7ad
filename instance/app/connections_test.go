package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener hands out the far ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.conns <- far
	return near, nil
}

const handlerTime = 3 * time.Second

// inServer runs f with a server whose handler takes handlerTime, or no time for the path /fast.
func inServer(t *testing.T, http2 bool, f func(t *testing.T, c *connections, s *http.Server, client *http.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		var protocols http.Protocols
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		c := newConnections()
		s := &http.Server{Protocols: &protocols, ConnState: c.follow, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/fast" {
				time.Sleep(handlerTime)
			}
			_, _ = io.WriteString(w, "whole") // a lost client shows in the test
		})}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		transport := &http.Transport{Protocols: &protocols, DialContext: l.dial}
		f(t, c, s, &http.Client{Transport: transport})
		transport.CloseIdleConnections()
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
}

func get(client *http.Client, path string) (string, error) {
	resp, err := client.Get("http://server" + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a shutdown that cuts a request in flight, and against one that goes on waiting
// after the request.
func TestCloseWaitsForRequestsInFlight(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			inServer(t, http2, func(t *testing.T, c *connections, s *http.Server, client *http.Client) {
				answered := make(chan error, 1)
				begin := time.Now()
				go func() {
					body, err := get(client, "/slow")
					if err == nil && body != "whole" {
						err = io.ErrUnexpectedEOF
					}
					answered <- err
				}()
				time.Sleep(time.Second)
				require.NoError(t, c.close(context.Background(), s))
				require.NoError(t, <-answered)
				require.GreaterOrEqual(t, time.Since(begin), handlerTime)
				require.Less(t, time.Since(begin), handlerTime+time.Second)
			})
		})
	}
}

// Guards against waiting a second or more for connections without requests, which
// http.Server.Shutdown does for HTTP/2.
func TestCloseDoesNotWaitForIdleConnections(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			inServer(t, http2, func(t *testing.T, c *connections, s *http.Server, client *http.Client) {
				_, err := get(client, "/fast")
				require.NoError(t, err)
				time.Sleep(time.Minute)
				begin := time.Now()
				require.NoError(t, c.close(context.Background(), s))
				require.Less(t, time.Since(begin), time.Second)
			})
		})
	}
}

// Guards against a request without end that keeps the process beyond its deadline.
func TestCloseEndsAtItsDeadline(t *testing.T) {
	inServer(t, true, func(t *testing.T, c *connections, s *http.Server, client *http.Client) {
		go func() { _, _ = get(client, "/slow") }() // cut by the deadline
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, c.close(ctx, s), context.DeadlineExceeded)
		require.NoError(t, s.Close())
		time.Sleep(handlerTime)
	})
}
