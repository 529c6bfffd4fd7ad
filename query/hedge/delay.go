package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeQuantile is the percentile of the latency after which a hedge is due. A lower one asks for
	// more hedges than HedgeShare holds.
	hedgeQuantile = 98
	// period is the time after which a latency counts no longer, at the earliest.
	period = 10 * time.Second
	// minSamples is the number of latencies that a 98th percentile needs to rest on more than two.
	minSamples = 100
	// refreshEvery is the number of latencies after which the percentile is read again, because
	// reading walks the histogram.
	refreshEvery = 64

	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 2
)

// Delay learns the time after which a hedge is due from the latencies of one target class. Two
// histograms take every latency and are emptied in turn, so the percentile rests on between one and
// two periods. It is not safe for concurrent use.
type Delay struct {
	percentile   float64
	older, newer *hdrhistogram.Histogram
	rotated      time.Time
	pending      int // latencies since the percentile was read
	quantile     time.Duration
}

// NewDelay returns a Delay that has learnt nothing.
func NewDelay() *Delay { return NewDelayAtPercentile(hedgeQuantile) }

// NewDelayAtPercentile returns a Delay that follows another percentile, from 0 to 100.
func NewDelayAtPercentile(percentile float64) *Delay {
	return &Delay{
		percentile: percentile,
		older:      hdrhistogram.New(lowestMicros, highestMicros, digits),
		newer:      hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

// Record takes the latency of an answer, or the time for which a cancelled attempt had been waiting.
// The latter is below the true latency but above the percentile, so the percentile stays right.
func (d *Delay) Record(now time.Time, latency time.Duration) {
	micros := min(max(latency.Microseconds(), lowestMicros), highestMicros)
	_ = d.older.RecordValue(micros) // The value lies within the histogram's bounds.
	_ = d.newer.RecordValue(micros)
	d.rotate(now)
	d.pending++
	if d.pending >= refreshEvery || d.quantile == 0 && d.older.TotalCount() >= minSamples {
		d.refresh()
	}
}

// Value returns the time after which a hedge is due, or false if too little has been learnt.
func (d *Delay) Value() (time.Duration, bool) { return d.quantile, d.quantile > 0 }

func (d *Delay) rotate(now time.Time) {
	if d.rotated.IsZero() {
		d.rotated = now
	}
	if now.Sub(d.rotated) < period || d.newer.TotalCount() < minSamples {
		return
	}
	d.older, d.newer = d.newer, d.older
	d.newer.Reset()
	d.rotated = now
	d.refresh()
}

func (d *Delay) refresh() {
	d.pending = 0
	if d.older.TotalCount() < minSamples {
		return
	}
	d.quantile = time.Duration(d.older.ValueAtQuantile(d.percentile)) * time.Microsecond
}
