package balance

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// Distance ranks targets by the cost of reaching them.
type Distance uint8

const (
	// SameDomain is the instance's own failure domain.
	SameDomain Distance = iota
	// SameRegion is another failure domain of the instance's region.
	SameRegion
	// OtherRegion is any other failure domain.
	OtherRegion
	distanceCount = 3
)

const (
	// smoothing is the weight of a new latency in the moving average. One or two answers suffice to detect a
	// target that became slower by a factor of ten.
	smoothing = 0.3
	// freshSmoothing replaces smoothing for the first latency after staleAfter, because it is more accurate
	// than the old average.
	freshSmoothing = 0.7
	// staleAfter is the time without a new latency after which a nearer target is tried again. Targets stay
	// slow for seconds.
	staleAfter = 700 * time.Millisecond
	// probeEvery is the minimum number of first attempts at a shard between two probes of a target. Without
	// it, an instance that has only a small part of the load of many instances would send most of its
	// attempts to slow targets.
	probeEvery = 8
	// failurePenalty is the minimum latency recorded for a failed attempt, so that a target that fails fast
	// does not count as a fast one. It exceeds the usual latency of every route.
	failurePenalty = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a target gets no attempts after it refused a
	// connection or a request.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// coldFactor is the slowdown of a target that has just started.
	coldFactor = 1.6
	// queueingFactor is the share of the expected latency by which each attempt in flight raises the cost.
	// It is the part of a target's slots that one instance fills before its own attempts queue.
	queueingFactor = 0.5
)

var (
	// distanceCost is the additional cost of a distance, on top of its latency: traffic between failure
	// domains is charged for, and traffic between regions costs several times as much.
	distanceCost = [distanceCount]time.Duration{SameRegion: 4 * time.Millisecond, OtherRegion: 15 * time.Millisecond}
	// assumedRoundTrip is the round trip time assumed for each distance.
	assumedRoundTrip = [distanceCount]time.Duration{SameDomain: time.Millisecond, SameRegion: 9 * time.Millisecond, OtherRegion: 25 * time.Millisecond}
	// assumedServiceTime is the service time assumed for a target that has not answered yet.
	assumedServiceTime = 10 * time.Millisecond
)

// targetState holds the statistics of one target.
type targetState struct {
	id          query.TargetID
	shard       query.Shard
	incarnation int64
	distance    Distance
	limit       int // maximum number of attempts in flight
	coldUntil   time.Time
	rate        rateShare

	sent      []time.Time   // send times of the attempts in flight, in ascending order
	latency   time.Duration // moving average, 0 before the first answer
	latencyAt time.Time     // time of the last latency recorded
	probedAt  time.Time
	// firstAttemptsAtProbe is the number of first attempts at the shard up to the last probe.
	firstAttemptsAtProbe int
	backoffUntil         time.Time
	backoff              time.Duration // 0 once the target has answered
}

// cost returns the expected latency of another attempt plus the cost of the distance.
func (s *targetState) cost(now time.Time) time.Duration {
	expected := s.latency
	if expected == 0 {
		expected = assumedServiceTime + assumedRoundTrip[s.distance]
	}
	if len(s.sent) > 0 {
		// The age of an unanswered attempt is a lower bound of its latency.
		expected = max(expected, now.Sub(s.sent[0]))
	}
	expected += time.Duration(float64(expected) * queueingFactor * float64(len(s.sent)))
	if now.Before(s.coldUntil) {
		expected = time.Duration(float64(expected) * coldFactor)
	}
	return expected + distanceCost[s.distance]
}

// probeDue reports whether the target should be tried again because its latency is out of date.
// firstAttempts is the number of first attempts at the shard.
func (s *targetState) probeDue(now time.Time, firstAttempts int) bool {
	return len(s.sent) == 0 && firstAttempts-s.firstAttemptsAtProbe >= probeEvery &&
		now.Sub(s.latencyAt) >= staleAfter && now.Sub(s.probedAt) >= staleAfter
}

func (s *targetState) begin(now time.Time) { s.sent = append(s.sent, now) }

// end removes the attempt that was sent at the given time from those in flight.
func (s *targetState) end(sent time.Time) {
	if i := slices.IndexFunc(s.sent, func(t time.Time) bool { return !t.Before(sent) }); i >= 0 {
		s.sent = slices.Delete(s.sent, i, i+1)
	}
}

func (s *targetState) recordLatency(now time.Time, latency time.Duration) {
	weight := smoothing
	if now.Sub(s.latencyAt) >= staleAfter {
		weight = freshSmoothing
	}
	if s.latency == 0 {
		s.latency = latency
	} else {
		s.latency += time.Duration(float64(latency-s.latency) * weight)
	}
	s.latencyAt = now
}

func (s *targetState) onAnswer(now time.Time, latency time.Duration) {
	s.backoff, s.backoffUntil = 0, time.Time{}
	s.recordLatency(now, latency)
}

// onRefusal excludes the target from attempts for a backoff that doubles until it answers.
func (s *targetState) onRefusal(now time.Time) {
	if now.Before(s.backoffUntil) {
		return // The attempt was sent before the backoff.
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}
