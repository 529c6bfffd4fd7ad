package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Listener accepts connections within the limits of a Guard. It passes the header of a request on once it is complete.
type Listener struct {
	net.Listener
	guard  *Guard
	closed atomic.Bool
}

// Wrap returns a listener whose clients are bounded by the guard. The server needs OnConnState, ConnContext and Handler.
// It limits the connections that wait to be accepted, and what the kernel receives for a connection before it is read.
// inner, which may be nil, wraps the listener below the guard.
func (g *Guard) Wrap(l net.Listener, inner func(net.Listener) net.Listener) (*Listener, error) {
	wrapped := &Listener{Listener: l, guard: g}
	if inner != nil {
		wrapped.Listener = inner(l)
	}
	socket, ok := l.(syscall.Conn)
	if !ok {
		return wrapped, nil // Only tests use in-memory connections.
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "limit the receive buffers")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { // Connections inherit it.
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.cfg.Limits.receiveBuffer())
		if setErr == nil {
			setErr = syscall.Listen(int(fd), g.cfg.Limits.backlog()) // It replaces the backlog.
		}
	})
	if err == nil {
		err = setErr
	}
	return wrapped, errors.Wrap(err, "limit the receive buffers")
}

// Accept implements net.Listener. It waits while the limit of connections is reached.
func (l *Listener) Accept() (net.Conn, error) {
	l.guard.makeRoom(l.closed.Load)
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, guard: l.guard}
	c.hold = &hold{guard: l.guard, conn: c}
	c.rank.Store(time.Now().UnixNano())
	l.guard.add(c)
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	l.guard.room.Broadcast()
	return l.Listener.Close()
}

type connKey struct{}

// ConnContext is the ConnContext hook of a server behind a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own := unwrap(c); own != nil {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// OnConnState is the ConnState hook of a server behind a Listener.
func OnConnState(c net.Conn, s http.ConnState) {
	own := unwrap(c)
	switch {
	case own == nil:
	case s == http.StateActive && own.http2.Load():
		own.rank.Store(neverEvict)
	case s == http.StateActive:
		own.enter(reading)
	case s == http.StateIdle:
		own.awaitRequest()
	}
}

// unwrap returns the conn inside a connection, nil if there is none.
func unwrap(c net.Conn) *conn {
	for {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// unwrapTCP returns the TCP connection inside a connection.
func unwrapTCP(c net.Conn) (*net.TCPConn, bool) {
	for {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = wrapper.NetConn()
	}
}
