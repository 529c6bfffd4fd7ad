package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// listenRetry is the pause before a restarted searcher tries again to listen on its address.
const listenRetry = 50 * time.Millisecond

// HostConfig describes the process that a searcher runs in.
type HostConfig struct {
	// Connections is the largest number of connections, those that switch faults included; 0 sets no
	// limit.
	Connections int
	// ConnectionCost is the time until a new connection is usable.
	ConnectionCost time.Duration
	// Listen opens an address; nil listens on TCP.
	Listen func(address string) (net.Listener, error)
}

// Host serves a searcher on one address, as a process of its own would: it limits connections
// and can crash and restart. It is safe for concurrent use.
type Host struct {
	searcher    *Searcher
	listen      func(address string) (net.Listener, error)
	connections *connections

	mu           sync.Mutex // guards the fields below
	address      string
	server       *http.Server // nil while the process is away
	inner        net.Listener // of server
	restartTimer *time.Timer  // set while the process is away
	stopped      bool
}

// NewHost returns a host that does not listen yet.
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

// Start listens on an address and returns it with the port that was chosen for port 0.
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

// serve must be called with h.mu held.
func (h *Host) serve(inner net.Listener) {
	server := NewHTTPServer(handler(h.searcher, h))
	h.server, h.inner = server, inner
	go func() { _ = server.Serve(limitListener{Listener: inner, connections: h.connections}) }() // ends by Close
}

// Crash ends all connections and streams at once. The searcher is back, cold, after the restart
// time of its faults. A crash while the searcher is away has no effect.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.stopped {
		return
	}
	server := h.server
	h.server = nil
	_ = h.inner.Close() // The server may not have begun to accept yet, and would not close it then.
	h.connections.reset()
	// Close returns before handlers end, so a handler may call Crash.
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

// Silence makes the oldest n connections that still deliver stop delivering for good and returns
// how many there were. New connections work.
func (h *Host) Silence(n int) int {
	silenced := h.connections.silence(n)
	h.searcher.record("connections_silenced", "")
	return silenced
}

// Connections returns the number of connections that count against the limit now.
func (h *Host) Connections() int { return h.connections.count() }

// Stop ends the process for good.
func (h *Host) Stop() {
	if server := h.beginStop(); server != nil {
		_ = server.Close() // Nothing can be done about a listener that fails to close.
	}
}

// Shutdown ends the process for good once its requests have finished or ctx is done.
func (h *Host) Shutdown(ctx context.Context) {
	if server := h.beginStop(); server != nil {
		_ = server.Shutdown(ctx) // A request that outlives ctx is cut by the end of the process.
	}
}

func (h *Host) beginStop() *http.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.restartTimer != nil {
		h.restartTimer.Stop()
	}
	if h.inner != nil {
		_ = h.inner.Close() // A second close has no effect.
	}
	return h.server
}
