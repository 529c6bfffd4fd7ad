package peer

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
)

// Traffic counts the bytes and messages of an instance's control traffic. The bytes include HTTP/2 framing, but not
// TCP and IP headers.
type Traffic struct {
	BytesSent, BytesReceived       *expvar.Int
	MessagesSent, MessagesReceived *expvar.Int
}

// Conn counts the bytes of one connection. Bytes that are transferred before the connection is known to carry control
// traffic are added to the counters once it is.
type Conn struct {
	net.Conn
	traffic        atomic.Pointer[Traffic]
	sent, received atomic.Int64 // bytes not yet added to traffic
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	c.flush()
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	c.flush()
	return n, err
}

func (c *Conn) setTraffic(t *Traffic) {
	c.traffic.Store(t)
	c.flush()
}

func (c *Conn) flush() {
	t := c.traffic.Load()
	if t == nil {
		return
	}
	t.BytesSent.Add(c.sent.Swap(0))
	t.BytesReceived.Add(c.received.Swap(0))
}

// Listener accepts connections whose bytes can be counted.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

type connKey struct{}

type servedConn struct {
	conn    *Conn
	traffic *Traffic
}

// ConnContext returns a function for http.Server.ConnContext. A connection of a Listener is counted as control traffic
// once MembershipHandler or DistributionHandler has served a request on it.
func ConnContext(traffic *Traffic) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, servedConn{conn: c, traffic: traffic})
		}
		return ctx
	}
}

// countServed counts the requests and responses of a handler, and marks their connections as carrying control
// traffic.
func countServed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s, ok := r.Context().Value(connKey{}).(servedConn); ok {
			if s.conn.traffic.Load() == nil {
				s.conn.setTraffic(s.traffic)
			}
			s.traffic.MessagesReceived.Add(1)
			s.traffic.MessagesSent.Add(1)
		}
		// The Date header, some 25 bytes per response, is omitted: the message's stamp contains the time.
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// countingTransport counts the messages that a client sends and receives.
type countingTransport struct {
	next    http.RoundTripper
	traffic *Traffic
}

// CountMessages returns a round tripper that counts requests as messages sent and responses as
// messages received.
func CountMessages(next http.RoundTripper, t *Traffic) http.RoundTripper {
	return countingTransport{next: next, traffic: t}
}

// RoundTrip implements http.RoundTripper.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.traffic.MessagesSent.Add(1)
	resp, err := c.next.RoundTrip(r)
	if err == nil {
		c.traffic.MessagesReceived.Add(1)
	}
	return resp, err
}
