package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToOpen is the number of failures in a row, without an answer between them, after which
	// a target gets no more attempts. Each costs a token while a failure domain is silent.
	failuresToOpen = 2
	// firstPause and longestPause bound the time to the next probe. A probe of a silent target costs a
	// token as well.
	firstPause   = 250 * time.Millisecond
	longestPause = 2 * time.Second
)

// breaker stops attempts to a target that does not answer, until a probe answers.
type breaker struct {
	failures int
	open     bool
	until    time.Time // while open: the time of the next probe
	pause    time.Duration
	probing  bool
}

// onAnswer closes the breaker. It returns true if it was open.
func (b *breaker) onAnswer() bool {
	was := b.open
	*b = breaker{}
	return was
}

// onFailure counts a failure. certain is set if one is enough: the target refused the connection, or
// closed it after it had answered nothing for long.
func (b *breaker) onFailure(now time.Time, certain bool, source *rand.Rand) {
	b.failures++
	if !certain && b.failures < failuresToOpen && !b.open {
		return
	}
	if b.open && !b.probing {
		return // sent before the breaker opened
	}
	b.open, b.probing = true, false
	b.pause = min(max(2*b.pause, firstPause), longestPause)
	// The jitter keeps the probes of many instances apart.
	b.until = now.Add(b.pause/2 + time.Duration(source.Int64N(int64(b.pause))))
}

// probeDue reports whether one attempt may be sent as a probe.
func (b *breaker) probeDue(now time.Time) bool {
	return b.open && !b.probing && !now.Before(b.until)
}
