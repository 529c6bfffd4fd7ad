package replica

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/query"
)

const (
	// smoothing is the weight of a new latency in the moving average.
	smoothing = 1.0 / 8
	// outlierFactor caps a new latency relative to the moving average, so that a single straggler does
	// not divert the load from a healthy target.
	outlierFactor = 4
	// staleAfter is the age at which the recorded latency counts half, so that a target that was slow is
	// tried again.
	staleAfter = 10 * time.Second
	// coldAnswers is the number of answers after which a new or returned target counts as warm.
	coldAnswers = 8
	// coldCostFactor is the additional cost of the first attempt at a cold target, as a multiple of its
	// cost when warm. The addition falls to 0 as the target warms up.
	coldCostFactor = 2.0
	// noHedgeAfterShed is the time for which a target gets no hedge after it shed a request.
	noHedgeAfterShed = time.Second
	// remoteCost is the additional cost of a target in another failure domain, on top of its latency:
	// traffic between domains costs more and its latency varies more.
	remoteCost = time.Millisecond
	// drainProbeAfter is the time after which a draining target gets one attempt as a probe, if the
	// platform's target list has neither marked it as leaving nor removed it.
	drainProbeAfter = 10 * time.Minute
)

// targetState holds the statistics of one target and whether it may be used.
type targetState struct {
	id      query.TargetID
	address string
	class   Class
	local   bool

	inFlight           int
	latency            time.Duration // moving average, including the waits of cancelled attempts
	latencyAt          time.Time     // time of the last latency recorded
	minLatency         MinLatency    // minimum of the moving average
	limit              limit
	rate               rate
	breaker            breaker
	coldAnswersLeft    int // answers until the target counts as warm
	shedAt             time.Time
	answeredAt         time.Time
	overdue            int // overdue attempts sent after the target's last answer
	draining           bool
	drainedAt          time.Time
	drainProbeInFlight bool // a probe after drainProbeAfter is in flight
}

// reset sets the state to that of a new target. Attempts in flight stay counted.
func (s *targetState) reset() {
	*s = targetState{
		id: s.id, address: s.address, class: s.class, local: s.local, inFlight: s.inFlight,
		limit: newLimit(), coldAnswersLeft: coldAnswers,
	}
}

func (s *targetState) shedRecently(now time.Time) bool {
	return !s.shedAt.IsZero() && now.Sub(s.shedAt) < noHedgeAfterShed
}

// cost returns the expected latency of another attempt plus its penalties. classLatency is used while no
// latency of the target has been recorded.
func (s *targetState) cost(now time.Time, classLatency time.Duration) float64 {
	latency := classLatency
	if s.latency > 0 {
		age := float64(now.Sub(s.latencyAt)) / float64(staleAfter)
		latency = time.Duration(float64(s.latency) / (1 + age*age))
	}
	cost := float64(s.inFlight+1) * float64(latency)
	if !s.local {
		cost += float64(remoteCost)
	}
	return cost * (1 + coldCostFactor*float64(s.coldAnswersLeft)/coldAnswers)
}

func (s *targetState) recordLatency(now time.Time, latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
	} else {
		latency = min(latency, outlierFactor*s.latency)
		s.latency += time.Duration(float64(latency-s.latency) * smoothing)
	}
	s.latencyAt = now
	s.minLatency.Record(now, s.latency)
}

// concurrency returns the number of attempts of this instance that the target runs at once without
// queueing: its answer rate times its minimum latency (Little's law), rounded down. One more attempt in
// flight keeps the target busy, so that the rate can grow.
func (s *targetState) concurrency() int {
	return int(s.rate.perSecond * s.minLatency.Value().Seconds())
}

// probeDue reports whether a draining target, or one with an open breaker, may get a probe.
func (s *targetState) probeDue(now time.Time) bool {
	if s.draining {
		return now.Sub(s.drainedAt) >= drainProbeAfter
	}
	return s.breaker.probeDue(now)
}

func (s *targetState) beginProbe(now time.Time) {
	if s.draining {
		s.drainProbeInFlight, s.drainedAt = true, now
		return
	}
	s.breaker.probeInFlight = true
}

// markAlive records that the target answered or refused a request. A target whose breaker was open starts
// again with the limit of a new target, and cold.
func (s *targetState) markAlive(now time.Time) {
	s.answeredAt, s.overdue = now, 0
	if s.breaker.onAnswer() {
		s.limit, s.coldAnswersLeft = newLimit(), coldAnswers
	}
}

func (s *targetState) onAnswer(now time.Time, r Result) {
	// An answer to a request sent before the drain does not show whether new requests are accepted.
	if s.drainProbeInFlight && !now.Add(-r.Elapsed).Before(s.drainedAt) {
		s.reset()
	}
	s.markAlive(now)
	switch {
	case r.Cold:
		s.coldAnswersLeft = coldAnswers
	case s.coldAnswersLeft > 0:
		s.coldAnswersLeft--
	}
	s.recordLatency(now, r.Elapsed)
	s.rate.count(now)
	s.limit.onAnswer(now, s.inFlight+1, r.Elapsed, s.minLatency.Value())
}

// onCancel records an attempt that this instance cancelled. It counts as a failure only if it was overdue
// and the target has answered nothing since it was sent, because a target that is merely busy still
// answers. While the breaker is open, a cancelled probe counts in any case.
func (s *targetState) onCancel(now time.Time, r Result, source *rand.Rand) {
	s.recordLatency(now, max(r.Elapsed, s.latency))
	if s.breaker.open || r.Overdue && s.silentFor(now, r.Elapsed) {
		s.breaker.onFailure(now, false, source)
	}
}

// silentFor reports whether the target has not answered for at least d.
func (s *targetState) silentFor(now time.Time, d time.Duration) bool {
	return !s.answeredAt.After(now.Add(-d))
}
