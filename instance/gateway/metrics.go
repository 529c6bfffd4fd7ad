package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hyssopcroft.example/query"
)

// latencyBuckets are the bounds of the latency histograms in seconds. They divide the range between a
// target's service time and the longest deadline.
var latencyBuckets = []float64{.005, .01, .02, .04, .06, .08, .1, .13, .15, .2, .3, .4, .6, 1, 2, 4}

// Metrics are the counters and histograms of the requests.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	missing  prometheus.Counter
	attempts [query.OutcomeFailed + 1]prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopcroft_requests_total", Help: "Requests of callers by what became of them.",
		}, []string{"kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hyssopcroft_request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		missing: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssopcroft_missing_parts_total", Help: "Shards that merged answers lacked.",
		}),
	}
	attempts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopcroft_attempts_total", Help: "Attempts at targets by outcome, those that were cancelled left out.",
	}, []string{"outcome"})
	for o := range m.attempts {
		m.attempts[o] = attempts.WithLabelValues(query.Outcome(o).String())
	}
	r.MustRegister(m.requests, m.latency, m.missing, attempts)
	return m
}

func (m *Metrics) attempt(o query.Outcome) { m.attempts[o].Inc() }

// observe counts a request and logs it unless it was answered whole and in time.
func (s *Service) observe(ctx context.Context, r *Request, q *run, resp Response, took time.Duration) {
	kind := resp.Kind.String()
	gone := ctx.Err() != nil
	if gone {
		kind = "caller_gone"
	}
	m := s.cfg.Metrics
	m.requests.WithLabelValues(kind).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
	m.missing.Add(float64(resp.Missing))
	if gone || q != nil && resp.Kind <= Merged && resp.Missing == 0 && took <= q.terms.route.Objective {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", r.ID), slog.String("outcome", kind), slog.Duration("took", took),
		slog.Duration("time_left", r.TimeLeft),
	}
	if resp.Reason != "" {
		attrs = append(attrs, slog.String("reason", resp.Reason))
	}
	if q != nil {
		slowest := q.machine.Slowest()
		attrs = append(attrs,
			slog.String("route", q.terms.route.Name), slog.Uint64("config_version", uint64(q.terms.table.Version)),
			slog.Int("shards", len(q.terms.shards)), slog.Int("covered", q.machine.Covered()),
			slog.String("slowest_service", q.terms.serviceOf(slowest.Shard)), slog.String("target", string(slowest.Target)),
			slog.Int("attempts", slowest.Attempts), slog.String("cause", string(slowest.Cause)))
	}
	s.cfg.Log.LogAttrs(ctx, slog.LevelWarn, "request not answered whole and in time", attrs...)
}

func (t terms) serviceOf(shard query.Shard) string {
	for i, s := range t.shards {
		if s == shard {
			return t.services[i]
		}
	}
	return ""
}
