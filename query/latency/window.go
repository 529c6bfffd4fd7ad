// Package latency computes quantiles of the most recent latencies of one kind of request.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSize is the number of latencies in a window.
	windowSize = 512
	// maxMicros is the maximum recorded latency in microseconds. A request takes at most 20 s.
	maxMicros = 20_000_000
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
)

// Window holds the latencies of the last full window of 512 values and of the current one. It is not safe for
// concurrent use.
type Window struct {
	current, previous *hdrhistogram.Histogram
}

// NewWindow returns a Window without values.
func NewWindow() *Window { return &Window{current: newHistogram(), previous: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

// Record adds a latency. Values outside the range from 1 µs to 20 s are clamped to it.
func (w *Window) Record(d time.Duration) {
	if w.current.TotalCount() >= windowSize {
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
	}
	// The value lies within the bounds of the histogram, so there is no error.
	_ = w.current.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Quantile returns the value at the given percentile, from 0 to 100, or 0 if nothing has been recorded. It covers
// the last full window, or all values until the first window is full.
func (w *Window) Quantile(percentile float64) time.Duration {
	h := w.previous
	if h.TotalCount() == 0 {
		h = w.current
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}
