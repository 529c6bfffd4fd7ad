package target

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopcroft.example/kernel/counters"
)

// connections holds the open connections of one searcher. It is safe for concurrent use.
type connections struct {
	limit      int           // 0 means no limit
	cost       time.Duration // time until a new connection delivers its first byte
	silentHold func() time.Duration
	vars       *counters.Set

	mu   sync.Mutex // guards open
	open []*conn    // in the order in which they were accepted
}

// limitListener accepts connections up to the limit and closes further ones immediately.
type limitListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener. It returns only connections within the limit.
func (l limitListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.connections.add(inner); ok {
			return c, nil
		}
		_ = inner.Close() // The client sees the refusal as a closed connection.
	}
}

func (cs *connections) add(inner net.Conn) (*conn, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.limit > 0 && len(cs.open) >= cs.limit {
		cs.vars.Counter("connections_refused").Add(1)
		return nil, false
	}
	cs.vars.Counter("connections_opened").Add(1)
	c := &conn{Conn: inner, connections: cs}
	cs.open = append(cs.open, c)
	return c, true
}

func (cs *connections) remove(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if i := slices.Index(cs.open, c); i >= 0 {
		cs.open = slices.Delete(cs.open, i, i+1)
	}
}

// count returns the number of open connections.
func (cs *connections) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// silence silences the oldest n connections that are not silenced yet and returns the number of
// connections silenced.
func (cs *connections) silence(n int) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	silenced := 0
	for _, c := range cs.open {
		if silenced < n && c.silenced.CompareAndSwap(false, true) {
			silenced++
		}
	}
	return silenced
}

// reset closes all connections immediately, as a crash of the process does.
func (cs *connections) reset() {
	cs.mu.Lock()
	open := slices.Clone(cs.open)
	cs.mu.Unlock()
	for _, c := range open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset; fails only on a closed connection
		}
		_ = c.Close() // Closing a connection twice has no effect.
	}
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	connections *connections
	setupOnce   sync.Once
	silenced    atomic.Bool
}

// Read implements net.Conn. The first call waits for the connection cost. On a silenced connection Read
// discards the incoming data. When the connection has ended, Read waits for silentHold and returns an error.
func (c *conn) Read(p []byte) (int, error) {
	c.setupOnce.Do(func() { time.Sleep(c.connections.cost) })
	for {
		n, err := c.Conn.Read(p)
		if !c.silenced.Load() {
			return n, err
		}
		if err != nil {
			time.Sleep(c.connections.silentHold())
			return 0, err
		}
	}
}

// Write implements net.Conn. On a silenced connection it discards the data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A closed connection no longer counts against the limit.
func (c *conn) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
}
