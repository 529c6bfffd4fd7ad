package replica

import "time"

// lowestPeriod is the time for which the lowest latency is remembered, at least.
const lowestPeriod = 10 * time.Second

// MinLatency keeps the lowest latency of the last one to two periods.
type MinLatency struct {
	older, newer time.Duration
	rotated      time.Time
}

// Record takes a latency.
func (l *MinLatency) Record(now time.Time, d time.Duration) {
	if l.rotated.IsZero() || now.Sub(l.rotated) >= lowestPeriod {
		l.older, l.newer, l.rotated = l.newer, d, now
		return
	}
	l.newer = min(l.newer, d)
}

// Value returns the lowest recent latency, 0 if there is none.
func (l *MinLatency) Value() time.Duration {
	if l.older == 0 {
		return l.newer
	}
	return min(l.older, l.newer)
}
