package entry

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// versionPolicy is the scatter.Policy of a query at one version. It is the pool of the index, except that targets known
// to lack the version count as unfit.
type versionPolicy struct {
	index *index
	unfit func(query.TargetID) bool // called with index.mu held
}

// Choose implements scatter.Policy.
func (p *versionPolicy) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	spec.Unfit = p.unfit
	p.index.mu.Lock()
	defer p.index.mu.Unlock()
	return p.index.pool.Choose(now, spec)
}

// Overdue implements scatter.Policy.
func (p *versionPolicy) Overdue(target query.TargetID, sent time.Time) {
	p.index.mu.Lock()
	defer p.index.mu.Unlock()
	p.index.pool.Overdue(target, sent)
}

// End implements scatter.Policy.
func (p *versionPolicy) End(now time.Time, result replica.Result) {
	p.index.mu.Lock()
	defer p.index.mu.Unlock()
	p.index.pool.End(now, result)
}
