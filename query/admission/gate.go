package admission

import (
	"time"
)

const (
	// firstGate is the number of requests in flight that a Gate allows before it has learnt anything. It is
	// above what an instance has in flight under ordinary load, which is 2 to 10.
	firstGate = 64.0
	// leastGate keeps about that load going while everything is refused, so that the end of it is noticed.
	leastGate = 8.0
	// mostGate is about the number of requests that an instance holds at most.
	mostGate = 1024.0
	// gateCut is the factor by which the number falls, at most once in gateCutPause: the requests that were
	// let in before a cut still fail for about that long. Ten cuts, a second, take four times the load down
	// to what targets carry.
	gateCut = 0.85
	// lateCut takes its place for requests that were late, some of which are due to slow targets: ten such
	// cuts count for about two of the others.
	lateCut      = 0.97
	gateCutPause = 100 * time.Millisecond
	// gateSmoothing is the weight of a request in the average time.
	gateSmoothing = 1.0 / 16
	// spread is the number of average times over which refused requests are asked to come back. Those that
	// come back together would be refused together.
	spread = 4
	// shortestReturn keeps refused requests from coming back before anything can have changed: the round
	// trip to a caller and the service time of a target.
	shortestReturn = 50 * time.Millisecond
)

// gateShare is the part of the number that requests of a rank may fill; 0 is the most urgent rank. The
// last entry holds for all higher ranks. The two lowest leave a fifth each, so that a burst of them
// leaves room for those above.
var gateShare = [...]float64{1, 1, 0.8, 0.6}

// Gate bounds the requests in flight over the targets of one set of shards, by what the targets refuse.
// A request over many shards is lost if one shard refuses it, so that under overload nearly all are lost
// although the targets work at full load: with three of four attempts refused, one request in a million
// gets ten. Letting in fewer serves more.
//
// The load that it answers: a burst of 3 to 4 times the usual load while half of the targets are slow, with
// callers that repeat at once. Silent or lost targets do not lower the number, because other targets have
// room for what they cannot take. Slow ones do if most requests are late; the gate cannot tell them from
// full ones.
//
// It is not safe for concurrent use.
type Gate struct {
	limit    float64
	inFlight int
	cutAt    time.Time
	mean     time.Duration // of the time that requests take
}

// NewGate returns a gate that has learnt nothing.
func NewGate() *Gate { return &Gate{limit: firstGate} }

// Admit reports whether a request may start. It then has to be reported to Done.
func (g *Gate) Admit(rank int) bool {
	share := gateShare[min(max(rank, 0), len(gateShare)-1)]
	if float64(g.inFlight) >= max(g.limit*share, 1) {
		return false
	}
	g.inFlight++
	return true
}

// Result says how a request ended.
type Result uint8

const (
	// InTime requests were answered within their objective.
	InTime Result = iota
	// Late requests took longer.
	Late
	// RefusedByTargets means that the answer lacks a shard because targets refused it.
	RefusedByTargets
)

// Done takes the end of a request.
func (g *Gate) Done(now time.Time, took time.Duration, r Result) {
	busy := float64(g.inFlight) >= g.limit/2
	g.inFlight--
	if g.mean == 0 {
		g.mean = took
	}
	g.mean += time.Duration(float64(took-g.mean) * gateSmoothing)
	switch {
	case r == InTime && busy: // Otherwise the number is not in use.
		g.limit = min(g.limit+1/g.limit, mostGate)
	case r == InTime || now.Sub(g.cutAt) < gateCutPause:
	case r == Late:
		g.cut(now, lateCut)
	default:
		g.cut(now, gateCut)
	}
}

func (g *Gate) cut(now time.Time, factor float64) {
	g.cutAt = now
	// Beyond what is in flight the number means nothing.
	g.limit = max(min(g.limit, float64(g.inFlight+1))*factor, leastGate)
}

// State returns the number of requests in flight and the number allowed.
func (g *Gate) State() (inFlight int, limit float64) { return g.inFlight, g.limit }

// RetryAfter returns when a refused request may find room. random is from 0 to 1.
func (g *Gate) RetryAfter(random float64) time.Duration {
	return max(time.Duration((1+random*(spread-1))*float64(g.mean)), shortestReturn)
}
