package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// listenRetry is the delay between attempts of a restarting searcher to listen on its address.
const listenRetry = 50 * time.Millisecond

// HostConfig describes the process that a searcher runs in.
type HostConfig struct {
	// Connections is the maximum number of connections, including those used to set faults; 0 means no
	// limit.
	Connections int
	// ConnectionCost is the time until a new connection is usable.
	ConnectionCost time.Duration
	// Listen opens an address; nil listens on TCP.
	Listen func(address string) (net.Listener, error)
}

// Host serves a searcher on one address as a separate process would: it limits connections and can
// crash and restart. It is safe for concurrent use.
type Host struct {
	searcher    *Searcher
	listen      func(address string) (net.Listener, error)
	connections *connections

	mu           sync.Mutex // guards the fields below
	address      string
	server       *http.Server // nil before Start and while crashed
	inner        net.Listener // the listener of the latest server
	restartTimer *time.Timer  // set by the first crash
	stopped      bool
}

// NewHost returns a host for s. Start makes it listen.
func NewHost(s *Searcher, cfg HostConfig) *Host {
	h := &Host{searcher: s, listen: cfg.Listen}
	if h.listen == nil {
		h.listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	h.connections = &connections{
		limit: cfg.Connections, cost: cfg.ConnectionCost, vars: s.vars,
		silentHold: func() time.Duration { return time.Duration(s.currentFaults().SilentHold) },
	}
	s.setCrashFunc(h.Crash)
	return h
}

// Start listens on an address, serves the searcher and returns the actual address, in which a port 0
// is replaced by the assigned port.
func (h *Host) Start(address string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inner, err := h.listen(address)
	if err != nil {
		return "", errors.Wrap(err, "listen for a searcher")
	}
	h.address = inner.Addr().String()
	h.serve(inner)
	return h.address, nil
}

// serve starts a server on inner. h.mu must be held.
func (h *Host) serve(inner net.Listener) {
	server := NewHTTPServer(handler(h.searcher, h))
	h.server, h.inner = server, inner
	// Serve returns when the server is closed.
	go func() { _ = server.Serve(limitListener{Listener: inner, connections: h.connections}) }()
}

// Crash closes all connections and streams immediately. The searcher restarts cold after the
// RestartAfter of its faults. Crash has no effect while the searcher is down.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.stopped {
		return
	}
	server := h.server
	h.server = nil
	_ = h.inner.Close() // Server.Close does not close it if Serve has not started yet.
	h.connections.reset()
	// Close does not wait for handlers, so a handler may call Crash.
	_ = server.Close()
	h.searcher.vars.Counter("crashes").Add(1)
	h.searcher.record("target_crashed", "")
	h.restartTimer = time.AfterFunc(h.searcher.currentFaults().restartAfter(), h.restart)
}

func (h *Host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	inner, err := h.listen(h.address)
	if err != nil {
		h.restartTimer = time.AfterFunc(listenRetry, h.restart)
		return
	}
	h.searcher.resetAfterRestart()
	h.serve(inner)
}

// Silence makes the oldest n connections that are not silenced yet discard all data in both directions,
// and returns the number of connections silenced. New connections are not affected.
func (h *Host) Silence(n int) int {
	silenced := h.connections.silence(n)
	h.searcher.record("connections_silenced", "")
	return silenced
}

// Connections returns the number of connections that currently count against the limit.
func (h *Host) Connections() int { return h.connections.count() }

// Stop closes the server and prevents further restarts.
func (h *Host) Stop() {
	if server := h.beginStop(); server != nil {
		_ = server.Close() // The only possible error, of closing the listener, cannot be handled.
	}
}

// Shutdown prevents further restarts and shuts the server down once its requests have finished or ctx
// is done.
func (h *Host) Shutdown(ctx context.Context) {
	if server := h.beginStop(); server != nil {
		_ = server.Shutdown(ctx) // The exit of the process aborts requests that outlive ctx.
	}
}

// beginStop prevents restarts, closes the listener and returns the server, nil if there is none.
func (h *Host) beginStop() *http.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.restartTimer != nil {
		h.restartTimer.Stop()
	}
	if h.inner != nil {
		_ = h.inner.Close() // Closing a listener twice has no effect.
	}
	return h.server
}
