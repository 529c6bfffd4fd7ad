package snapshot

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// medianWindow is the number of latencies in one window.
	medianWindow = 512
	// longestLatency bounds the recorded values, in microseconds; a request takes at most 20 s.
	longestLatency = 20_000_000
	// medianDigits is the precision in significant decimal digits.
	medianDigits = 2
)

// Median keeps the median of the latest latencies of one index: of the last full window of 512
// values, or of those recorded so far. It is not safe for concurrent use.
type Median struct {
	recent, before *hdrhistogram.Histogram
}

// NewMedian returns a Median without values.
func NewMedian() *Median {
	return &Median{recent: newHistogram(), before: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency, medianDigits)
}

// Record adds the latency of a complete answer.
func (m *Median) Record(d time.Duration) {
	if m.recent.TotalCount() >= medianWindow {
		m.recent, m.before = m.before, m.recent
		m.recent.Reset()
	}
	// The value is within the bounds of the histogram, so that there is no error.
	_ = m.recent.RecordValue(min(max(d.Microseconds(), 1), longestLatency))
}

// Value returns the median, 0 while there are no values.
func (m *Median) Value() time.Duration {
	of := m.before
	if m.recent.TotalCount() > of.TotalCount() || of.TotalCount() == 0 {
		of = m.recent
	}
	return time.Duration(of.ValueAtQuantile(50)) * time.Microsecond
}
