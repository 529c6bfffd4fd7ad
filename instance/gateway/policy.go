package gateway

import (
	"log/slog"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// roomWaitDivisor divides the objective of a route. The result is the time for which a request to one service waits for
// room within the rate limits of its targets.
const roomWaitDivisor = 8

// runPolicy is the policy of a route for one request. It guards the state shared by all routes with the mutex of the
// service, and queues the request for capacity at its shards.
type runPolicy struct {
	run    *run
	policy *balance.Policy
}

// Choose implements scatter.Policy.
func (p *runPolicy) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	s := p.run.service
	if !p.run.isTrial && s.suspects.refusal(p.run.fingerprint) != nil {
		return scatter.Grant{}, replica.Final // Other submissions have crashed targets since this one arrived.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	grant, verdict := p.policy.Choose(now, spec)
	p.run.denied.record(spec.Kind, verdict)
	if verdict == replica.RateLimited {
		verdict = p.awaitRoom(now, spec)
	}
	switch {
	case spec.Kind == replica.Hedge: // Hedges do not queue for capacity.
	case verdict == replica.Limited:
		s.queue(spec.Shard).Add(p.run, p.run.answerBy, p.run.resolved.route.Rank)
	default:
		s.queue(spec.Shard).Remove(p.run)
	}
	return grant, verdict
}

// awaitRoom decides whether a shard waits until the rate limits of its targets leave room for an attempt. A gathered
// answer waits only for what arrives in time, and a request to one service for a short while only, so that its caller
// can come back in time. It must be called with the mutex of the service held.
func (p *runPolicy) awaitRoom(now time.Time, spec scatter.AttemptSpec) replica.Verdict {
	latest := p.run.answerBy
	if p.run.single != nil {
		latest = p.run.start.Add(p.run.resolved.route.Objective / roomWaitDivisor)
	}
	s := p.run.service
	if spec.Kind != replica.Hedge && s.balancer.NextRoom(now, spec.Shard, s.queue(spec.Shard).Ahead(p.run)).After(latest) {
		return replica.Final
	}
	return replica.Limited
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
	rate     int // the rate limits of all other targets left no room
	noTarget int // no other target was left, or all were paused
}

func (d *denials) record(kind replica.AttemptKind, verdict replica.Verdict) {
	switch {
	case kind == replica.First:
	case verdict == replica.NoToken:
		d.budget++
	case verdict == replica.Limited:
		d.limit++
	case verdict == replica.RateLimited:
		d.rate++
	case verdict == replica.NoReplica:
		d.noTarget++
	}
}

// attr returns the denials for the log line of a request.
func (d denials) attr() slog.Attr {
	return slog.Group("denied", slog.Int("budget", d.budget), slog.Int("limit", d.limit), slog.Int("rate", d.rate), slog.Int("no_target", d.noTarget))
}
