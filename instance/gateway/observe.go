package gateway

import (
	"context"
	"log/slog"
	"time"

	"hyssopcroft.example/query"
)

// mostLoggedAttempts bounds the attempts that the line of a request lists, at about 100 bytes each.
const mostLoggedAttempts = 8

// loggedAttempt is an attempt as the line of a request lists it. Times are in milliseconds.
type loggedAttempt struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	SentMS  float64 `json:"sent_ms"`
	TookMS  float64 `json:"took_ms,omitempty"`
	Ended   string  `json:"ended"`
}

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
	if q != nil && !gone && resp.Kind <= Merged && resp.Missing == 0 && took <= q.terms.route.Objective {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", r.ID), slog.String("outcome", kind), slog.Float64("took_ms", millis(took)),
		slog.Float64("time_left_ms", millis(r.TimeLeft)),
	}
	if resp.Reason != "" {
		attrs = append(attrs, slog.String("reason", resp.Reason))
	}
	if resp.RetryAfter > 0 {
		attrs = append(attrs, slog.Float64("retry_after_ms", millis(resp.RetryAfter)))
	}
	attrs = append(attrs, resp.inputs...)
	if q != nil {
		attrs = append(attrs,
			slog.String("route", q.terms.route.Name), slog.Uint64("routes_version", uint64(q.terms.table.Version)),
			slog.Float64("objective_ms", millis(q.terms.route.Objective)), slog.Float64("timeout_ms", millis(q.terms.route.Timeout)), slog.Int("shards", len(q.terms.shards)),
			slog.Int("least", q.terms.least()), slog.Int("covered", q.machine.Covered()), q.denied.attr(), slog.Any("attempts", q.loggedAttempts()))
	}
	s.cfg.Log.LogAttrs(ctx, slog.LevelWarn, message(resp, gone), attrs...)
}

// message keeps short answers, refusals and failures apart, so that many of one kind do not crowd out the
// lines of another.
func message(resp Response, gone bool) string {
	switch {
	case gone:
		return "caller left before the answer"
	case resp.Kind == Merged && resp.Missing > 0:
		return "request answered short"
	case resp.Kind <= Merged:
		return "request answered late"
	case resp.Kind == NoRoute, resp.Kind == Refused:
		return "request refused"
	}
	return "request failed"
}

// loggedAttempts lists the attempts at shards that are not covered, or else those at the shard that was
// waited for longest.
func (q *run) loggedAttempts() []loggedAttempt {
	answered := map[query.Shard]bool{}
	var slowest attemptRecord
	for _, r := range q.history {
		if r.ended(query.OutcomeAnswered) {
			answered[r.shard] = true
			if r.sent+r.took > slowest.sent+slowest.took {
				slowest = r
			}
		}
	}
	all := len(answered) == len(q.terms.shards)
	var out []loggedAttempt
	for _, r := range q.history {
		if len(out) == mostLoggedAttempts || answered[r.shard] && !(all && r.shard == slowest.shard) {
			continue
		}
		out = append(out, loggedAttempt{
			Service: q.terms.serviceOf(r.shard), Target: string(r.target), SentMS: millis(r.sent), TookMS: millis(r.took), Ended: r.end(),
		})
	}
	return out
}

// end returns what the log says of the end of an attempt.
func (r attemptRecord) end() string {
	switch r.phase {
	case inFlight:
		return "in flight"
	case cancelled:
		return "cancelled"
	}
	return r.outcome.String()
}

func (t terms) serviceOf(shard query.Shard) string {
	for i, s := range t.shards {
		if s == shard {
			return t.services[i]
		}
	}
	return ""
}

// millis returns a duration in milliseconds with three digits behind the point.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
