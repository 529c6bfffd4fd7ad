// Package balance chooses the target of each attempt where targets limit their connections and carry
// one request at a time on each, and decides when a second attempt is worth its cost.
//
// The load that it answers: a tenth of the targets of all shards slow by 5 to 12 for seconds, pauses of
// 150 ms every few seconds, targets that fail, shed or fall silent while their health is good, and all
// replicas of a shard dark. A query waits for its slowest shard, so that each of these meets most
// queries.
package balance

import (
	"cmp"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

const (
	// hedgePercentile and hedgeFactor give the time after which a second attempt is sent: the median of
	// the answers, which stays right while a part of the targets is slow, and hedgeFactor times the part
	// of it that is not the way. Service times that vary by a third exceed 2.5 times their median once in
	// two hundred, a tenth of what pauses ask for.
	hedgePercentile = 50
	hedgeFactor     = 1.5
	// shortestHedge keeps the scheduling delays of this process from asking for second attempts.
	shortestHedge = 12 * time.Millisecond
	// unlearntShare and longestShare are the parts of a route's objective after which a second attempt
	// is sent while the median is not known, and at the latest.
	unlearntShare = 4
	longestShare  = 3
	// reserved is the part of the budget that is kept for first retries: a hedge is sent only while
	// more than this is left.
	reserved = 0.1
	// plenty is the part of the budget from which on hedges are sent early. Pauses of targets alone use a fifth.
	plenty = 0.7
	// lateFactor times the median of a target at the greatest distance is the time that a late hedge is given.
	lateFactor = 1.3
)

// AnswerReserve is the part of a route's objective that is kept for the ways of the request and the answer: two
// round trips to callers, of which one opens the connection, and the scheduling delay of a loaded instance.
const AnswerReserve = 20 * time.Millisecond

// Target is a target as the fleet sees it.
type Target struct {
	ID    query.TargetID
	Shard query.Shard
	// Incarnation tells two lives under one id apart.
	Incarnation int64
	Distance    Distance
	// Limit is the number of attempts that this instance may have in flight at the target.
	Limit     int
	ColdUntil time.Time
}

// Balancer holds what the instance knows of all targets. It is not safe for concurrent use.
type Balancer struct {
	terms     hedge.BudgetLimits
	instances int
	targets   map[query.TargetID]*state
	byShard   map[query.Shard][]*state
	sent      map[query.Shard]int // first attempts
	windows   map[query.Shard]*hedge.WindowBudget
	routes    map[string]*routeTimes
}

// routeTimes are the latencies of one route's attempts by distance.
type routeTimes struct {
	median [distances]*hedge.Delay
}

// NewBalancer returns a fleet without targets. terms bound the extra attempts at each shard.
func NewBalancer(terms hedge.BudgetLimits) *Balancer {
	return &Balancer{
		terms: terms, instances: 1, targets: map[query.TargetID]*state{}, byShard: map[query.Shard][]*state{},
		sent: map[query.Shard]int{}, windows: map[query.Shard]*hedge.WindowBudget{}, routes: map[string]*routeTimes{},
	}
}

// SetInstances sets the number of instances that share the slack of the budgets.
func (f *Balancer) SetInstances(n int) { f.instances = max(1, n) }

// SetTargets replaces the known targets. What was learnt of a target stays while it lives.
func (f *Balancer) SetTargets(list []Target) {
	known := f.targets
	f.targets = make(map[query.TargetID]*state, len(list))
	clear(f.byShard)
	for _, t := range list {
		s := known[t.ID]
		if s == nil || s.incarnation != t.Incarnation || s.shard != t.Shard {
			s = &state{id: t.ID, shard: t.Shard, incarnation: t.Incarnation}
		}
		s.distance, s.limit, s.coldUntil = t.Distance, t.Limit, t.ColdUntil
		f.targets[t.ID] = s
		f.byShard[t.Shard] = append(f.byShard[t.Shard], s)
	}
}

// HasTargets reports whether a target of the shard is known.
func (f *Balancer) HasTargets(s query.Shard) bool { return len(f.byShard[s]) > 0 }

// choose returns the target with the lowest cost, or a target near by that has not been tried for a
// while.
func (f *Balancer) choose(now time.Time, w scatter.Want) (*state, replica.Verdict) {
	list := f.byShard[w.Shard]
	if len(list) == 0 {
		return nil, replica.Final
	}
	var best, probe *state
	var lowest time.Duration
	verdict := replica.NoReplica
	for _, s := range list {
		switch {
		case slices.Contains(w.Tried, s.id):
			continue
		case now.Before(s.downUntil):
			continue
		case len(s.sent) >= s.limit:
			verdict = replica.Limited
			continue
		}
		if w.Use == replica.First && s.latency > 0 && s.stale(now, f.sent[w.Shard]) && (probe == nil || s.distance < probe.distance) {
			probe = s
		}
		if cost := s.cost(now); best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	switch {
	case best == nil:
		return nil, verdict
	case probe != nil && probe != best && probe.distance < best.distance:
		probe.probedAt, probe.probedAfter = now, f.sent[w.Shard]
		return probe, replica.Chosen
	}
	return best, replica.Chosen
}

// LikelyTargets returns the targets that the next attempts at each shard are likely to go to: the one that a
// first attempt would take and, with seconds, the one that a second attempt would, all first ones before
// the second ones. A second attempt that has to open a connection first comes two round trips later.
func (f *Balancer) LikelyTargets(now time.Time, withSeconds bool) []query.TargetID {
	firsts := make([]query.TargetID, 0, 2*len(f.byShard))
	seconds := make([]query.TargetID, 0, len(f.byShard))
	for _, list := range f.byShard {
		ranked := slices.DeleteFunc(slices.Clone(list), func(s *state) bool { return now.Before(s.downUntil) })
		slices.SortFunc(ranked, func(a, b *state) int { return cmp.Compare(a.cost(now), b.cost(now)) })
		if len(ranked) > 0 {
			firsts = append(firsts, ranked[0].id)
		}
		if withSeconds && len(ranked) > 1 {
			seconds = append(seconds, ranked[1].id)
		}
	}
	return append(firsts, seconds...)
}

func (f *Balancer) window(s query.Shard) *hedge.WindowBudget {
	w := f.windows[s]
	if w == nil {
		w = hedge.NewWindowBudget(f.terms)
		f.windows[s] = w
	}
	return w
}

// pay reports whether the attempt is within the budget. A first attempt is always; it is counted.
func (f *Balancer) pay(now time.Time, w scatter.Want) bool {
	budget := f.window(w.Shard)
	switch w.Use {
	case replica.First:
		f.sent[w.Shard]++
		budget.RecordFirst(now)
		return true
	case replica.Hedge:
		if budget.RemainingShare(now, f.instances) <= reserved {
			return false
		}
	}
	return budget.TryTake(now, f.instances)
}

// Policy is the scatter.Policy of the requests of one route.
type Policy struct {
	fleet     *Balancer
	times     *routeTimes
	objective time.Duration
}

// RoutePolicy returns the policy of a route. Its latencies are kept under the name over versions.
func (f *Balancer) RoutePolicy(name string, objective time.Duration) *Policy {
	times := f.routes[name]
	if times == nil {
		times = &routeTimes{}
		for i := range times.median {
			times.median[i] = hedge.NewDelayAtPercentile(hedgePercentile)
		}
		f.routes[name] = times
	}
	return &Policy{fleet: f, times: times, objective: objective}
}

// Choose implements scatter.Policy.
func (p *Policy) Choose(now time.Time, w scatter.Want) (scatter.Grant, replica.Verdict) {
	s, verdict := p.fleet.choose(now, w)
	if verdict != replica.Chosen {
		return scatter.Grant{}, verdict
	}
	if !p.fleet.pay(now, w) {
		return scatter.Grant{}, replica.NoToken
	}
	s.begin(now)
	after := p.hedgeAfter(s.distance, p.fleet.window(w.Shard).RemainingShare(now, p.fleet.instances))
	return scatter.Grant{Target: s.id, Class: replica.Class(s.distance), HedgeAfter: after}, replica.Chosen
}

// hedgeAfter returns the time after which a second attempt is sent. left is the part of the budget that is not
// spent: the less there is, the later, up to the time at which the answer of a target far away is still in time.
// Most attempts that are late by a little have ended by themselves then.
//
// The load that it answers: one of two replicas that are left slow or pausing, or many targets slow, where early
// second attempts spend the budget in a second and the queries of the next nine have none.
func (p *Policy) hedgeAfter(d Distance, left float64) time.Duration {
	early := p.earlyHedge(d)
	far := p.median(OtherRegion)
	latest := p.objective - AnswerReserve - time.Duration(lateFactor*float64(far))
	spent := 1 - min(max((left-reserved)/(plenty-reserved), 0), 1)
	return early + time.Duration(spent*float64(max(latest-early, 0)))
}

func (p *Policy) earlyHedge(d Distance) time.Duration {
	if _, known := p.times.median[SameDomain].Value(); !known {
		if _, known := p.times.median[d].Value(); !known {
			return max(p.objective/unlearntShare, shortestHedge)
		}
	}
	median := p.median(d)
	service := max(median-roundTrip[d], 0)
	after := median + time.Duration(hedgeFactor*float64(service))
	return min(max(after, shortestHedge), max(p.objective/longestShare, shortestHedge))
}

// median returns the median latency of the route at a distance, worked out from that in the own failure domain if
// it is not known.
func (p *Policy) median(d Distance) time.Duration {
	if median, known := p.times.median[d].Value(); known {
		return median
	}
	if median, known := p.times.median[SameDomain].Value(); known {
		return median + roundTrip[d]
	}
	return firstService + roundTrip[d]
}

// Overdue implements scatter.Policy. The age of attempts in flight counts at every choice.
func (p *Policy) Overdue(query.TargetID, time.Time) {}

// End implements scatter.Policy.
func (p *Policy) End(now time.Time, e replica.Result) {
	s := p.fleet.targets[e.Target]
	if s == nil {
		return
	}
	s.end(now.Add(-e.Elapsed))
	if !e.Cancelled && e.Outcome == query.OutcomeNotRun {
		p.fleet.window(s.shard).Refund(now)
	}
	switch {
	case e.Cancelled:
		if e.Elapsed > s.latency {
			s.learn(now, e.Elapsed)
		}
	case e.Outcome == query.OutcomeAnswered:
		s.answered(now, e.Elapsed)
		p.times.median[s.distance].Record(now, e.Elapsed)
	case e.Outcome.CertainlyNotRun(), e.Outcome == query.OutcomeRefused:
		s.refuse(now)
	default:
		s.learn(now, max(e.Elapsed, failurePenalty))
	}
}
