package balance

import (
	"time"

	"hyssopcroft.example/query"
)

// ObserveRateLimit records the limit that a target stated in a reply. A reply of a target that ran the request and states
// no limit ends an earlier one; a refusal without a limit says nothing. It reports whether the limit has changed.
func (lb *Balancer) ObserveRateLimit(now time.Time, target query.TargetID, r query.Reply) bool {
	s := lb.targets[target]
	if s == nil {
		return false
	}
	ran := r.Outcome == query.OutcomeAnswered || r.Outcome == query.OutcomeFailed
	if !r.RateLimit.Stated && !ran || r.RateLimit == s.rateLimit {
		return false
	}
	s.rateLimit = r.RateLimit
	return true
}
