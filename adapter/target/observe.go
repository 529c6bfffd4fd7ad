package target

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection. It has the signature of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ObserveDial returns a DialFunc whose connections record whether the peer has sent data and whether the peer
// closed them. The client uses this record to distinguish a crash of a target from a refused connection.
func ObserveDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: c}, nil
	}
}

// observedConn records what the peer does on a connection.
type observedConn struct {
	net.Conn
	closedLocally atomic.Bool // Close has been called
	received      atomic.Bool // the peer has sent data
	closedByPeer  atomic.Bool // the peer has closed or reset the connection
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	c.recordError(err)
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.recordError(err)
	return n, err
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.closedLocally.Store(true)
	return c.Conn.Close()
}

func (c *observedConn) recordError(err error) {
	if closedByPeer(err) && !c.closedLocally.Load() {
		c.closedByPeer.Store(true)
	}
}
