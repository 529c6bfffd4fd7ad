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
	// quietTime is how long no connection may have had a request before all are closed. It covers
	// the round trip between regions, in which a peer may not know yet that it must send no more.
	quietTime = 100 * time.Millisecond
	// newTime is how long a connection without a request may be about to bring one.
	newTime = time.Second
	// quietPoll is the time between two looks at the connections.
	quietPoll = 5 * time.Millisecond
)

// connections follows the states of a server's connections. http.Server.Shutdown takes every
// HTTP/2 connection for active until the connection itself ends, which it does no earlier than one
// second after its last request; the hook of the server tells the true state.
type connections struct {
	mu      sync.Mutex // guards the fields below
	states  map[net.Conn]connectionState
	changed time.Time // latest change of any state
}

type connectionState struct {
	state http.ConnState
	since time.Time
}

func newConnections() *connections {
	return &connections{states: map[net.Conn]connectionState{}}
}

// follow is the ConnState hook of the server.
func (c *connections) follow(conn net.Conn, s http.ConnState) {
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

// quiet reports whether no connection has a request, or had one within quietTime.
func (c *connections) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, s := range c.states {
		if s.state == http.StateActive || (s.state == http.StateNew && now.Sub(s.since) < newTime) {
			return false
		}
	}
	return now.Sub(c.changed) >= quietTime
}

// close takes no more connections, tells HTTP/2 clients to send no more requests, and closes all
// connections once they are quiet or ctx is done.
func (c *connections) close(ctx context.Context, server *http.Server) error {
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(ctx) }()
	c.mu.Lock()
	c.changed = time.Now()
	c.mu.Unlock()
	alarm := kernel.NewAlarm(quietPoll)
	defer alarm.Stop()
	for {
		select {
		case err := <-shutdown:
			return err
		case <-alarm.C:
			alarm.Set(quietPoll)
		}
		if c.quiet() {
			err := server.Close()
			<-shutdown // It returns at its next look, as no connection is left.
			return err
		}
	}
}
