package gateway

import (
	"sync"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// lockedPolicy guards the policy of a route with the lock of the service, since all routes share what
// is known of the targets.
type lockedPolicy struct {
	mu     *sync.Mutex
	policy *balance.Policy
}

// Choose implements scatter.Policy.
func (p *lockedPolicy) Choose(now time.Time, w scatter.Want) (scatter.Grant, replica.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.Choose(now, w)
}

// Overdue implements scatter.Policy.
func (p *lockedPolicy) Overdue(target query.TargetID, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Overdue(target, sent)
}

// End implements scatter.Policy.
func (p *lockedPolicy) End(now time.Time, e replica.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.End(now, e)
}
