package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// Class is the number of a target class. The targets of an index are classed by failure domain.
type Class int

// AttemptKind distinguishes first attempts, retries and hedges.
type AttemptKind uint8

const (
	// First is the first attempt at a shard.
	First AttemptKind = iota
	// Retry follows an attempt that ended without an answer.
	Retry
	// Hedge runs in parallel with an attempt that is still in flight.
	Hedge
)

// Verdict is the decision on whether an attempt may be sent.
type Verdict uint8

const (
	// Chosen means that a target was chosen.
	Chosen Verdict = iota
	// Limited means that every usable replica has reached its limit of requests in flight, or currently
	// accepts no hedge.
	Limited
	// NoReplica means that no usable replica is left.
	NoReplica
	// RateLimited means that the usable replicas have stated rate limits, or times without requests, that leave no room for
	// the attempt yet.
	RateLimited
	// NoToken means that the budget for extra attempts is exhausted.
	NoToken
	// Final means that no later attempt will be allowed either.
	Final
)

// Criteria describes the attempt that Choose selects a replica for.
type Criteria struct {
	Shard query.Shard
	Kind  AttemptKind
	// Tried lists the targets that were tried already. They are not chosen again.
	Tried []query.TargetID
	// Unfit, if set, reports whether a target must not be chosen.
	Unfit func(query.TargetID) bool
	// LowestCost selects the replica with the lowest cost of all instead of the better of two random ones.
	// Only a minority of the attempts may set it: otherwise all instances choose the same replica.
	LowestCost bool
	// AvoidQueueing keeps a first attempt from targets where it would queue. Targets serve requests in the
	// order of arrival, so a queued attempt delays later ones of higher priority.
	AvoidQueueing bool
}

// atLimit reports whether the target has too many attempts in flight to accept this one.
func (c Criteria) atLimit(s *targetState) bool {
	if c.AvoidQueueing && c.Kind == First && s.inFlight > s.concurrency() {
		return true
	}
	return s.limit.atLimit(s.inFlight)
}

func (c Criteria) excludes(id query.TargetID) bool {
	return len(c.Tried) > 0 && slices.Contains(c.Tried, id) || c.Unfit != nil && c.Unfit(id)
}

// Pick is a chosen target.
type Pick struct {
	Target query.TargetID
	Class  Class
}

// Result describes how an attempt ended.
type Result struct {
	Target query.TargetID
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	Outcome query.Outcome
	// Cancelled is set if this instance cancelled the attempt. Outcome is not valid then.
	Cancelled bool
	// RefundExtra is set if the attempt reached no target, so that the shard has one extra attempt less.
	RefundExtra bool
	// Overdue is set if Chooser.Overdue was called for the attempt.
	Overdue bool
	Cold    bool
	// HighPriority is set if the query has high priority.
	HighPriority bool
}

// Chooser selects replicas by the power of two random choices: it draws two and takes the one with the
// lower cost, which is (in-flight + 1) × latency plus a penalty for another failure domain. Its statistics
// come only from the attempts of this instance. It is not safe for concurrent use.
type Chooser struct {
	domain       string
	source       *rand.Rand
	targets      map[query.TargetID]*targetState
	byShard      map[query.Shard][]*targetState
	classes      map[string]Class
	classLatency []time.Duration // moving average of the latency by class
	usable       []*targetState  // scratch buffer of Choose
	suspected    []*targetState  // scratch buffer of Choose: targets with unanswered overdue attempts
}

// NewChooser returns a chooser without targets. domain is the failure domain of this instance.
func NewChooser(domain string, source *rand.Rand) *Chooser {
	return &Chooser{
		domain: domain, source: source, targets: map[query.TargetID]*targetState{}, byShard: map[query.Shard][]*targetState{},
		classes: map[string]Class{},
	}
}

// SetTargets replaces the list of targets. The statistics of a target are kept, unless its address
// changed, or the previous list marked it as leaving or did not contain it.
func (c *Chooser) SetTargets(targets []query.Target) {
	previous := c.targets
	c.targets = make(map[query.TargetID]*targetState, len(targets))
	clear(c.byShard)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		s := previous[t.ID]
		if s == nil {
			s = &targetState{id: t.ID}
		}
		if s.address != t.Address || s.limit.value == 0 {
			s.address, s.class, s.local = t.Address, c.classOf(t.FailureDomain), t.FailureDomain == c.domain
			s.reset()
		}
		c.targets[t.ID] = s
		for _, shard := range t.Shards {
			c.byShard[shard] = append(c.byShard[shard], s)
		}
	}
}

// Classes returns the number of target classes seen so far.
func (c *Chooser) Classes() int { return len(c.classes) }

func (c *Chooser) classOf(domain string) Class {
	class, ok := c.classes[domain]
	if !ok {
		class = Class(len(c.classes))
		c.classes[domain] = class
		c.classLatency = append(c.classLatency, 0)
	}
	return class
}

// Choose selects a replica and counts the attempt as in flight until End or Release is called.
func (c *Chooser) Choose(now time.Time, criteria Criteria) (Pick, Verdict) {
	c.usable, c.suspected = c.usable[:0], c.suspected[:0]
	verdict := NoReplica
	for _, s := range c.byShard[criteria.Shard] {
		if criteria.excludes(s.id) {
			continue
		}
		if criteria.Kind != Hedge && s.probeDue(now) {
			s.beginProbe(now)
			return c.reserve(s), Chosen
		}
		if s.draining || s.breaker.open {
			continue
		}
		if criteria.atLimit(s) || criteria.Kind == Hedge && (s.coldAnswersLeft > 0 || s.shedRecently(now)) {
			verdict = Limited
			continue
		}
		if s.overdue > 0 {
			c.suspected = append(c.suspected, s)
			continue
		}
		c.usable = append(c.usable, s)
	}
	switch {
	case len(c.usable) > 0:
		return c.reserve(c.selectFrom(now, c.usable, criteria.LowestCost)), Chosen
	case len(c.suspected) > 0:
		return c.reserve(c.selectFrom(now, c.suspected, criteria.LowestCost)), Chosen
	}
	return Pick{}, verdict
}

func (c *Chooser) selectFrom(now time.Time, list []*targetState, lowestCost bool) *targetState {
	if !lowestCost {
		return c.betterOfTwo(now, list)
	}
	cost := func(s *targetState) float64 { return s.cost(now, c.classLatency[s.class]) }
	return slices.MinFunc(list, func(a, b *targetState) int { return cmp.Compare(cost(a), cost(b)) })
}

func (c *Chooser) betterOfTwo(now time.Time, list []*targetState) *targetState {
	n := len(list)
	if n == 1 {
		return list[0]
	}
	i := c.source.IntN(n)
	j := c.source.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := list[i], list[j]
	if b.cost(now, c.classLatency[b.class]) < a.cost(now, c.classLatency[a.class]) {
		return b
	}
	return a
}

func (c *Chooser) reserve(s *targetState) Pick {
	s.inFlight++
	return Pick{Target: s.id, Class: s.class}
}

// Release reverts Choose for an attempt that was not sent.
func (c *Chooser) Release(target query.TargetID) {
	if s := c.targets[target]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
		s.breaker.probeInFlight = false
	}
}

// Overdue reports an attempt that is in flight for longer than its hedge delay. If the target has
// answered nothing since the attempt was sent, it is avoided until it answers or the attempt ends.
func (c *Chooser) Overdue(target query.TargetID, sent time.Time) {
	if s := c.targets[target]; s != nil && s.answeredAt.Before(sent) {
		s.overdue++
	}
}

// End records the result of an attempt. It returns the class of the target, or false if the target is
// no longer listed.
func (c *Chooser) End(now time.Time, r Result) (Class, bool) {
	s := c.targets[r.Target]
	if s == nil {
		return 0, false
	}
	s.inFlight = max(0, s.inFlight-1)
	if r.Overdue {
		s.overdue = max(0, s.overdue-1)
	}
	switch {
	case r.Cancelled:
		s.onCancel(now, r, c.source)
	case r.Outcome == query.OutcomeAnswered:
		s.onAnswer(now, r)
		c.recordClassLatency(s.class, r.Elapsed)
	case r.Outcome == query.OutcomeShed:
		s.markAlive(now)
		s.shedAt = now
		s.limit.onShed(now)
	case r.Outcome == query.OutcomeDraining:
		s.draining, s.drainProbeInFlight, s.drainedAt = true, false, now
	case r.Outcome == query.OutcomeNotRun:
		s.breaker.onFailure(now, true, c.source)
	case r.Outcome == query.OutcomeUnknown, r.Outcome == query.OutcomeCrashed:
		s.breaker.onFailure(now, r.Overdue && s.silentFor(now, r.Elapsed), c.source)
	default: // The target refused or stopped the request, so it is alive.
		s.markAlive(now)
	}
	return s.class, true
}

// MarkDraining marks a target that another instance reported as draining. It returns false if the target
// is not listed or already marked.
func (c *Chooser) MarkDraining(now time.Time, id query.TargetID) bool {
	s := c.targets[id]
	if s == nil || s.draining {
		return false
	}
	s.draining, s.drainProbeInFlight, s.drainedAt = true, false, now
	return true
}

func (c *Chooser) recordClassLatency(class Class, latency time.Duration) {
	avg := &c.classLatency[class]
	if *avg == 0 {
		*avg = latency
		return
	}
	*avg += time.Duration(float64(min(latency, outlierFactor**avg)-*avg) * smoothing / 4)
}
