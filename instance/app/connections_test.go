package app

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/instance/conndrain"
)

// pipeListener accepts the server ends of the pipes that dial creates.
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
	clientConn, serverConn := net.Pipe()
	l.conns <- serverConn
	return clientConn, nil
}

const handlerDuration = 3 * time.Second

// withServer runs f with a server whose handler takes handlerDuration, or no time for the path /fast.
func withServer(t *testing.T, http2 bool, f func(t *testing.T, c *connections, s *http.Server, client *http.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		var protocols http.Protocols
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		c := newConnections()
		s := &http.Server{Protocols: &protocols, ConnState: c.onStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/fast" {
				time.Sleep(handlerDuration)
			}
			_, _ = io.WriteString(w, "whole") // the test detects a failed write at the client
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

// Guards against a shutdown that aborts a request in flight, and against one that continues to wait after
// the request has ended.
func TestCloseWaitsForRequestsInFlight(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			withServer(t, http2, func(t *testing.T, c *connections, s *http.Server, client *http.Client) {
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
				require.GreaterOrEqual(t, time.Since(begin), handlerDuration)
				require.Less(t, time.Since(begin), handlerDuration+time.Second)
			})
		})
	}
}

// Guards against waiting a second or more for idle connections, as http.Server.Shutdown does for HTTP/2.
func TestCloseDoesNotWaitForIdleConnections(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			withServer(t, http2, func(t *testing.T, c *connections, s *http.Server, client *http.Client) {
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

// Guards against a request that never ends and delays the shutdown beyond its deadline.
func TestCloseReturnsAtDeadline(t *testing.T) {
	withServer(t, true, func(t *testing.T, c *connections, s *http.Server, client *http.Client) {
		go func() { _, _ = get(client, "/slow") }() // aborted at the deadline
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, c.close(ctx, s), context.DeadlineExceeded)
		require.NoError(t, s.Close())
		time.Sleep(handlerDuration)
	})
}

// readListener reports each read that returned input.
type readListener struct {
	net.Listener
	reads chan<- struct{}
}

func (l readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return readConn{c, l.reads}, err
}

type readConn struct {
	net.Conn
	reads chan<- struct{}
}

func (c readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads <- struct{}{}
	}
	return n, err
}

// Guards against a shutdown that cuts off an HTTP/1.1 request of which a part has been read: its connection still
// counts as idle for http.Server.Shutdown.
func TestStopAnswersRequestThatHasBegunToArrive(t *testing.T) {
	conns := conndrain.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	states := newConnections()
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(c net.Conn, s http.ConnState) {
		states.onStateChange(c, s)
		conns.OnConnState(c, s)
	}}
	reads := make(chan struct{}, 100)
	go func() { _ = server.Serve(peer.Listener{Listener: conns.Wrap(readListener{listener, reads})}) }() // Ends when the test stops it.
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	exchange := func(text string) {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "closed without an answer")
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
	exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-reads // the first request
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	<-reads
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		conns.Drain(t.Context())
		_ = states.close(t.Context(), server)
	}()
	exchange("Host: h\r\n\r\n")
	<-stopped
}
