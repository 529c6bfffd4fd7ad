package admission

import (
	"time"
)

const (
	// initialGateLimit is the limit of a new Gate. It is above what an instance has in flight under ordinary
	// load, which is 2 to 10 requests.
	initialGateLimit = 64.0
	// minGateLimit keeps about the ordinary load in flight while targets refuse everything, so that the end of
	// the overload is detected.
	minGateLimit = 8.0
	// maxGateLimit is about the maximum number of requests that an instance has in flight.
	maxGateLimit = 1024.0
	// gateDecreaseFactor reduces the limit, at most once per gateDecreaseInterval: requests admitted before a
	// decrease still fail for about that long. Ten decreases, one second, bring four times the load down to
	// the capacity of the targets.
	gateDecreaseFactor = 0.85
	// lateDecreaseFactor replaces gateDecreaseFactor for late requests, some of which are due to slow targets:
	// ten such decreases equal about two of the others.
	lateDecreaseFactor   = 0.97
	gateDecreaseInterval = 100 * time.Millisecond
	// gateLatencyWeight is the weight of a request in the mean latency.
	gateLatencyWeight = 1.0 / 16
	// gateRetrySpread is the number of mean latencies over which the retries of refused requests are spread. Those
	// that retry together would be refused together.
	gateRetrySpread = 4
	// minGateRetryAfter prevents retries before the load can have changed: it covers the round trip to a caller
	// and the service time of a target.
	minGateRetryAfter = 50 * time.Millisecond
)

// rankShare is the share of the limit that requests of a rank may fill; rank 0 is the most urgent. The last
// entry applies to all higher ranks. Ranks 2 and 3 each leave a further fifth of the limit unused, so that a
// burst of less urgent requests leaves capacity for more urgent ones.
var rankShare = [...]float64{1, 1, 0.8, 0.6}

// Gate is an adaptive concurrency limit for the requests over the targets of one set of shards. It adapts to
// the refusals of the targets. A request over many shards is lost if one shard refuses it, so that under
// overload nearly all are lost although the targets work at full load: if three of four attempts are refused,
// one request in a million gets ten of them accepted. Admitting fewer requests completes more.
//
// It is designed for a burst of 3 to 4 times the usual load while half of the targets are slow, with callers
// that retry at once. Silent or lost targets do not lower the limit, because other targets have capacity for
// their load. Slow targets do if most requests are late; the gate cannot distinguish them from full ones.
//
// It is not safe for concurrent use.
type Gate struct {
	limit     float64
	inFlight  int
	reducedAt time.Time
	mean      time.Duration // exponential moving average of the latency
}

// NewGate returns a gate at its initial limit.
func NewGate() *Gate { return &Gate{limit: initialGateLimit} }

// Admit reports whether a request may start. If it may, its end must be reported to Done.
func (g *Gate) Admit(rank int) bool {
	share := rankShare[min(max(rank, 0), len(rankShare)-1)]
	if float64(g.inFlight) >= max(g.limit*share, 1) {
		return false
	}
	g.inFlight++
	return true
}

// Result is the outcome of an admitted request.
type Result uint8

const (
	// InTime requests were answered within their objective.
	InTime Result = iota
	// Late requests were answered after their objective.
	Late
	// RefusedByTargets means that the answer lacks a shard because its targets refused the request.
	RefusedByTargets
)

// Done ends an admitted request that took the given time, and adapts the limit to its result.
func (g *Gate) Done(now time.Time, took time.Duration, r Result) {
	busy := float64(g.inFlight) >= g.limit/2
	g.inFlight--
	if g.mean == 0 {
		g.mean = took
	}
	g.mean += time.Duration(float64(took-g.mean) * gateLatencyWeight)
	switch {
	case r == InTime && busy: // Otherwise the limit is not reached.
		g.limit = min(g.limit+1/g.limit, maxGateLimit)
	case r == InTime || now.Sub(g.reducedAt) < gateDecreaseInterval:
	case r == Late:
		g.reduce(now, lateDecreaseFactor)
	default:
		g.reduce(now, gateDecreaseFactor)
	}
}

// reduce lowers the limit by the given factor.
func (g *Gate) reduce(now time.Time, factor float64) {
	g.reducedAt = now
	// A limit above the number of requests in flight has no effect, so the decrease starts from that number.
	g.limit = max(min(g.limit, float64(g.inFlight+1))*factor, minGateLimit)
}

// State returns the number of requests in flight and the limit.
func (g *Gate) State() (inFlight int, limit float64) { return g.inFlight, g.limit }

// RetryAfter returns the delay after which a refused request should retry. random is between 0 and 1.
func (g *Gate) RetryAfter(random float64) time.Duration {
	return max(time.Duration((1+random*(gateRetrySpread-1))*float64(g.mean)), minGateRetryAfter)
}
