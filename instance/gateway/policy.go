package gateway

import (
	"log/slog"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// runPolicy is the policy of a route for one request. It guards the state shared by all routes with the mutex of the
// service, and queues the request for capacity at its shards.
type runPolicy struct {
	run    *run
	policy *balance.Policy
}

// Choose implements scatter.Policy.
func (p *runPolicy) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	s := p.run.service
	s.mu.Lock()
	defer s.mu.Unlock()
	grant, verdict := p.policy.Choose(now, spec)
	p.run.denied.record(spec.Kind, verdict)
	switch {
	case spec.Kind == replica.Hedge: // Hedges do not queue for capacity.
	case verdict == replica.Limited:
		s.queue(spec.Shard).Add(p.run, p.run.answerBy, p.run.resolved.route.Rank)
	default:
		s.queue(spec.Shard).Remove(p.run)
	}
	return grant, verdict
}

// Overdue implements scatter.Policy.
func (p *runPolicy) Overdue(target query.TargetID, sent time.Time) {
	s := p.run.service
	s.mu.Lock()
	defer s.mu.Unlock()
	p.policy.Overdue(target, sent)
}

// End implements scatter.Policy. It offers the freed capacity to a waiting request.
func (p *runPolicy) End(now time.Time, result replica.Result) {
	s := p.run.service
	s.mu.Lock()
	defer s.mu.Unlock()
	p.policy.End(now, result)
	if target, ok := s.targets[result.Target]; ok {
		s.offerCapacity(now, s.shardID(target.Service))
	}
}

// denials counts the denied hedges and retries of a request by reason.
type denials struct {
	budget   int // the budget of extra attempts was spent
	limit    int // all other targets were at this instance's limit of attempts in flight
	noTarget int // no other target was left, or all were paused
}

func (d *denials) record(kind replica.AttemptKind, verdict replica.Verdict) {
	switch {
	case kind == replica.First:
	case verdict == replica.NoToken:
		d.budget++
	case verdict == replica.Limited:
		d.limit++
	case verdict == replica.NoReplica:
		d.noTarget++
	}
}

// attr returns the denials for the log line of a request.
func (d denials) attr() slog.Attr {
	return slog.Group("denied", slog.Int("budget", d.budget), slog.Int("limit", d.limit), slog.Int("no_target", d.noTarget))
}
