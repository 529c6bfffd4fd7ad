package workload

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the maximum recorded latency; longer latencies count as this one.
	maxLatency = 2 * time.Minute
	// significantFigures is the precision of the recorded latencies in decimal digits.
	significantFigures = 3
)

// Summary is the result of a run, or its progress so far.
type Summary struct {
	ElapsedSeconds float64 `json:"elapsed_seconds"`
	Started        int64   `json:"started"`
	Finished       int64   `json:"finished"`
	Rows           []Row   `json:"rows"`
}

// Row is the part of a summary for one plan and one kind of request.
type Row struct {
	Plan string `json:"plan"`
	// Kind is "search" or "execute".
	Kind     string           `json:"kind"`
	Requests int64            `json:"requests"`
	Outcomes map[string]int64 `json:"outcomes"`
	// Latency quantiles over all outcomes, in milliseconds from the intended start.
	P50Millis  float64 `json:"p50_ms"`
	P90Millis  float64 `json:"p90_ms"`
	P99Millis  float64 `json:"p99_ms"`
	P999Millis float64 `json:"p999_ms"`
	MaxMillis  float64 `json:"max_ms"`
}

type rowKey struct{ plan, kind string }

type rowStats struct {
	outcomes      map[string]int64
	latencyMicros *hdrhistogram.Histogram
}

// recorder collects the outcomes and latencies of requests. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu       sync.Mutex // guards the fields below
	started  int64
	finished int64
	rows     map[rowKey]*rowStats
}

func newRecorder(start time.Time) *recorder {
	return &recorder{start: start, rows: map[rowKey]*rowStats{}}
}

func (r *recorder) requestStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
}

func (r *recorder) requestFinished(req Request, outcome string, latency time.Duration) {
	key := rowKey{plan: req.Plan, kind: "search"}
	if req.NonRepeatable {
		key.kind = "execute"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
	row, ok := r.rows[key]
	if !ok {
		row = &rowStats{
			outcomes:      map[string]int64{},
			latencyMicros: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
		}
		r.rows[key] = row
	}
	row.outcomes[outcome]++
	if err := row.latencyMicros.RecordValue(min(latency, maxLatency).Microseconds()); err != nil {
		panic(err) // not reached: the value is capped at the maximum of the histogram
	}
}

func (r *recorder) summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{ElapsedSeconds: time.Since(r.start).Seconds(), Started: r.started, Finished: r.finished}
	for key, row := range r.rows {
		s.Rows = append(s.Rows, Row{
			Plan: key.plan, Kind: key.kind, Requests: row.latencyMicros.TotalCount(), Outcomes: maps.Clone(row.outcomes),
			P50Millis: row.quantile(50), P90Millis: row.quantile(90), P99Millis: row.quantile(99),
			P999Millis: row.quantile(99.9), MaxMillis: float64(row.latencyMicros.Max()) / 1000,
		})
	}
	slices.SortFunc(s.Rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Kind, b.Kind)) })
	return s
}

func (r *rowStats) quantile(percent float64) float64 {
	return float64(r.latencyMicros.ValueAtQuantile(percent)) / 1000
}
