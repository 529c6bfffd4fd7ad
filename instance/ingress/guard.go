package ingress

import (
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/kernel"
)

const (
	// memoryWait is the longest time that a request waits for the memory of clients that are turned away for it.
	memoryWait = 250 * time.Millisecond
	// RetryAfter is the delay advised to clients that are turned away for lack of memory or connections: stalled
	// clients leave within the time for a header or are turned away themselves.
	RetryAfter = 200 * time.Millisecond
	// evictionShare is the share of the connections, or of the memory, that is cleared at a time.
	evictionShare = 1.0 / 32
	// minClientRate is the rate in bytes a second below which a client falls behind those that send more.
	minClientRate = 16 << 10
	// reportInterval is the minimum time between two log lines on clients that were turned away.
	reportInterval = time.Second
)

// ErrNoMemory means that there is no memory for a request. No part of it has run.
var ErrNoMemory = problem.ErrNoMemory

// Config holds the dependencies of a Guard.
type Config struct {
	Limits Limits
	// Head returns the limits of a header in force; nil stands for the defaults.
	Head func() HeadLimits
	// Refusal encodes the body of a refusal; nil stands for a JSON object with the reason.
	Refusal func(status int, reason string) []byte
	// OnTurnedAway is called with the reason when a client is turned away; it may be nil.
	OnTurnedAway func(reason string)
	Log          *slog.Logger
}

// Guard bounds what the clients of one or more listeners hold together. It is safe for concurrent use.
type Guard struct {
	cfg    Config
	memory *memory

	mu    sync.Mutex // guards the fields below
	conns map[*conn]struct{}
	room  *sync.Cond // signalled when a connection has closed

	turnedAway atomic.Int64 // since the last log line
	reportedAt atomic.Int64 // Unix time in nanoseconds
}

// New returns a guard without connections.
func New(cfg Config) *Guard {
	if cfg.Head == nil {
		cfg.Head = func() HeadLimits { return HeadLimits{} }
	}
	if cfg.Refusal == nil {
		cfg.Refusal = encodeReason
	}
	if cfg.OnTurnedAway == nil {
		cfg.OnTurnedAway = func(string) {}
	}
	g := &Guard{cfg: cfg, memory: newMemory(cfg.Limits.requestMemory()), conns: map[*conn]struct{}{}}
	g.room = sync.NewCond(&g.mu)
	return g
}

// Limits returns the limits of the guard.
func (g *Guard) Limits() Limits { return g.cfg.Limits }

func encodeReason(_ int, reason string) []byte {
	body, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		panic(err) // unreachable: strings can be encoded
	}
	return body
}

// evictForMemory turns away the clients of incomplete requests that have been silent for longer than the given one, until
// they hold what it needs. It returns false if there are not enough of them.
func (g *Guard) evictForMemory(h *hold, needed int64) bool {
	own := int64(math.MaxInt64)
	if h.conn != nil {
		own = h.conn.rank.Load()
	}
	g.mu.Lock()
	freed := int64(0)
	var candidates []ranked
	for c := range g.conns {
		held := c.hold.size()
		switch rank := c.rank.Load(); {
		case c == h.conn || held == 0:
		case c.evicted.Load():
			freed += held
		case rank < own:
			candidates = append(candidates, ranked{c, rank})
		}
	}
	g.mu.Unlock()
	slices.SortFunc(candidates, ranked.compare)
	enough := max(needed, int64(evictionShare*float64(g.memory.limit)))
	for _, r := range candidates {
		if freed >= enough {
			break
		}
		if held := r.conn.hold.size(); r.conn.evict(false) {
			freed += held
		}
	}
	return freed >= needed
}

// ranked is a connection with its rank at one moment.
type ranked struct {
	conn *conn
	rank int64
}

func (r ranked) compare(o ranked) int {
	switch {
	case r.rank < o.rank:
		return -1
	case r.rank > o.rank:
		return 1
	}
	return 0
}

// makeRoom waits until a further connection may be opened, and turns clients away for it.
func (g *Guard) makeRoom(isClosed func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) >= g.cfg.Limits.Connections && !isClosed() {
		g.evictConnections()
		wake := kernel.AfterFunc(roomPollInterval, g.room.Broadcast)
		g.room.Wait()
		wake.Stop()
	}
}

// roomPollInterval is the interval at which a full listener looks for clients that have become silent.
const roomPollInterval = 50 * time.Millisecond

// minSilence is the time for which a client may be silent even if others wait for its connection. It covers the round
// trip after which the first request arrives.
const minSilence = 200 * time.Millisecond

// evictConnections closes the connections whose clients have been silent for longest. Those of responses that are not
// read come last. It must be called with mu held.
func (g *Guard) evictConnections() {
	var candidates []ranked
	now := time.Now()
	silentBefore := now.Add(-minSilence).UnixNano()
	for c := range g.conns {
		if rank := c.rank.Load(); rank < silentBefore {
			candidates = append(candidates, ranked{c, rank})
		}
	}
	writeStalled := len(candidates) == 0
	for c := range g.conns {
		if c.writeStalled(now) && writeStalled {
			candidates = append(candidates, ranked{c, c.stalledSince.UnixNano()})
		}
	}
	slices.SortFunc(candidates, ranked.compare)
	most := max(1, int(evictionShare*float64(g.cfg.Limits.Connections)))
	for _, r := range candidates[:min(most, len(candidates))] {
		r.conn.evict(writeStalled)
	}
}

func (g *Guard) add(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	g.room.Broadcast()
}

// mayLinger reports whether a refused client may keep its connection for a moment, so that it can read the refusal.
func (g *Guard) mayLinger() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.conns)) < lingerShare*float64(g.cfg.Limits.Connections)
}

// lingerShare is the share of the connections above which refused clients are disconnected at once.
const lingerShare = 0.9

// onTurnedAway counts a client that is turned away. The log has a line at most each reportInterval.
func (g *Guard) onTurnedAway(reason string) {
	g.cfg.OnTurnedAway(reason)
	count, now, before := g.turnedAway.Add(1), time.Now().UnixNano(), g.reportedAt.Load()
	if now-before < int64(reportInterval) || !g.reportedAt.CompareAndSwap(before, now) {
		return
	}
	g.turnedAway.Add(-count)
	g.cfg.Log.Warn("clients are turned away", "latest_reason", reason, "count", count)
}

// writeRefusal refuses a request that has not run, and closes its connection.
func (g *Guard) writeRefusal(w http.ResponseWriter, reason error) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", retryAfterSeconds())
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(g.cfg.Refusal(http.StatusServiceUnavailable, reason.Error())) // The client may be gone.
}

func retryAfterSeconds() string { return strconv.FormatFloat(RetryAfter.Seconds(), 'f', 3, 64) }
