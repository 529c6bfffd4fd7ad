package scatter

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/replica"
)

// Pool is the Policy of the level that speaks to the targets of one index. It is not safe for
// concurrent use.
type Pool struct {
	chooser *replica.Chooser
	classes []class
	budgets map[budgetKey]*budgets
}

// class is what was learnt of one target class.
type class struct {
	delay  *hedge.Delay
	lowest replica.Lowest
}

type budgetKey struct {
	plan  string
	class replica.Class
}

type budgets struct {
	hedges, retries hedge.Budget
}

// NewPool returns a pool without targets. domain is the failure domain of this instance.
func NewPool(domain string, source *rand.Rand) *Pool {
	return &Pool{chooser: replica.NewChooser(domain, source), budgets: map[budgetKey]*budgets{}}
}

// SetTargets replaces the known targets.
func (p *Pool) SetTargets(targets []query.Target) {
	p.chooser.SetTargets(targets)
	for len(p.classes) < p.chooser.Classes() {
		p.classes = append(p.classes, class{delay: hedge.NewDelay()})
	}
}

// Choose implements Policy. The tokens belong to the class that bears the additional load.
func (p *Pool) Choose(now time.Time, w Want) (Grant, replica.Verdict) {
	ask := replica.Ask{Shard: w.Shard, Use: w.Use, Tried: w.Tried, Unfit: w.Unfit}
	pick, verdict := p.chooser.Choose(now, ask)
	if verdict == replica.NoReplica && w.Use == replica.First && w.Unfit != nil {
		ask.Unfit = nil
		pick, verdict = p.chooser.Choose(now, ask)
	}
	if verdict != replica.Chosen {
		return Grant{}, verdict
	}
	c := &p.classes[pick.Class]
	switch {
	case w.TimeLeft <= c.lowest.Value():
		verdict = replica.Final // The answer could not be back in time.
	case !p.pay(w, pick.Class):
		verdict = replica.NoToken
	default:
		after, _ := c.delay.Value()
		return Grant{Target: pick.Target, HedgeAfter: after, Return: c.lowest.Value() / 2}, replica.Chosen
	}
	p.chooser.Release(pick.Target)
	return Grant{}, verdict
}

// pay takes the token of an extra attempt, or earns for a first one.
func (p *Pool) pay(w Want, c replica.Class) bool {
	key := budgetKey{plan: w.Plan, class: c}
	b := p.budgets[key]
	if b == nil {
		b = &budgets{hedges: hedge.NewBudget(hedge.HedgeShare), retries: hedge.NewBudget(hedge.RetryShare)}
		p.budgets[key] = b
	}
	switch {
	case w.Free:
		return true
	case w.Use == replica.Hedge:
		return b.hedges.Take()
	case w.Use == replica.Retry:
		return b.retries.Take()
	}
	b.hedges.Earn()
	b.retries.Earn()
	return true
}

// End implements Policy.
func (p *Pool) End(now time.Time, e replica.End) {
	c, known := p.chooser.End(now, e)
	if !known {
		return
	}
	if e.Cancelled {
		p.classes[c].delay.Record(now, e.Elapsed)
		return
	}
	if e.Outcome == query.OutcomeAnswered {
		p.classes[c].delay.Record(now, e.Elapsed)
		p.classes[c].lowest.Record(now, e.Elapsed)
	}
}

// Peek chooses a target for a request that is not repeated, without counting it. A cold or shedding
// target, or one that has to prove that it is back, is taken only if there is no other.
func (p *Pool) Peek(now time.Time, s query.Shard) (query.TargetID, bool) {
	pick, verdict := p.chooser.Choose(now, replica.Ask{Shard: s, Use: replica.Hedge})
	if verdict != replica.Chosen {
		pick, verdict = p.chooser.Choose(now, replica.Ask{Shard: s, Use: replica.Retry})
	}
	if verdict != replica.Chosen {
		return "", false
	}
	p.chooser.Release(pick.Target)
	return pick.Target, true
}
