package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"hyssopcroft.example/query"
)

// latencyBuckets are the bucket bounds of the latency histogram in seconds. They span from a target's service time
// to the maximum deadline.
var latencyBuckets = []float64{.005, .01, .02, .04, .06, .08, .1, .13, .15, .2, .3, .4, .6, 1, 2, 4}

// Metrics holds the counters and histograms of requests and attempts.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	missing  prometheus.Counter
	crashes  prometheus.Counter
	// unreported counts crashes that were not counted against an unanswered request, since too many came at once.
	unreported prometheus.Counter
	// rateLimits counts the changes of the rate limits that targets state.
	rateLimits prometheus.Counter
	// forwarded counts the attempts at relays by outcome.
	forwarded *prometheus.CounterVec
	attempts  [query.OutcomeFailed + 1]prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r.
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
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopcroft_suspected_crashes_total", Help: "Targets that are known to have crashed while they ran a request that no target answered.",
	})
	m.unreported = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopcroft_unreported_crashes_total", Help: "Crashes shown by the list that were not counted against an unanswered request, since too many came at once.",
	})
	m.rateLimits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopcroft_rate_limit_changes_total", Help: "Changes of the rate limits that targets state in their answers.",
	})
	attempts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopcroft_attempts_total", Help: "Attempts at targets by outcome, those that were cancelled left out.",
	}, []string{"outcome"})
	for o := range m.attempts {
		m.attempts[o] = attempts.WithLabelValues(query.Outcome(o).String())
	}
	m.forwarded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopcroft_forwarded_total", Help: "Requests sent to relays by what became of them there.",
	}, []string{"outcome"})
	r.MustRegister(m.forwarded, m.rateLimits, m.unreported, m.requests, m.latency, m.missing, m.crashes, attempts)
	return m
}

func (m *Metrics) countAttempt(o query.Outcome) { m.attempts[o].Inc() }
