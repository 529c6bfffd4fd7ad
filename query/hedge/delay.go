package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the percentile of the latency after which a hedge is due. A lower one would
	// require more hedges than hedgeRatio allows.
	hedgePercentile = 98
	// rotationPeriod is the minimum time for which a latency counts.
	rotationPeriod = 10 * time.Second
	// minSamples is the minimum number of latencies for a percentile. With fewer, the 98th percentile would
	// depend on one or two of them.
	minSamples = 100
	// refreshEvery is the number of latencies after which the percentile is computed again. It is not
	// computed for each one, because that scans the histogram.
	refreshEvery = 64

	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 2
)

// Delay derives the time after which a hedge is due from the latencies of one target class. Every latency is
// added to two histograms, which are reset alternately, so that the percentile covers the last one to two
// periods. Delay is not safe for concurrent use.
type Delay struct {
	percentile   float64
	older, newer *hdrhistogram.Histogram
	rotatedAt    time.Time
	sinceRefresh int           // latencies recorded since the last refresh
	value        time.Duration // percentile at the last refresh, 0 before the first
}

// NewDelay returns a Delay without samples that follows the percentile for hedges.
func NewDelay() *Delay { return NewDelayAtPercentile(hedgePercentile) }

// NewDelayAtPercentile returns a Delay without samples that follows the given percentile, from 0 to 100.
func NewDelayAtPercentile(percentile float64) *Delay {
	return &Delay{
		percentile: percentile,
		older:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
		newer:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Record adds the latency of an answer, or the time that a cancelled attempt had waited. The latter is less
// than the actual latency but above the percentile, so it does not distort the percentile.
func (d *Delay) Record(now time.Time, latency time.Duration) {
	micros := min(max(latency.Microseconds(), minMicros), maxMicros)
	_ = d.older.RecordValue(micros) // The value lies within the histogram's bounds.
	_ = d.newer.RecordValue(micros)
	d.rotate(now)
	d.sinceRefresh++
	if d.sinceRefresh >= refreshEvery || d.value == 0 && d.older.TotalCount() >= minSamples {
		d.refresh()
	}
}

// Value returns the time after which a hedge is due, or false if too few latencies have been recorded.
func (d *Delay) Value() (time.Duration, bool) { return d.value, d.value > 0 }

func (d *Delay) rotate(now time.Time) {
	if d.rotatedAt.IsZero() {
		d.rotatedAt = now
	}
	if now.Sub(d.rotatedAt) < rotationPeriod || d.newer.TotalCount() < minSamples {
		return
	}
	d.older, d.newer = d.newer, d.older
	d.newer.Reset()
	d.rotatedAt = now
	d.refresh()
}

func (d *Delay) refresh() {
	d.sinceRefresh = 0
	if d.older.TotalCount() < minSamples {
		return
	}
	d.value = time.Duration(d.older.ValueAtQuantile(d.percentile)) * time.Microsecond
}
