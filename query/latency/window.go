// Package latency keeps quantiles of the latest latencies of one kind of request.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is the number of latencies in one window.
	windowSize = 512
	// longest bounds the recorded values, in microseconds; a request takes at most 20 s.
	longest = 20_000_000
	// digits is the precision in significant decimal digits.
	digits = 2
)

// Window keeps the latencies of the last full window of 512 values, and those recorded since. It is
// not safe for concurrent use.
type Window struct {
	recent, before *hdrhistogram.Histogram
}

// NewWindow returns a Window without values.
func NewWindow() *Window { return &Window{recent: newHistogram(), before: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }

// Record adds a latency. Values outside the range from 1 µs to 20 s count as its ends.
func (w *Window) Record(d time.Duration) {
	if w.recent.TotalCount() >= windowSize {
		w.recent, w.before = w.before, w.recent
		w.recent.Reset()
	}
	// The value is within the bounds of the histogram, so that there is no error.
	_ = w.recent.RecordValue(min(max(d.Microseconds(), 1), longest))
}

// Quantile returns the value at the percentile, 0 while nothing is recorded. Until the first window
// is full it is that of all values so far, afterwards that of the last full window.
func (w *Window) Quantile(percentile float64) time.Duration {
	of := w.before
	if of.TotalCount() == 0 {
		of = w.recent
	}
	return time.Duration(of.ValueAtQuantile(percentile)) * time.Microsecond
}
