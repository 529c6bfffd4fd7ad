package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// Class numbers the target classes of one index, which are its failure domains.
type Class int

// AttemptKind says what an attempt is for.
type AttemptKind uint8

const (
	// First is the first attempt at a shard.
	First AttemptKind = iota
	// Retry follows an attempt that brought no answer.
	Retry
	// Hedge runs besides an attempt that is still in flight.
	Hedge
)

// Verdict says whether an attempt may be sent.
type Verdict uint8

const (
	// Chosen means that a target was chosen.
	Chosen Verdict = iota
	// Limited means that the usable replicas have as many requests as their limits allow, or may take
	// no hedge now.
	Limited
	// NoReplica means that no replica is left that may be used.
	NoReplica
	// NoToken means that the plan's budget for extra attempts is used up.
	NoToken
	// Final means that no attempt will be allowed later either.
	Final
)

// Criteria describes the attempt for which a replica is wanted.
type Criteria struct {
	Shard query.Shard
	Kind  AttemptKind
	// Tried lists targets that are not to be chosen.
	Tried []query.TargetID
	// Unfit, if set, reports whether a target is not to be chosen.
	Unfit func(query.TargetID) bool
	// LowestCost asks for the replica with the lowest cost of all in the place of two random ones. It is for a
	// minority of the attempts, because instances that all do so would choose the same replica.
	LowestCost bool
	// AvoidQueueing is set for a first attempt that is not to queue at a target. Targets serve in the order of
	// arrival, so that an attempt in the queue delays those of higher priority behind it.
	AvoidQueueing bool
}

// full reports whether the target has as many attempts in flight as this one allows.
func (a Criteria) full(s *state) bool {
	if a.AvoidQueueing && a.Kind == First && s.inFlight > s.busy() {
		return true
	}
	return s.limit.full(s.inFlight)
}

func (a Criteria) excludes(id query.TargetID) bool {
	return len(a.Tried) > 0 && slices.Contains(a.Tried, id) || a.Unfit != nil && a.Unfit(id)
}

// Pick is a chosen target.
type Pick struct {
	Target query.TargetID
	Class  Class
}

// Result is what became of an attempt.
type Result struct {
	Target query.TargetID
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	Outcome query.Outcome
	// Cancelled is set if this instance ended the attempt; Outcome means nothing then.
	Cancelled bool
	// Overdue is set if Overdue was called for the attempt.
	Overdue bool
	Cold    bool
	// HighPriority is set for an attempt of a query of high priority.
	HighPriority bool
}

// Chooser chooses replicas by two random choices on (in-flight + 1) × latency, with locality as a
// cost. It learns from the attempts of this instance alone. It is not safe for concurrent use.
type Chooser struct {
	domain  string
	source  *rand.Rand
	targets map[query.TargetID]*state
	byShard map[query.Shard][]*state
	classes map[string]Class
	typical []time.Duration // moving average of the latency by class
	usable  []*state        // scratch space of Choose
	suspect []*state        // scratch space of Choose
}

// NewChooser returns a chooser without targets. domain is the failure domain of this instance.
func NewChooser(domain string, source *rand.Rand) *Chooser {
	return &Chooser{
		domain: domain, source: source, targets: map[query.TargetID]*state{}, byShard: map[query.Shard][]*state{},
		classes: map[string]Class{},
	}
}

// SetTargets replaces the known targets. What was learnt of a target stays, unless its address is
// another one or it was marked as leaving or missing before.
func (c *Chooser) SetTargets(targets []query.Target) {
	known := c.targets
	c.targets = make(map[query.TargetID]*state, len(targets))
	clear(c.byShard)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		s := known[t.ID]
		if s == nil {
			s = &state{id: t.ID}
		}
		if s.address != t.Address || s.limit.value == 0 {
			s.address, s.class, s.local = t.Address, c.classOf(t.FailureDomain), t.FailureDomain == c.domain
			s.forget()
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
		c.typical = append(c.typical, 0)
	}
	return class
}

// Choose returns a replica and counts the attempt as in flight until End.
func (c *Chooser) Choose(now time.Time, ask Criteria) (Pick, Verdict) {
	c.usable, c.suspect = c.usable[:0], c.suspect[:0]
	verdict := NoReplica
	for _, s := range c.byShard[ask.Shard] {
		if ask.excludes(s.id) {
			continue
		}
		if ask.Kind != Hedge && s.probeDue(now) {
			s.beginProbe(now)
			return c.take(s), Chosen
		}
		if s.draining || s.breaker.open {
			continue
		}
		if ask.full(s) || ask.Kind == Hedge && (s.coldLeft > 0 || s.shedding(now)) {
			verdict = Limited
			continue
		}
		if s.suspects > 0 {
			c.suspect = append(c.suspect, s)
			continue
		}
		c.usable = append(c.usable, s)
	}
	switch {
	case len(c.usable) > 0:
		return c.take(c.among(now, c.usable, ask.LowestCost)), Chosen
	case len(c.suspect) > 0:
		return c.take(c.among(now, c.suspect, ask.LowestCost)), Chosen
	}
	return Pick{}, verdict
}

func (c *Chooser) among(now time.Time, list []*state, best bool) *state {
	if !best {
		return c.better(now, list)
	}
	cost := func(s *state) float64 { return s.cost(now, c.typical[s.class]) }
	return slices.MinFunc(list, func(a, b *state) int { return cmp.Compare(cost(a), cost(b)) })
}

func (c *Chooser) better(now time.Time, among []*state) *state {
	n := len(among)
	if n == 1 {
		return among[0]
	}
	i := c.source.IntN(n)
	j := c.source.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := among[i], among[j]
	if b.cost(now, c.typical[b.class]) < a.cost(now, c.typical[a.class]) {
		return b
	}
	return a
}

func (c *Chooser) take(s *state) Pick {
	s.inFlight++
	return Pick{Target: s.id, Class: s.class}
}

// Release undoes a Choose whose attempt was not sent.
func (c *Chooser) Release(target query.TargetID) {
	if s := c.targets[target]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
		s.breaker.probing = false
	}
}

// Overdue takes an attempt that is in flight for longer than usual. If the target has answered
// nothing since the attempt was sent, it is avoided until it answers or the attempt ends.
func (c *Chooser) Overdue(target query.TargetID, sent time.Time) {
	if s := c.targets[target]; s != nil && s.answeredAt.Before(sent) {
		s.suspects++
	}
}

// End takes what became of an attempt. It returns the class of the target, or false if the target
// is no longer known.
func (c *Chooser) End(now time.Time, e Result) (Class, bool) {
	s := c.targets[e.Target]
	if s == nil {
		return 0, false
	}
	s.inFlight = max(0, s.inFlight-1)
	if e.Overdue {
		s.suspects = max(0, s.suspects-1)
	}
	switch {
	case e.Cancelled:
		s.onSilence(now, e, c.source)
	case e.Outcome == query.OutcomeAnswered:
		s.onAnswer(now, e)
		c.learnTypical(s.class, e.Elapsed)
	case e.Outcome == query.OutcomeShed:
		s.alive(now)
		s.shedAt = now
		s.limit.onShed(now)
	case e.Outcome == query.OutcomeDraining:
		s.draining, s.returning, s.drainedAt = true, false, now
	case e.Outcome == query.OutcomeNotRun:
		s.breaker.onFailure(now, true, c.source)
	case e.Outcome == query.OutcomeUnknown, e.Outcome == query.OutcomeCrashed:
		s.breaker.onFailure(now, e.Overdue && s.quietFor(now, e.Elapsed), c.source)
	default: // The target refused or stopped the request, so it lives.
		s.alive(now)
	}
	return s.class, true
}

// MarkDraining marks a target as draining because another instance reported it. It returns false if the target
// is not known or marked already.
func (c *Chooser) MarkDraining(now time.Time, id query.TargetID) bool {
	s := c.targets[id]
	if s == nil || s.draining {
		return false
	}
	s.draining, s.returning, s.drainedAt = true, false, now
	return true
}

func (c *Chooser) learnTypical(class Class, latency time.Duration) {
	t := &c.typical[class]
	if *t == 0 {
		*t = latency
		return
	}
	*t += time.Duration(float64(min(latency, outlierFactor**t)-*t) * smoothing / 4)
}
