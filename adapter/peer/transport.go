package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/target"
)

const (
	// pingAfter is the idle time after which a connection to a peer is probed with a ping. It exceeds the
	// period of 1 s between exchanges, so that a connection in use is not probed.
	pingAfter = 1200 * time.Millisecond
	// pingTimeout is the time after which a connection is closed if a ping is not answered. An unresponsive
	// connection is closed 2 s after its last response, before three missed exchanges make its peer suspect.
	pingTimeout = 800 * time.Millisecond
	// dialTimeout bounds connection establishment. A dial to a host that is down and sends no reset would
	// otherwise block for minutes.
	dialTimeout = time.Second
	// idleTimeout is the time after which idle connections, to instances that are no longer peers, are closed.
	idleTimeout = 30 * time.Second
)

// NewTransport returns a transport that keeps one HTTP/2 connection to each peer. The bytes of its
// connections are added to traffic, which may be nil.
func NewTransport(traffic *Traffic) *http.Transport {
	t := target.NewTransport(pingAfter, pingTimeout)
	t.IdleConnTimeout = idleTimeout
	t.DialContext = DialContext(traffic)
	return t
}

// DialContext returns a function for http.Transport.DialContext that adds the bytes of its
// connections to traffic, which may be nil.
func DialContext(traffic *Traffic) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || traffic == nil {
			return conn, err
		}
		counted := &Conn{Conn: conn}
		counted.setTraffic(traffic)
		return counted, nil
	}
}
