package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hyssopcroft.example/kernel"
)

const (
	// newConnTimeout is the time for which a new connection of a caller is expected to bring its first request.
	newConnTimeout = time.Second
	// drainPollInterval is the interval at which idle connections are examined during a shutdown.
	drainPollInterval = 5 * time.Millisecond
	// acceptQuietPeriod is the time without a new connection after which the listener is closed. Connections that
	// wait in its backlog are reset then.
	acceptQuietPeriod = 50 * time.Millisecond
)

// expiredDeadline makes a pending read fail at once.
var expiredDeadline = time.Unix(1, 0)

// callerConns tracks the connections of callers. http.Server.Shutdown closes a connection that counts as idle even if
// a part of the next request has been read already, because a connection counts as active only once the whole header
// has been parsed. The caller of such a request gets no answer. drain closes a connection only if it has no input.
type callerConns struct {
	mu         sync.Mutex // guards the fields below
	conns      map[*callerConn]struct{}
	acceptedAt time.Time // time of the last new connection
}

func newCallerConns() *callerConns { return &callerConns{conns: map[*callerConn]struct{}{}} }

// wrap returns a listener whose connections are tracked.
func (c *callerConns) wrap(l net.Listener) net.Listener {
	return &callerListener{Listener: l, conns: c}
}

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	tracked := &callerConn{Conn: conn, state: http.StateNew, since: now}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[tracked] = struct{}{}
	l.conns.acceptedAt = now
	return tracked, nil
}

// onConnState is the ConnState hook of the server.
func (c *callerConns) onConnState(conn net.Conn, s http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	tracked.setState(s)
	if s == http.StateClosed || s == http.StateHijacked {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.conns, tracked)
	}
}

// drain closes the idle connections that have no input, until none is left and no new one has arrived for
// acceptQuietPeriod. Requests that arrive meanwhile are answered by the server. It returns early if ctx is done.
func (c *callerConns) drain(ctx context.Context) {
	for !c.expireIdle(time.Now()) {
		if !kernel.Sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// expireIdle makes the server close the idle connections that have no input. It reports whether no connection is left
// and none is expected.
func (c *callerConns) expireIdle(now time.Time) (drained bool) {
	c.mu.Lock()
	list := make([]*callerConn, 0, len(c.conns))
	for conn := range c.conns {
		list = append(list, conn)
	}
	drained = len(list) == 0 && now.Sub(c.acceptedAt) >= acceptQuietPeriod
	c.mu.Unlock()
	for _, conn := range list {
		conn.expireIfIdle(now)
	}
	return drained
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn

	mu    sync.Mutex // guards the fields below
	state http.ConnState
	since time.Time // time of the last change of state
	// received is set when input is read, and cleared when the connection becomes idle.
	received     bool
	expired      bool      // the read deadline is expiredDeadline instead of readDeadline
	readDeadline time.Time // as the server set it
}

func (c *callerConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, time.Now()
	if s == http.StateIdle {
		c.received = false
	}
}

// Read implements net.Conn. Input that arrives together with the expiry of an idle connection revokes the expiry.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = true
	if c.expired {
		c.expired = false
		if resetErr := c.Conn.SetReadDeadline(c.readDeadline); err == nil {
			err = resetErr
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.expired = t, false
	return c.Conn.SetReadDeadline(t)
}

// expireIfIdle expires the read deadline of a connection that has no request and no input. The server then closes it.
func (c *callerConn) expireIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) >= newConnTimeout
	if !idle || c.received || c.hasPendingInput() {
		return
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(expiredDeadline) // Fails on a closed connection only.
}

// hasPendingInput reports whether the socket has received bytes that have not been read.
func (c *callerConn) hasPendingInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false // Only tests use in-memory connections.
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = peekErr == nil && n > 0
	})
	return err == nil && pending
}
