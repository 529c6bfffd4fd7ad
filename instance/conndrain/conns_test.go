package conndrain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startCallerServer serves requests over tracked connections on loopback, and answers with the path.
// onConnState is called before each change of state is tracked.
func startCallerServer(t *testing.T, onConnState func(*trackedConn, http.ConnState)) (*http.Server, *Conns, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := New()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			onConnState(conn.(*trackedConn), state)
			conns.OnConnState(conn, state)
		},
		ReadHeaderTimeout: 5 * time.Second,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(conns.Wrap(listener)) }()
	t.Cleanup(func() {
		_ = server.Close() // A test may have shut it down already.
		require.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return server, conns, listener.Addr().String()
}

// caller is a caller that keeps its connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// receive reads one response and returns its body.
func (c *caller) receive(t *testing.T) string {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err, "the connection was closed without an answer")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

// anyConn returns the only connection of a server.
func (c *Conns) anyConn(t *testing.T) *trackedConn {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Len(t, c.conns, 1)
	for conn := range c.conns {
		return conn
	}
	return nil
}

// Guards against a shutdown that cuts off a request of which a part has been read: such a connection still counts as
// idle for http.Server.Shutdown.
func TestShutdownAnswersRequestThatHasBegunToArrive(t *testing.T) {
	server, conns, address := startCallerServer(t, func(*trackedConn, http.ConnState) {})
	c := connect(t, address)
	c.send(t, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "/first", c.receive(t))
	conn := conns.anyConn(t)
	require.Eventually(t, func() bool { return !conn.hasReceived() }, 5*time.Second, time.Millisecond)
	c.send(t, "GET /second HTTP/1.1\r\nHo")
	require.Eventually(t, conn.hasReceived, 5*time.Second, time.Millisecond)

	drained := make(chan struct{})
	go func() {
		defer close(drained)
		conns.Drain(t.Context())
		_ = server.Shutdown(context.Background())
	}()
	require.Never(t, func() bool { return isClosed(drained) }, 50*time.Millisecond, 10*time.Millisecond)
	c.send(t, "st: h\r\n\r\n")
	require.Equal(t, "/second", c.receive(t))
	<-drained
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a shutdown that closes a connection on which a part of a request has been read. Load: callers send
// requests in two parts on kept connections at random moments around the shutdown.
func TestShutdownCutsNoRequestThatWasRead(t *testing.T) {
	for round := range 20 {
		var cut atomic.Int32
		server, conns, address := startCallerServer(t, func(c *trackedConn, state http.ConnState) {
			if state == http.StateClosed && c.readWithoutRequest() {
				cut.Add(1)
			}
		})
		const callers = 30
		start := make(chan struct{})
		var sent sync.WaitGroup
		for i := range callers {
			c := connect(t, address)
			c.send(t, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			require.Equal(t, "/first", c.receive(t))
			sent.Go(func() {
				<-start
				runtime.Gosched()
				for range i * round {
					runtime.Gosched()
				}
				// The writes fail if the connection was closed before the request.
				_, _ = io.WriteString(c, "GET /second HTTP/1.1\r\n")
				_, _ = io.WriteString(c, "Host: h\r\n\r\n")
			})
		}
		close(start)
		conns.Drain(t.Context())
		require.NoError(t, server.Shutdown(t.Context()))
		sent.Wait()
		require.Zero(t, cut.Load())
	}
}

func (c *trackedConn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// readWithoutRequest reports whether input was read of which no whole request came about.
func (c *trackedConn) readWithoutRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received && c.state != http.StateActive
}

// Guards against a race between the expiry of an idle connection and its next request: input that was read must always
// be followed by the rest of the request.
func TestExpiryIsRevokedByInput(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	conn := &trackedConn{Conn: server, state: http.StateIdle}
	var read [4]byte
	result := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(conn, read[:])
		result <- err
	}()
	_, err := client.Write([]byte("GE"))
	require.NoError(t, err)
	require.Eventually(t, conn.hasReceived, 5*time.Second, time.Millisecond)
	conn.expireIfIdle(time.Now())
	_, err = client.Write([]byte("T "))
	require.NoError(t, err)
	require.NoError(t, <-result)

	conn.setState(http.StateIdle)
	conn.expireIfIdle(time.Now())
	_, err = conn.Read(read[:])
	require.ErrorContains(t, err, "timeout")
}
