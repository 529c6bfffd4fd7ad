package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures, with no answer in between, that open the
	// breaker. Each of them costs a token for extra attempts while a failure domain is silent.
	failuresToOpen = 2
	// minBackoff and maxBackoff bound the time to the next probe. A probe of a silent target costs a
	// token as well.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// breaker is a circuit breaker for one target. It blocks attempts to a target that does not answer
// until a probe is answered.
type breaker struct {
	failures      int
	open          bool
	probeAt       time.Time // earliest time of the next probe while open
	backoff       time.Duration
	probeInFlight bool
}

// onAnswer closes the breaker and reports whether it was open.
func (b *breaker) onAnswer() bool {
	wasOpen := b.open
	*b = breaker{}
	return wasOpen
}

// onFailure counts a failure. A conclusive failure opens the breaker alone: the target refused the
// connection, or an overdue attempt failed and the target had answered nothing since it was sent.
func (b *breaker) onFailure(now time.Time, conclusive bool, source *rand.Rand) {
	b.failures++
	if !conclusive && b.failures < failuresToOpen && !b.open {
		return
	}
	if b.open && !b.probeInFlight {
		return // The attempt was sent before the breaker opened.
	}
	b.open, b.probeInFlight = true, false
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	// Jitter spreads the probes of different instances over time.
	b.probeAt = now.Add(b.backoff/2 + time.Duration(source.Int64N(int64(b.backoff))))
}

// probeDue reports whether an attempt may be sent as a probe.
func (b *breaker) probeDue(now time.Time) bool {
	return b.open && !b.probeInFlight && !now.Before(b.probeAt)
}
