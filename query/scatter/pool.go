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
	plans   map[string]*planBudgets
	latest  *planBudgets // of the plan asked for last; a query asks for each of its shards
}

// class is what was learnt of one target class.
type class struct {
	delay *hedge.Delay
	// high is the delay of high priority, which overload slows less than the others. Until it is
	// learnt, delay takes its place.
	high   *hedge.Delay
	lowest replica.MinLatency
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

// SetTargets replaces the known targets.
func (p *Pool) SetTargets(targets []query.Target) {
	p.chooser.SetTargets(targets)
	for len(p.classes) < p.chooser.Classes() {
		p.classes = append(p.classes, class{delay: hedge.NewDelay(), high: hedge.NewDelay()})
	}
}

// Choose implements Policy.
func (p *Pool) Choose(now time.Time, w Want) (Grant, replica.Verdict) {
	ask := replica.Criteria{Shard: w.Shard, Kind: w.Use, Tried: w.Tried, Unfit: w.Unfit}
	ask.LowestCost = w.Overload && w.Priority == query.PriorityHigh
	ask.AvoidQueueing = w.Overload && w.Priority < query.PriorityHigh
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
		after := c.hedgeAfter(w.Priority)
		return Grant{Target: pick.Target, Class: pick.Class, HedgeAfter: after, Return: c.lowest.Value() / 2}, replica.Chosen
	}
	p.chooser.Release(pick.Target)
	return Grant{}, verdict
}

func (c *class) hedgeAfter(p query.Priority) time.Duration {
	if after, known := c.high.Value(); known && p == query.PriorityHigh {
		return after
	}
	after, _ := c.delay.Value()
	return after
}

func (c *class) record(now time.Time, e replica.Result) {
	c.delay.Record(now, e.Elapsed)
	if e.HighPriority {
		c.high.Record(now, e.Elapsed)
	}
}

// pay takes the token of an extra attempt, or earns for a first one. An instance sends most first
// attempts to its own failure domain and most hedges elsewhere, so the budget of the class that bears
// the load alone would leave it without hedges.
func (p *Pool) pay(w Want, c replica.Class) bool {
	switch {
	case w.Free:
		return true
	case w.Use == replica.First:
		b := p.budget(w.Plan, c)
		b.hedges.Earn()
		b.retries.Earn()
		return true
	}
	return p.budget(w.Plan, w.From).take(w.Use) || w.From != c && p.budget(w.Plan, c).take(w.Use)
}

func (p *Pool) budget(plan string, c replica.Class) *budgets {
	b := p.latest
	if b == nil || b.plan != plan {
		b = p.plans[plan]
	}
	if b == nil {
		b = &planBudgets{plan: plan}
		p.plans[plan] = b
	}
	p.latest = b
	for len(b.classes) <= int(c) {
		b.classes = append(b.classes, budgets{hedges: hedge.NewHedgeBudget(), retries: hedge.NewRetryBudget()})
	}
	return &b.classes[c]
}

func (b *budgets) take(use replica.AttemptKind) bool {
	if use == replica.Hedge {
		return b.hedges.TryTake()
	}
	return b.retries.TryTake()
}

// Overdue implements Policy.
func (p *Pool) Overdue(target query.TargetID, sent time.Time) { p.chooser.Overdue(target, sent) }

// Drain does what replica.Chooser.MarkDraining does.
func (p *Pool) Drain(now time.Time, target query.TargetID) bool {
	return p.chooser.MarkDraining(now, target)
}

// End implements Policy.
func (p *Pool) End(now time.Time, e replica.Result) {
	c, known := p.chooser.End(now, e)
	if !known {
		return
	}
	if e.Cancelled {
		p.classes[c].record(now, e)
		return
	}
	if e.Outcome == query.OutcomeAnswered {
		p.classes[c].record(now, e)
		p.classes[c].lowest.Record(now, e.Elapsed)
	}
}

// Peek chooses a target for a request that is not repeated, without counting it. A cold or shedding
// target, or one that has to prove that it is back, is taken only if there is no other.
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
