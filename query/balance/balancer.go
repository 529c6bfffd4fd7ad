// Package balance selects the target of each attempt and decides when a hedge is worth its cost. It is
// for targets that limit the number of connections and serve one request at a time on each.
//
// It is designed for these conditions: a tenth of the targets of all shards slower by a factor of 5 to 12
// for seconds, pauses of 150 ms every few seconds, targets that fail, shed or stop answering while their
// health checks pass, and shards whose replicas are all unavailable. A query waits for its slowest shard,
// so each of these conditions affects most queries.
package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

const (
	// A hedge is due after the hedgePercentile of the latency plus hedgeFactor times the part of it that is
	// not round trip time. The percentile is the median, which slow targets hardly change while they are few.
	// If service times vary by a third, one in 200 exceeds 2.5 times the median, which causes a tenth of
	// the hedges that pauses cause.
	hedgePercentile = 50
	hedgeFactor     = 1.5
	// minHedgeDelay keeps scheduling delays of this process from causing hedges.
	minHedgeDelay = 12 * time.Millisecond
	// The route's objective divided by unknownDelayDivisor is the hedge delay while the median is not
	// known. Divided by maxDelayDivisor, it is the maximum hedge delay while the budget is full.
	unknownDelayDivisor = 4
	maxDelayDivisor     = 3
	// extraReplicas is the number of replicas of a shard that extra attempts are expected at. Which of two distant
	// replicas is the better one changes from query to query.
	extraReplicas = 2
	// retryReserve is the share of the budget that is reserved for retries. A hedge is sent only while
	// more than this remains.
	retryReserve = 0.1
	// earlyHedgeThreshold is the remaining share of the budget above which hedges are not delayed. Pauses
	// of targets alone use a fifth of the budget.
	earlyHedgeThreshold = 0.7
	// lateHedgeFactor times the median latency at the greatest distance is the time allowed for the answer
	// to a delayed hedge.
	lateHedgeFactor = 1.3
)

// AnswerReserve is the part of a route's objective that is reserved for the transfer of the request and of the
// answer: two round trips to the caller, one of them to open the connection, and the scheduling delay of a loaded
// instance.
const AnswerReserve = 20 * time.Millisecond

// Target describes a target to the balancer.
type Target struct {
	ID    query.TargetID
	Shard query.Shard
	// Incarnation distinguishes successive targets with the same id.
	Incarnation int64
	Distance    Distance
	// Limit is the maximum number of attempts that this instance may have in flight at the target.
	Limit     int
	ColdUntil time.Time
}

// Balancer selects targets by the statistics that this instance has collected. It is not safe for concurrent
// use.
type Balancer struct {
	self          string // id of this instance
	limits        hedge.BudgetLimits
	instances     int
	ratePart      float64
	targets       map[query.TargetID]*targetState
	byShard       map[query.Shard][]*targetState
	firstAttempts map[query.Shard]int // number of first attempts sent
	budgets       map[query.Shard]*hedge.WindowBudget
	// restrictedUntil is the end of the restriction of the budgets after a restart.
	restrictedUntil time.Time
	// unsent counts the attempts that reached no target and were no extra ones. Each may be replaced by one that is none.
	unsent  map[query.Shard]int
	senders map[query.Shard]Senders // of the shards that not all instances send to
	routes  map[string]*routeLatencies
	holds   map[query.TargetID]hold
}

// hold is the time until which a target wants no attempts from this instance. It outlasts the target's entry in the list.
type hold struct {
	incarnation int64
	until       time.Time
}

// routeLatencies tracks the median latency of a route's attempts by distance.
type routeLatencies struct {
	median [distanceCount]*hedge.Delay
}

// NewBalancer returns a balancer without targets for the instance with the given id. limits bounds the extra attempts at
// each shard.
func NewBalancer(self string, limits hedge.BudgetLimits) *Balancer {
	return &Balancer{
		self: self, limits: limits, instances: 1, ratePart: 1, targets: map[query.TargetID]*targetState{}, byShard: map[query.Shard][]*targetState{},
		firstAttempts: map[query.Shard]int{}, budgets: map[query.Shard]*hedge.WindowBudget{}, senders: map[query.Shard]Senders{},
		unsent: map[query.Shard]int{}, routes: map[string]*routeLatencies{}, holds: map[query.TargetID]hold{},
	}
}

// SetInstances sets the number of instances that share the slack of the budgets, and the part of the rate limits of
// targets that this instance may use.
func (lb *Balancer) SetInstances(n int, ratePart float64) {
	lb.instances, lb.ratePart = max(1, n), ratePart
}

// RestrictBudgets restricts the budgets until a time, see hedge.WindowBudget.Restrict. It must be called before the first
// attempt.
func (lb *Balancer) RestrictBudgets(until time.Time) { lb.restrictedUntil = until }

// Senders describes the instances that send attempts to the targets of a shard.
type Senders struct {
	// Count is the number of instances that share the slack of the budget.
	Count int
	// BudgetShare is the share of the budget that these instances may use.
	BudgetShare float64
	// RatePart is the part of the rate limits of targets that this instance may use.
	RatePart float64
}

// SetSenders sets the senders of the shards that only some instances send to. All instances send to other shards.
func (lb *Balancer) SetSenders(byShard map[query.Shard]Senders) {
	lb.senders = byShard
	for shard, budget := range lb.budgets {
		budget.SetLimits(lb.limitsOf(shard))
	}
}

func (lb *Balancer) limitsOf(s query.Shard) hedge.BudgetLimits {
	if senders, ok := lb.senders[s]; ok {
		return lb.limits.Scale(senders.BudgetShare)
	}
	return lb.limits
}

// sendersOf returns the number of instances that share the slack of a shard's budget.
func (lb *Balancer) sendersOf(s query.Shard) int {
	if senders, ok := lb.senders[s]; ok {
		return senders.Count
	}
	return lb.instances
}

// SetTargets replaces the list of targets. The statistics of a target are kept while its incarnation and its
// shard stay the same.
func (lb *Balancer) SetTargets(list []Target) {
	previous := lb.targets
	lb.targets = make(map[query.TargetID]*targetState, len(list))
	clear(lb.byShard)
	for _, t := range list {
		s := previous[t.ID]
		if s == nil || s.incarnation != t.Incarnation || s.shard != t.Shard {
			s = &targetState{id: t.ID, shard: t.Shard, incarnation: t.Incarnation}
		}
		s.distance, s.limit, s.coldUntil = t.Distance, t.Limit, t.ColdUntil
		lb.targets[t.ID] = s
		lb.byShard[t.Shard] = append(lb.byShard[t.Shard], s)
	}
}

// Hold excludes a target from attempts for a time that it has stated. incarnation is that of the target that stated it. A
// shorter time does not end a longer one. It reports whether the target was not excluded before.
func (lb *Balancer) Hold(now time.Time, target query.TargetID, incarnation int64, d time.Duration) bool {
	maps.DeleteFunc(lb.holds, func(_ query.TargetID, h hold) bool { return !now.Before(h.until) })
	h, held := lb.holds[target]
	held = held && h.incarnation == incarnation
	if until := now.Add(d); !held || until.After(h.until) {
		lb.holds[target] = hold{incarnation: incarnation, until: until}
	}
	return !held
}

// heldUntil returns the time until which a target wants no attempts, or an earlier one.
func (lb *Balancer) heldUntil(s *targetState) time.Time {
	if h, ok := lb.holds[s.id]; ok && h.incarnation == s.incarnation {
		return h.until
	}
	return time.Time{}
}

// HasTargets reports whether the list contains a target of the shard.
func (lb *Balancer) HasTargets(s query.Shard) bool { return len(lb.byShard[s]) > 0 }

// choose returns the target with the lowest cost, or a nearer one whose probe is due.
func (lb *Balancer) choose(now time.Time, spec scatter.AttemptSpec) (*targetState, replica.Verdict) {
	list := lb.byShard[spec.Shard]
	if len(list) == 0 {
		return nil, replica.Final
	}
	var best, probe *targetState
	var minCost time.Duration
	verdict := replica.NoReplica
	for _, s := range list {
		switch {
		case slices.Contains(spec.Tried, s.id):
			continue
		case now.Before(lb.heldUntil(s)):
			if verdict != replica.Limited {
				verdict = replica.RateLimited
			}
			continue
		case now.Before(s.backoffUntil):
			continue
		case len(s.sent) >= s.limit:
			verdict = replica.Limited
			continue
		case !s.rate.allows(now, lb.ratePartOf(spec.Shard), spec.Kind):
			if verdict != replica.Limited {
				verdict = replica.RateLimited
			}
			continue
		}
		if spec.Kind == replica.First && s.latency > 0 && s.probeDue(now, lb.firstAttempts[spec.Shard]) &&
			(probe == nil || s.distance < probe.distance) {
			probe = s
		}
		if cost := s.cost(now); best == nil || cost < minCost {
			best, minCost = s, cost
		}
	}
	switch {
	case best == nil:
		return nil, verdict
	case probe != nil && probe != best && probe.distance < best.distance:
		probe.probedAt, probe.firstAttemptsAtProbe = now, lb.firstAttempts[spec.Shard]
		return probe, replica.Chosen
	}
	return best, replica.Chosen
}

// LikelyTargets returns the targets that the next attempts are likely to go to: for each shard the one with the
// lowest cost and, if withExtra is set, after all of these those that extra attempts may go to. An attempt that has to
// open a connection first takes two more round trips.
func (lb *Balancer) LikelyTargets(now time.Time, withExtra bool) []query.TargetID {
	firsts := make([]query.TargetID, 0, extraReplicas*len(lb.byShard))
	extra := make([]query.TargetID, 0, extraReplicas*len(lb.byShard))
	for _, list := range lb.byShard {
		ranked := slices.DeleteFunc(slices.Clone(list), func(s *targetState) bool {
			return now.Before(s.backoffUntil) || now.Before(lb.heldUntil(s))
		})
		slices.SortFunc(ranked, func(a, b *targetState) int { return cmp.Compare(a.cost(now), b.cost(now)) })
		if len(ranked) > 0 {
			firsts = append(firsts, ranked[0].id)
		}
		if !withExtra {
			continue
		}
		for _, s := range ranked[min(1, len(ranked)):min(1+extraReplicas, len(ranked))] {
			extra = append(extra, s.id)
		}
	}
	return append(firsts, extra...)
}

func (lb *Balancer) budgetFor(s query.Shard) *hedge.WindowBudget {
	budget := lb.budgets[s]
	if budget == nil {
		budget = hedge.NewWindowBudget(lb.limitsOf(s))
		budget.Restrict(lb.restrictedUntil)
		lb.budgets[s] = budget
	}
	return budget
}

// charge counts the attempt against the budget and reports whether it is within it. First attempts always are, and those
// that replace attempts which reached no target.
func (lb *Balancer) charge(now time.Time, spec scatter.AttemptSpec) bool {
	budget := lb.budgetFor(spec.Shard)
	switch {
	case spec.Kind == replica.First:
		lb.firstAttempts[spec.Shard]++
		budget.RecordFirst(now)
		return true
	case !spec.Extra && lb.unsent[spec.Shard] > 0:
		lb.unsent[spec.Shard]--
		return true
	case spec.Kind == replica.Hedge:
		if budget.RemainingShare(now, lb.sendersOf(spec.Shard)) <= retryReserve {
			return false
		}
	}
	return budget.TryTake(now, lb.sendersOf(spec.Shard))
}

// Policy implements scatter.Policy for the requests of one route.
type Policy struct {
	balancer  *Balancer
	latencies *routeLatencies
	objective time.Duration
}

// RoutePolicy returns the policy of a route. Routes of the same name share their latencies, so that these
// outlive a new version of the route.
func (lb *Balancer) RoutePolicy(name string, objective time.Duration) *Policy {
	latencies := lb.routes[name]
	if latencies == nil {
		latencies = &routeLatencies{}
		for i := range latencies.median {
			latencies.median[i] = hedge.NewDelayAtPercentile(hedgePercentile)
		}
		lb.routes[name] = latencies
	}
	return &Policy{balancer: lb, latencies: latencies, objective: objective}
}

// Choose implements scatter.Policy.
func (p *Policy) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	s, verdict := p.balancer.choose(now, spec)
	if verdict != replica.Chosen {
		return scatter.Grant{}, verdict
	}
	if !p.balancer.charge(now, spec) {
		return scatter.Grant{}, replica.NoToken
	}
	s.begin(now)
	s.rate.take(now, p.balancer.ratePartOf(spec.Shard))
	after := p.hedgeAfter(s.distance, p.balancer.budgetFor(spec.Shard).RemainingShare(now, p.balancer.sendersOf(spec.Shard)))
	return scatter.Grant{Target: s.id, Class: replica.Class(s.distance), HedgeAfter: after}, replica.Chosen
}

// hedgeAfter returns the time after which a hedge is sent. remaining is the share of the budget that is not spent.
// The less remains, the later the hedge, up to the latest time at which the answer of a distant target is still in
// time. By then most attempts that are only slightly late have ended.
//
// This matters while one of the two remaining replicas of a shard is slow or pausing, or while many targets are
// slow. Early hedges would then spend the budget in a second and leave none to the queries of the next 9 s.
func (p *Policy) hedgeAfter(d Distance, remaining float64) time.Duration {
	early := p.earlyHedgeDelay(d)
	far := p.median(OtherRegion)
	latest := p.objective - AnswerReserve - time.Duration(lateHedgeFactor*float64(far))
	spent := 1 - min(max((remaining-retryReserve)/(earlyHedgeThreshold-retryReserve), 0), 1)
	return early + time.Duration(spent*float64(max(latest-early, 0)))
}

func (p *Policy) earlyHedgeDelay(d Distance) time.Duration {
	if _, ok := p.latencies.median[SameDomain].Value(); !ok {
		if _, ok := p.latencies.median[d].Value(); !ok {
			return max(p.objective/unknownDelayDivisor, minHedgeDelay)
		}
	}
	median := p.median(d)
	service := max(median-assumedRoundTrip[d], 0)
	after := median + time.Duration(hedgeFactor*float64(service))
	return min(max(after, minHedgeDelay), max(p.objective/maxDelayDivisor, minHedgeDelay))
}

// median returns the median latency of the route at a distance. If it is unknown, it is estimated from the one
// in the instance's own failure domain, or else from assumedServiceTime.
func (p *Policy) median(d Distance) time.Duration {
	if median, ok := p.latencies.median[d].Value(); ok {
		return median
	}
	if median, ok := p.latencies.median[SameDomain].Value(); ok {
		return median + assumedRoundTrip[d]
	}
	return assumedServiceTime + assumedRoundTrip[d]
}

// Overdue implements scatter.Policy. It does nothing, because every choice considers the age of the attempts in
// flight.
func (p *Policy) Overdue(query.TargetID, time.Time) {}

// End implements scatter.Policy.
func (p *Policy) End(now time.Time, r replica.Result) {
	s := p.balancer.targets[r.Target]
	if s == nil {
		return
	}
	s.end(now.Add(-r.Elapsed))
	switch {
	case r.RefundExtra:
		p.balancer.budgetFor(s.shard).Refund(now, now.Add(-r.Elapsed))
	case !r.Cancelled && r.Outcome == query.OutcomeNotRun:
		p.balancer.unsent[s.shard]++
	}
	switch {
	case r.Cancelled:
		if r.Elapsed > s.latency {
			s.recordLatency(now, r.Elapsed)
		}
	case r.Outcome == query.OutcomeAnswered:
		s.onAnswer(now, r.Elapsed)
		p.latencies.median[s.distance].Record(now, r.Elapsed)
	case r.Outcome.CertainlyNotRun(), r.Outcome == query.OutcomeRefused:
		s.onRefusal(now)
	default:
		s.recordLatency(now, max(r.Elapsed, failurePenalty))
	}
}
