// Package conndrain closes the connections of a stopping server without cutting off a request.
package conndrain

import (
	"bytes"
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
	// acceptQuietPeriod is the time without an HTTP/1.1 connection after which Drain ends. The listener is closed then,
	// which resets the connections in its backlog.
	acceptQuietPeriod = 50 * time.Millisecond
)

// http2Preface is the beginning of the client preface of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2")

// expiredDeadline makes a pending read fail at once.
var expiredDeadline = time.Unix(1, 0)

// Conns tracks the connections of an HTTP server. http.Server.Shutdown closes a connection that counts as idle even if
// a part of the next request has been read already, because a connection counts as active only once the whole header
// has been parsed. The caller of such a request gets no answer. Drain closes a connection only if it has no input. It
// leaves HTTP/2 connections to http.Server.Shutdown, which tells their clients first.
type Conns struct {
	mu     sync.Mutex // guards the fields below
	conns  map[*trackedConn]struct{}
	seenAt time.Time // when the last HTTP/1.1 connection was open or new, since Drain began
}

// New returns a Conns without connections.
func New() *Conns { return &Conns{conns: map[*trackedConn]struct{}{}} }

// Wrap returns a listener whose connections are tracked.
func (c *Conns) Wrap(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: c}
}

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, state: http.StateNew, since: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[tracked] = struct{}{}
	return tracked, nil
}

// OnConnState is the ConnState hook of the server.
func (c *Conns) OnConnState(conn net.Conn, s http.ConnState) {
	tracked := unwrap(conn)
	if tracked == nil {
		return
	}
	tracked.setState(s)
	if s == http.StateClosed || s == http.StateHijacked {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.conns, tracked)
	}
}

// unwrap returns the tracked connection inside a connection, nil if there is none.
func unwrap(conn net.Conn) *trackedConn {
	for {
		if tracked, ok := conn.(*trackedConn); ok {
			return tracked
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// Drain closes the idle connections that have no input, until none is left and no new one has arrived for
// acceptQuietPeriod. Requests that arrive meanwhile are answered by the server. It returns early if ctx is done.
func (c *Conns) Drain(ctx context.Context) {
	for !c.expireIdle(time.Now()) {
		if !kernel.Sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// expireIdle makes the server close the idle connections that have no input. It reports whether no connection is left
// and none is expected.
func (c *Conns) expireIdle(now time.Time) (drained bool) {
	c.mu.Lock()
	list := make([]*trackedConn, 0, len(c.conns))
	for conn := range c.conns {
		if !conn.isHTTP2() {
			list = append(list, conn)
		}
	}
	if len(list) > 0 || c.seenAt.IsZero() {
		c.seenAt = now
	}
	drained = now.Sub(c.seenAt) >= acceptQuietPeriod
	c.mu.Unlock()
	for _, conn := range list {
		conn.expireIfIdle(now)
	}
	return drained
}

// trackedConn is a connection of a caller.
type trackedConn struct {
	net.Conn

	mu    sync.Mutex // guards the fields below
	state http.ConnState
	since time.Time // time of the last change of state
	// received is set when input is read, and cleared when the connection becomes idle.
	received bool
	// http2 is set if the connection began with the client preface of HTTP/2.
	http2        bool
	expired      bool      // the read deadline is expiredDeadline instead of readDeadline
	readDeadline time.Time // as the server set it
}

// NetConn returns the underlying connection.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

func (c *trackedConn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

func (c *trackedConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, time.Now()
	if s == http.StateIdle {
		c.received = false
	}
}

// Read implements net.Conn. Input that arrives together with the expiry of an idle connection revokes the expiry.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = c.http2 || c.state == http.StateNew && bytes.HasPrefix(p[:n], http2Preface)
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
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.expired = t, false
	return c.Conn.SetReadDeadline(t)
}

// expireIfIdle expires the read deadline of a connection that has no request and no input. The server then closes it.
func (c *trackedConn) expireIfIdle(now time.Time) {
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
func (c *trackedConn) hasPendingInput() bool {
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
