package scatter

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/replica"
)

// Pool is the Policy of the level that sends to the targets of one index. It is not safe for concurrent use.
type Pool struct {
	chooser  *replica.Chooser
	classes  []classStats
	plans    map[string]*planBudgets
	lastPlan *planBudgets // of the latest lookup; a query looks up its plan once a shard
}

// classStats holds the latencies of one target class.
type classStats struct {
	hedgeDelay *hedge.Delay
	// highHedgeDelay is the hedge delay of high priority, which overload slows down less than the others.
	// While it is not known, hedgeDelay is used.
	highHedgeDelay *hedge.Delay
	minLatency     replica.MinLatency
}

// planBudgets holds the budgets of one plan by target class.
type planBudgets struct {
	plan    string
	classes []budgets
}

type budgets struct {
	hedges, retries hedge.Budget
}

// NewPool returns a pool without targets. domain is the failure domain of this instance.
func NewPool(domain string, source *rand.Rand) *Pool {
	return &Pool{chooser: replica.NewChooser(domain, source), plans: map[string]*planBudgets{}}
}

// SetTargets replaces the list of targets.
func (p *Pool) SetTargets(targets []query.Target) {
	p.chooser.SetTargets(targets)
	for len(p.classes) < p.chooser.Classes() {
		p.classes = append(p.classes, classStats{hedgeDelay: hedge.NewDelay(), highHedgeDelay: hedge.NewDelay()})
	}
}

// Choose implements Policy.
func (p *Pool) Choose(now time.Time, spec AttemptSpec) (Grant, replica.Verdict) {
	criteria := replica.Criteria{Shard: spec.Shard, Kind: spec.Kind, Tried: spec.Tried, Unfit: spec.Unfit}
	criteria.LowestCost = spec.Overloaded && spec.Priority == query.PriorityHigh
	criteria.AvoidQueueing = spec.Overloaded && spec.Priority < query.PriorityHigh
	pick, verdict := p.chooser.Choose(now, criteria)
	if verdict == replica.NoReplica && spec.Kind == replica.First && spec.Unfit != nil {
		criteria.Unfit = nil
		pick, verdict = p.chooser.Choose(now, criteria)
	}
	if verdict != replica.Chosen {
		return Grant{}, verdict
	}
	c := &p.classes[pick.Class]
	switch {
	case spec.TimeLeft <= c.minLatency.Value():
		verdict = replica.Final // The answer could not return in time.
	case !p.chargeBudget(spec, pick.Class):
		verdict = replica.NoToken
	default:
		after := c.hedgeAfter(spec.Priority)
		return Grant{Target: pick.Target, Class: pick.Class, HedgeAfter: after,
			ReturnTime: c.minLatency.Value() / 2}, replica.Chosen
	}
	p.chooser.Release(pick.Target)
	return Grant{}, verdict
}

func (c *classStats) hedgeAfter(p query.Priority) time.Duration {
	if after, ok := c.highHedgeDelay.Value(); ok && p == query.PriorityHigh {
		return after
	}
	after, _ := c.hedgeDelay.Value()
	return after
}

func (c *classStats) record(now time.Time, e replica.Result) {
	c.hedgeDelay.Record(now, e.Elapsed)
	if e.HighPriority {
		c.highHedgeDelay.Record(now, e.Elapsed)
	}
}

// chargeBudget takes a token for an extra attempt, and credits the budgets for a first one. An instance sends
// most first attempts to its own failure domain and most hedges to others, so that the budget of the chosen
// target's class alone would leave it without hedges.
func (p *Pool) chargeBudget(spec AttemptSpec, c replica.Class) bool {
	switch {
	case spec.BudgetExempt:
		return true
	case spec.Kind == replica.First:
		b := p.budget(spec.Plan, c)
		b.hedges.Earn()
		b.retries.Earn()
		return true
	}
	return p.budget(spec.Plan, spec.OriginClass).takeToken(spec.Kind) ||
		spec.OriginClass != c && p.budget(spec.Plan, c).takeToken(spec.Kind)
}

func (p *Pool) budget(plan string, c replica.Class) *budgets {
	b := p.lastPlan
	if b == nil || b.plan != plan {
		b = p.plans[plan]
	}
	if b == nil {
		b = &planBudgets{plan: plan}
		p.plans[plan] = b
	}
	p.lastPlan = b
	for len(b.classes) <= int(c) {
		b.classes = append(b.classes, budgets{hedges: hedge.NewHedgeBudget(), retries: hedge.NewRetryBudget()})
	}
	return &b.classes[c]
}

func (b *budgets) takeToken(use replica.AttemptKind) bool {
	if use == replica.Hedge {
		return b.hedges.TryTake()
	}
	return b.retries.TryTake()
}

// Overdue implements Policy.
func (p *Pool) Overdue(target query.TargetID, sent time.Time) { p.chooser.Overdue(target, sent) }

// MarkDraining marks a target as draining, see replica.Chooser.MarkDraining.
func (p *Pool) MarkDraining(now time.Time, target query.TargetID) bool {
	return p.chooser.MarkDraining(now, target)
}

// End implements Policy.
func (p *Pool) End(now time.Time, r replica.Result) {
	c, ok := p.chooser.End(now, r)
	if !ok {
		return
	}
	if r.Cancelled {
		p.classes[c].record(now, r)
		return
	}
	if r.Outcome == query.OutcomeAnswered {
		p.classes[c].record(now, r)
		p.classes[c].minLatency.Record(now, r.Elapsed)
	}
}

// Peek chooses a target for a request that is not repeated, without counting an attempt. A target that is
// cold, sheds requests or is due for a probe is chosen only if there is no other.
func (p *Pool) Peek(now time.Time, s query.Shard) (query.TargetID, bool) {
	pick, verdict := p.chooser.Choose(now, replica.Criteria{Shard: s, Kind: replica.Hedge})
	if verdict != replica.Chosen {
		pick, verdict = p.chooser.Choose(now, replica.Criteria{Shard: s, Kind: replica.Retry})
	}
	if verdict != replica.Chosen {
		return "", false
	}
	p.chooser.Release(pick.Target)
	return pick.Target, true
}
