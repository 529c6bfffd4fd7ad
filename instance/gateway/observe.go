package gateway

import (
	"context"
	"log/slog"
	"time"

	"hyssopcroft.example/query"
)

// maxLoggedAttempts bounds the attempts in the log line of a request, at about 100 bytes each.
const maxLoggedAttempts = 8

// loggedAttempt is an attempt in the log line of a request. Times are in milliseconds.
type loggedAttempt struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	SentMS  float64 `json:"sent_ms"`
	TookMS  float64 `json:"took_ms,omitempty"`
	Ended   string  `json:"ended"`
}

// observe updates the metrics for a request and logs it unless its answer was complete and in time.
func (s *Service) observe(ctx context.Context, r *Request, q *run, resp Response, took time.Duration) {
	objective := time.Duration(0)
	if q != nil {
		objective = q.resolved.route.Objective
	}
	attrs := s.observeOutcome(ctx, r, resp, took, objective)
	if attrs == nil {
		return
	}
	if q != nil {
		attrs = append(attrs, q.resolved.attrs()...)
		attrs = append(attrs, slog.Int("covered", q.machine.Covered()), q.denied.attr(), slog.Any("attempts", q.loggedAttempts()))
	}
	s.cfg.Log.LogAttrs(ctx, slog.LevelWarn, logMessage(resp, ctx.Err() != nil), attrs...)
}

// observeOutcome updates the metrics for a request. It returns the fields that every log line of a request has, or nil
// if the answer was complete and in time.
func (s *Service) observeOutcome(ctx context.Context, r *Request, resp Response, took, objective time.Duration) []slog.Attr {
	kind := resp.Kind.String()
	callerGone := ctx.Err() != nil
	if callerGone {
		kind = "caller_gone"
	}
	m := s.cfg.Metrics
	m.requests.WithLabelValues(kind).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
	m.missing.Add(float64(resp.Missing))
	if !callerGone && resp.Kind <= Merged && resp.Missing == 0 && took <= objective {
		return nil
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
	return append(attrs, resp.inputs...)
}

// attrs returns the fields of a route for the log line of a request.
func (rr resolvedRoute) attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("route", rr.route.Name), slog.Uint64("routes_version", uint64(rr.version)),
		slog.Float64("objective_ms", millis(rr.route.Objective)), slog.Float64("timeout_ms", millis(rr.route.Timeout)),
		slog.Int("shards", len(rr.shards)), slog.Int("least", rr.minShards()),
	}
}

// logMessage returns a message of its own for short answers, refusals and failures, so that a log limit by message
// does not drop the lines of one kind because of many of another.
func logMessage(resp Response, callerGone bool) string {
	switch {
	case callerGone:
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

// loggedAttempts returns the attempts at shards that are not covered or, if all are covered, the attempts at the
// shard that answered last.
func (q *run) loggedAttempts() []loggedAttempt {
	answered := map[query.Shard]bool{}
	var slowest attemptRecord
	for _, r := range q.attempts {
		if r.hasOutcome(query.OutcomeAnswered) {
			answered[r.shard] = true
			if r.sent+r.took > slowest.sent+slowest.took {
				slowest = r
			}
		}
	}
	complete := len(answered) == len(q.resolved.shards)
	var out []loggedAttempt
	for _, r := range q.attempts {
		if len(out) == maxLoggedAttempts || answered[r.shard] && !(complete && r.shard == slowest.shard) {
			continue
		}
		out = append(out, loggedAttempt{
			Service: q.resolved.serviceOf(r.shard), Target: string(r.target), SentMS: millis(r.sent), TookMS: millis(r.took), Ended: r.outcomeName(),
		})
	}
	return out
}

// outcomeName returns the outcome or phase of an attempt as it is logged.
func (r attemptRecord) outcomeName() string {
	switch r.phase {
	case inFlight:
		return "in flight"
	case cancelled:
		return "cancelled"
	}
	return r.outcome.String()
}

func (rr resolvedRoute) serviceOf(shard query.Shard) string {
	for i, s := range rr.shards {
		if s == shard {
			return rr.services[i]
		}
	}
	return ""
}

// millis returns a duration in milliseconds, truncated to whole microseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
