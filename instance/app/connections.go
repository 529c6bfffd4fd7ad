package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/kernel"
)

const (
	// quietPeriod is the time without a request on any connection after which all connections are
	// closed. It covers the round trip between regions, during which a peer that has not yet been told
	// to stop may send a request.
	quietPeriod = 100 * time.Millisecond
	// newConnTimeout is the time for which a new connection is expected to receive its first request.
	newConnTimeout = time.Second
	// quietPollInterval is the interval at which the states of the connections are checked.
	quietPollInterval = 5 * time.Millisecond
)

// connections tracks the states of a server's connections. http.Server.Shutdown treats an HTTP/2
// connection as active until it is closed, at least one second after its last request. The ConnState
// hook reports when the connection becomes idle.
type connections struct {
	mu      sync.Mutex // guards the fields below
	states  map[net.Conn]connectionState
	changed time.Time // time of the latest state change of an open connection, or of the call of close
}

type connectionState struct {
	state http.ConnState
	since time.Time
}

func newConnections() *connections {
	return &connections{states: map[net.Conn]connectionState{}}
}

// onStateChange is the ConnState hook of the server.
func (c *connections) onStateChange(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.changed = now
	c.states[conn] = connectionState{state: s, since: now}
}

// quiet reports whether no connection has a request, is new, or has changed its state within
// quietPeriod.
func (c *connections) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, s := range c.states {
		if s.state == http.StateActive || (s.state == http.StateNew && now.Sub(s.since) < newConnTimeout) {
			return false
		}
	}
	return now.Sub(c.changed) >= quietPeriod
}

// close stops accepting connections, tells HTTP/2 clients to send no more requests, and closes all
// connections once they are quiet. It returns early with an error if ctx is done.
func (c *connections) close(ctx context.Context, server *http.Server) error {
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(ctx) }()
	c.mu.Lock()
	c.changed = time.Now()
	c.mu.Unlock()
	alarm := kernel.NewAlarm(quietPollInterval)
	defer alarm.Stop()
	for {
		select {
		case err := <-shutdown:
			return err
		case <-alarm.C:
			alarm.Set(quietPollInterval)
		}
		if c.quiet() {
			err := server.Close()
			<-shutdown // Shutdown returns at its next poll, as no connection is left.
			return err
		}
	}
}
