package replica

import "time"

const (
	minLimit = 1
	maxLimit = 64
	// slowFloor is the lowest limit that latency alone leads to. At 1, a single straggler would keep
	// every other request from a shard's only replica.
	slowFloor = 2
	// shedCut and slowCut are the factors by which the limit falls. Shedding is certain, latency is
	// an indication, so it cuts less.
	shedCut = 0.7
	slowCut = 0.9
	// An answer is slow if it took more than the lowest recent latency times slowFactor plus
	// slowSlack. The slack keeps scheduling delays of very fast targets from counting as queueing.
	slowFactor = 2
	slowSlack  = 2 * time.Millisecond
	// slowShare is the share of slow answers above which the limit falls. Queueing makes most answers
	// slow; stragglers alone make few of them slow.
	slowShare = 0.5
	// slowSmoothing is the weight of an answer in the share of slow ones.
	slowSmoothing = 1.0 / 16
	// cutPause is the shortest time between two cuts, so that the answers to requests sent before a
	// cut do not cause another one.
	cutPause = 50 * time.Millisecond
)

// limit is the number of requests that this instance may have in flight at one target. It grows
// by one for each limit's worth of answers (by one for each answer until the first cut) and falls by
// a factor. Its unit is one sub-request.
type limit struct {
	value  float64
	slow   float64 // smoothed share of slow answers
	probed bool    // set by the first cut, which ends the fast growth
	cut    time.Time
}

func newLimit() limit { return limit{value: minLimit} }

// full reports whether no further request may be sent.
func (l *limit) full(inFlight int) bool { return inFlight >= int(l.value) }

// onAnswer takes the latency of an answer and the lowest recent average.
func (l *limit) onAnswer(now time.Time, inFlight int, latency, lowest time.Duration) {
	slow := 0.0
	if latency > lowest*slowFactor+slowSlack {
		slow = 1
	}
	l.slow += (slow - l.slow) * slowSmoothing
	if l.slow > slowShare {
		l.reduce(now, slowCut, slowFloor)
		return
	}
	if 2*inFlight < int(l.value) {
		return // the limit was not in use, so the latency says nothing about a higher one
	}
	step := 1.0
	if l.probed {
		step = 1 / l.value
	}
	l.value = min(l.value+step, maxLimit)
}

func (l *limit) onShed(now time.Time) { l.reduce(now, shedCut, minLimit) }

func (l *limit) reduce(now time.Time, factor, floor float64) {
	if now.Sub(l.cut) < cutPause || l.value <= floor {
		return
	}
	l.probed, l.cut = true, now
	l.value = max(l.value*factor, floor)
}
