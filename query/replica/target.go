package replica

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/query"
)

const (
	// smoothing is the weight of a new latency in the moving average.
	smoothing = 1.0 / 8
	// outlierFactor bounds a new latency relative to the average, so that one straggler does not
	// move the queries of a healthy target elsewhere.
	outlierFactor = 4
	// staleAfter is the time without a new latency after which the known one counts half, so that a
	// target that was slow is tried again.
	staleAfter = 10 * time.Second
	// coldAnswers is the number of answers after which a new or returned target counts as warm.
	coldAnswers = 8
	// coldCost is the additional cost of a cold target's first attempt, as a multiple of its cost.
	coldCost = 2.0
	// shedMemory is the time for which a target that shed gets no hedge.
	shedMemory = time.Second
	// localityCost is the cost of another failure domain besides its latency: its links vary and cost
	// more than usual.
	localityCost = time.Millisecond
	// drainMemory is the time after which a target that refused as draining, and that the platform's
	// list has neither marked as leaving nor removed, gets one attempt to see whether it is back.
	drainMemory = 10 * time.Minute
)

// state is what the instance knows of one target.
type state struct {
	id      query.TargetID
	address string
	class   Class
	local   bool

	inFlight   int
	latency    time.Duration // moving average of answers and of the waits of cancelled attempts
	learntAt   time.Time
	lowest     MinLatency // of the moving average
	limit      limit
	rate       rate
	breaker    breaker
	coldLeft   int // answers until the target counts as warm
	shedAt     time.Time
	answeredAt time.Time
	suspects   int // overdue attempts since whose sending the target has answered nothing
	draining   bool
	drainedAt  time.Time
	returning  bool // a probe after drainMemory is in flight
}

// forget returns the target to the state of a new one. Attempts in flight stay counted.
func (s *state) forget() {
	*s = state{
		id: s.id, address: s.address, class: s.class, local: s.local, inFlight: s.inFlight,
		limit: newLimit(), coldLeft: coldAnswers,
	}
}

func (s *state) shedding(now time.Time) bool {
	return !s.shedAt.IsZero() && now.Sub(s.shedAt) < shedMemory
}

// cost is the expected wait of one more attempt. typical stands in for a latency not learnt yet.
func (s *state) cost(now time.Time, typical time.Duration) float64 {
	latency := typical
	if s.latency > 0 {
		idle := float64(now.Sub(s.learntAt)) / float64(staleAfter)
		latency = time.Duration(float64(s.latency) / (1 + idle*idle))
	}
	cost := float64(s.inFlight+1) * float64(latency)
	if !s.local {
		cost += float64(localityCost)
	}
	return cost * (1 + coldCost*float64(s.coldLeft)/coldAnswers)
}

func (s *state) learn(now time.Time, latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
	} else {
		latency = min(latency, outlierFactor*s.latency)
		s.latency += time.Duration(float64(latency-s.latency) * smoothing)
	}
	s.learntAt = now
	s.lowest.Record(now, s.latency)
}

// busy is the number of attempts of this instance that the target works on at once without a queue:
// the rate of its answers times the lowest latency (Little's law), rounded down. One more in flight
// than that keeps the target at work, so that the rate can grow.
func (s *state) busy() int { return int(s.rate.perSecond * s.lowest.Value().Seconds()) }

// probeDue reports whether a target that is out of use gets one attempt.
func (s *state) probeDue(now time.Time) bool {
	if s.draining {
		return now.Sub(s.drainedAt) >= drainMemory
	}
	return s.breaker.probeDue(now)
}

func (s *state) beginProbe(now time.Time) {
	if s.draining {
		s.returning, s.drainedAt = true, now
		return
	}
	s.breaker.probing = true
}

// alive notes that the target answered or refused. A target that was out of use is a new one.
func (s *state) alive(now time.Time) {
	s.answeredAt, s.suspects = now, 0
	if s.breaker.onAnswer() {
		s.limit, s.coldLeft = newLimit(), coldAnswers
	}
}

func (s *state) onAnswer(now time.Time, e Result) {
	// Answers to requests from before the drain say nothing about new ones.
	if s.returning && !now.Add(-e.Elapsed).Before(s.drainedAt) {
		s.forget()
	}
	s.alive(now)
	switch {
	case e.Cold:
		s.coldLeft = coldAnswers
	case s.coldLeft > 0:
		s.coldLeft--
	}
	s.learn(now, e.Elapsed)
	s.rate.count(now)
	s.limit.onAnswer(now, s.inFlight+1, e.Elapsed, s.lowest.Value())
}

// onSilence takes an attempt that this instance cancelled. It counts against the target only if it
// was overdue and the target has answered nothing meanwhile, because a busy target is not a lost
// one. A probe that was cancelled counts in any case.
func (s *state) onSilence(now time.Time, e Result, source *rand.Rand) {
	s.learn(now, max(e.Elapsed, s.latency))
	if s.breaker.open || e.Overdue && s.quietFor(now, e.Elapsed) {
		s.breaker.onFailure(now, false, source)
	}
}

// quietFor reports whether the target has answered nothing for at least d.
func (s *state) quietFor(now time.Time, d time.Duration) bool {
	return !s.answeredAt.After(now.Add(-d))
}
