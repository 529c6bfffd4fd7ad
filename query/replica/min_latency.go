package replica

import "time"

// minLatencyPeriod is the minimum time for which a latency counts.
const minLatencyPeriod = 10 * time.Second

// MinLatency tracks the minimum latency over the last one to two periods.
type MinLatency struct {
	previous, current time.Duration
	rotatedAt         time.Time
}

// Record adds a latency.
func (m *MinLatency) Record(now time.Time, d time.Duration) {
	if m.rotatedAt.IsZero() || now.Sub(m.rotatedAt) >= minLatencyPeriod {
		m.previous, m.current, m.rotatedAt = m.current, d, now
		return
	}
	m.current = min(m.current, d)
}

// Value returns the minimum recent latency, or 0 if none was recorded.
func (m *MinLatency) Value() time.Duration {
	if m.previous == 0 {
		return m.current
	}
	return min(m.previous, m.current)
}
