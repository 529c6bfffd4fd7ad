package balance

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// Distance orders targets by what it costs to reach them.
type Distance uint8

const (
	// SameDomain is the instance's own failure domain.
	SameDomain Distance = iota
	// SameRegion is another failure domain of the instance's region.
	SameRegion
	// OtherRegion is any other failure domain.
	OtherRegion
	distances = 3
)

const (
	// smoothing is the weight of a latency in the average. A target that became slow by ten is known
	// for it after one or two answers.
	smoothing = 0.3
	// freshSmoothing takes its place for the first latency after staleAfter, which tells more than
	// what was known before.
	freshSmoothing = 0.7
	// staleAfter is the time without a latency after which a target near by is tried again. Targets
	// are slow for seconds.
	staleAfter = 700 * time.Millisecond
	// probeEvery is the number of first attempts at a shard after which one may try such a target again.
	// A small part of a large fleet's load would otherwise be mostly attempts at slow targets.
	probeEvery = 8
	// failurePenalty stands in for the latency of an attempt that failed, so that a target that fails
	// fast is not taken for a fast one. It is above the usual latency of every route.
	failurePenalty = 150 * time.Millisecond
	// firstPause and longestPause bound the time for which a target that refused a connection or shed
	// gets no attempt.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	// coldFactor is the factor by which a target is slow after its start.
	coldFactor = 1.6
	// slotShare is the part of a target's slots that one instance fills before its own attempts queue
	// behind each other.
	slotShare = 0.5
)

var (
	// distanceCost is the cost of a distance besides its latency: bytes between failure domains are
	// charged for, and those between regions several times as much.
	distanceCost = [distances]time.Duration{SameRegion: 4 * time.Millisecond, OtherRegion: 15 * time.Millisecond}
	// roundTrip stands in for what is not measured yet.
	roundTrip = [distances]time.Duration{SameDomain: time.Millisecond, SameRegion: 9 * time.Millisecond, OtherRegion: 25 * time.Millisecond}
	// firstService stands in for the service time of a target that has not answered yet.
	firstService = 10 * time.Millisecond
)

// state is what the instance knows of one target.
type state struct {
	id          query.TargetID
	shard       query.Shard
	incarnation int64
	distance    Distance
	limit       int // attempts in flight
	coldUntil   time.Time

	sent     []time.Time   // of the attempts in flight, in ascending order
	latency  time.Duration // moving average, 0 before the first answer
	learntAt time.Time
	probedAt time.Time
	// probedAfter is the number of first attempts at the shard before the latest probe.
	probedAfter int
	downUntil   time.Time
	pause       time.Duration // latest pause, 0 if the target answered since
}

// cost is the expected time of one more attempt, and what its distance costs besides.
func (s *state) cost(now time.Time) time.Duration {
	expected := s.latency
	if expected == 0 {
		expected = firstService + roundTrip[s.distance]
	}
	if len(s.sent) > 0 {
		// An attempt that has not answered is evidence before it ends.
		expected = max(expected, now.Sub(s.sent[0]))
	}
	expected += time.Duration(float64(expected) * slotShare * float64(len(s.sent)))
	if now.Before(s.coldUntil) {
		expected = time.Duration(float64(expected) * coldFactor)
	}
	return expected + distanceCost[s.distance]
}

// stale reports whether the target may be better than what is known of it. sent is the number of first
// attempts at the shard.
func (s *state) stale(now time.Time, sent int) bool {
	return len(s.sent) == 0 && sent-s.probedAfter >= probeEvery && now.Sub(s.learntAt) >= staleAfter && now.Sub(s.probedAt) >= staleAfter
}

func (s *state) begin(now time.Time) { s.sent = append(s.sent, now) }

// end takes an attempt that was sent at the given time out of those in flight.
func (s *state) end(sent time.Time) {
	if i := slices.IndexFunc(s.sent, func(t time.Time) bool { return !t.Before(sent) }); i >= 0 {
		s.sent = slices.Delete(s.sent, i, i+1)
	}
}

func (s *state) learn(now time.Time, latency time.Duration) {
	weight := smoothing
	if now.Sub(s.learntAt) >= staleAfter {
		weight = freshSmoothing
	}
	if s.latency == 0 {
		s.latency = latency
	} else {
		s.latency += time.Duration(float64(latency-s.latency) * weight)
	}
	s.learntAt = now
}

func (s *state) answered(now time.Time, latency time.Duration) {
	s.pause, s.downUntil = 0, time.Time{}
	s.learn(now, latency)
}

// refuse pauses the target. Pauses double until it answers.
func (s *state) refuse(now time.Time) {
	if now.Before(s.downUntil) {
		return // An attempt that was sent before the pause.
	}
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.downUntil = now.Add(s.pause)
}
