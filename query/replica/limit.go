package replica

import "time"

const (
	minLimit = 1
	maxLimit = 64
	// slowFloor is the minimum to which slow answers alone reduce the limit. At 1, a single straggler
	// would block all other requests to the only replica of a shard.
	slowFloor = 2
	// shedDecreaseFactor and slowDecreaseFactor are the factors by which the limit is multiplied when the target sheds
	// or is slow. Shedding proves overload, whereas latency only indicates it and reduces the limit less.
	shedDecreaseFactor = 0.7
	slowDecreaseFactor = 0.9
	// An answer is slow if its latency exceeds slowFactor times the minimum recent latency plus
	// slowSlack. The slack keeps scheduling delays of very fast targets from counting as queueing.
	slowFactor = 2
	slowSlack  = 2 * time.Millisecond
	// maxSlowShare is the share of slow answers above which the limit is reduced. Queueing makes most
	// answers slow, stragglers only a few of them.
	maxSlowShare = 0.5
	// slowSmoothing is the weight of a new answer in the moving average of slow answers.
	slowSmoothing = 1.0 / 16
	// minReduceInterval is the minimum time between two reductions, so that answers to requests sent before
	// a reduction do not cause another one.
	minReduceInterval = 50 * time.Millisecond
)

// limit bounds the sub-requests that this instance may have in flight at one target, by additive
// increase and multiplicative decrease. It grows by one for each answer until the first reduction, and
// afterwards by one for each limit's worth of answers.
type limit struct {
	value     float64
	slowShare float64 // moving average of the share of slow answers
	reduced   bool    // set by the first reduction, which ends the fast growth
	reducedAt time.Time
}

func newLimit() limit { return limit{value: minLimit} }

// atLimit reports whether inFlight requests reach the limit.
func (l *limit) atLimit(inFlight int) bool { return inFlight >= int(l.value) }

// onAnswer adjusts the limit to the latency of an answer. minLatency is the minimum recent average.
func (l *limit) onAnswer(now time.Time, inFlight int, latency, minLatency time.Duration) {
	sample := 0.0
	if latency > minLatency*slowFactor+slowSlack {
		sample = 1
	}
	l.slowShare += (sample - l.slowShare) * slowSmoothing
	if l.slowShare > maxSlowShare {
		l.reduce(now, slowDecreaseFactor, slowFloor)
		return
	}
	if 2*inFlight < int(l.value) {
		return // The limit was not in use, so the latency is no evidence for a higher limit.
	}
	step := 1.0
	if l.reduced {
		step = 1 / l.value
	}
	l.value = min(l.value+step, maxLimit)
}

func (l *limit) onShed(now time.Time) { l.reduce(now, shedDecreaseFactor, minLimit) }

func (l *limit) reduce(now time.Time, factor, floor float64) {
	if now.Sub(l.reducedAt) < minReduceInterval || l.value <= floor {
		return
	}
	l.reduced, l.reducedAt = true, now
	l.value = max(l.value*factor, floor)
}
