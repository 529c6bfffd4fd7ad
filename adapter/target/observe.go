package target

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection, as http.Transport asks for it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ObserveDial returns a DialFunc whose connections note whether the far end has sent anything and
// whether it ended them. Failures on such connections are told apart more exactly.
func ObserveDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: c}, nil
	}
}

// observedConn notes what the far end does to a connection.
type observedConn struct {
	net.Conn
	closed   atomic.Bool // this end has closed the connection
	received atomic.Bool // the far end has sent something
	ended    atomic.Bool // the far end has ended the connection
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	c.note(err)
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.note(err)
	return n, err
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *observedConn) note(err error) {
	if endOfConnection(err) && !c.closed.Load() {
		c.ended.Store(true)
	}
}
