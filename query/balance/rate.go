package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

const (
	// A target that states a rate limit gets at most rateTolerance times the limit plus rateSlack requests in any
	// rateWindow, over all instances that know the limit.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
	// usableAllowance is the part of that allowance that saved shares may fill, and usableAllowanceInTurns the part that
	// the mean may fill where the instances take turns by chance. The rest covers instances that count different members.
	usableAllowance        = 0.8
	usableAllowanceInTurns = 0.7
	// minRate is the rate in requests a second that all instances may send together to a target with a lower limit. An
	// instance learns from an answer that a limit has ended.
	minRate = 0.5
	// Once a target states no limit any more, the rate doubles every rampDoubling, and is unlimited after rampTime.
	rampDoubling = 2800 * time.Millisecond
	rampTime     = 4 * rampDoubling
	// extraAttemptReserve is the number of requests that have to be left for first attempts when a hedge is sent.
	extraAttemptReserve = 1
)

// rateShare is this instance's part of the rate that a target accepts from all instances together.
//
// What it does not use is saved for bursts, up to its part of a number that all instances together may send at once. Where
// that is less than one request, the instance may send one in its turn: within a short part of each interval in which its
// part of the rate amounts to one request. The intervals of the instances are spread evenly.
//
// After the end of a limit, the rate rises gradually: all instances would otherwise return at the same moment to a target
// that has just recovered.
//
// It is designed for limits of a quarter to a half of the usual load at two of three replicas, for a burst after a pause,
// and for many instances that each send less than a request a second.
type rateShare struct {
	limit     query.RateLimit // as the target stated it last
	perSecond float64         // the last limit that was stated
	endedAt   time.Time       // when the target first stated no limit any more
	offset    float64         // of the turns of this instance, as a part of their interval
	startedAt time.Time       // when the limit was first stated
	saved     float64         // requests that may be sent at once, as of savedAt
	savedAt   time.Time
	sentAt    time.Time // of the last request
}

// setLimit replaces the limit. Nothing is saved at first.
func (r *rateShare) setLimit(now time.Time, limit query.RateLimit) {
	switch {
	case !limit.Stated:
		r.endedAt = now
	case !r.applies(now):
		r.startedAt, r.savedAt, r.saved = now, now, 0
		fallthrough
	default:
		r.perSecond = limit.PerSecond
	}
	r.limit = limit
}

// applies reports whether attempts are limited: while the target states a limit, and for rampTime afterwards.
func (r *rateShare) applies(now time.Time) bool {
	return r.limit.Stated || !r.endedAt.IsZero() && now.Sub(r.endedAt) < rampTime
}

// limitAt returns the limit in requests a second, raised if the target states none any more.
func (r *rateShare) limitAt(now time.Time) float64 {
	if r.limit.Stated {
		return r.perSecond
	}
	return max(r.perSecond, minRate) * math.Exp2(now.Sub(r.endedAt).Seconds()/rampDoubling.Seconds())
}

// allowance is what all instances together may send to a target with a limit, and the part of it of this instance.
type allowance struct {
	rate   float64 // requests a second
	window float64 // requests in a rateWindow
	part   float64
}

func (r *rateShare) allowance(now time.Time, part float64) allowance {
	limit := r.limitAt(now)
	return allowance{rate: max(limit, minRate), window: rateTolerance*limit*rateWindow.Seconds() + rateSlack, part: part}
}

// burst returns how many requests all instances may send at once in addition to the rate, if they use the given part of
// the allowance.
func (a allowance) burst(usable float64) float64 {
	return usable*a.window - a.rate*rateWindow.Seconds()
}

// capacity returns how many requests this instance may save.
func (a allowance) capacity() float64 { return a.burst(usableAllowance) * a.part }

// interval returns the time in which this instance's part of the rate amounts to one request.
func (a allowance) interval() time.Duration { return seconds(1 / (a.rate * a.part)) }

// turn returns the length of the part of an interval in which this instance may send a request.
func (a allowance) turn() time.Duration { return seconds(a.burst(usableAllowanceInTurns) / a.rate) }

// nextAt returns the earliest time at which the instance may send a first attempt: now, or later. part is the part of
// the rate that this instance may use.
func (r *rateShare) nextAt(now time.Time, part float64) time.Time {
	if !r.applies(now) {
		return now
	}
	a := r.allowance(now, part)
	if a.capacity() < 1 {
		return r.nextTurn(now, a)
	}
	r.save(now, a)
	if r.saved >= 1 {
		return now
	}
	return now.Add(seconds((1 - r.saved) / (a.rate * part)))
}

// allows reports whether an attempt may be sent now. A hedge leaves requests for first attempts.
func (r *rateShare) allows(now time.Time, part float64, kind replica.AttemptKind) bool {
	if !r.applies(now) {
		return true
	}
	if kind != replica.Hedge {
		return !r.nextAt(now, part).After(now)
	}
	a := r.allowance(now, part)
	r.save(now, a)
	return a.capacity() >= 1 && r.saved >= 1+extraAttemptReserve
}

// take counts an attempt that is sent.
func (r *rateShare) take(now time.Time, part float64) {
	r.sentAt = now
	if r.applies(now) {
		r.save(now, r.allowance(now, part))
		r.saved--
	}
}

// save adds this instance's part of the rate since the last call to what is saved.
func (r *rateShare) save(now time.Time, a allowance) {
	if elapsed := now.Sub(r.savedAt); elapsed > 0 {
		r.saved = min(r.saved+elapsed.Seconds()*a.rate*a.part, a.capacity())
		r.savedAt = now
	}
}

// nextTurn returns the earliest time within a turn of this instance in which it has sent nothing.
func (r *rateShare) nextTurn(now time.Time, a allowance) time.Time {
	interval := a.interval()
	elapsed := now.Sub(r.startedAt) + time.Duration(r.offset*float64(interval))
	turn := now.Add(-(elapsed % interval))
	// The interval changes with the rate and the part, which must not bring an early turn.
	used := !r.sentAt.Before(turn) || now.Sub(r.sentAt) < interval/2
	if !used && now.Before(turn.Add(a.turn())) {
		return now
	}
	return turn.Add(interval)
}

// ratePartOf returns the part of the rate limits of a shard's targets that this instance may use.
func (lb *Balancer) ratePartOf(s query.Shard) float64 {
	if senders, ok := lb.senders[s]; ok {
		return senders.RatePart
	}
	return lb.ratePart
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ObserveRateLimit records the limit that a target stated in a reply. A reply of a target that ran the request and states
// no limit ends an earlier one; a refusal without a limit says nothing. It reports whether the limit has changed.
func (lb *Balancer) ObserveRateLimit(now time.Time, target query.TargetID, r query.Reply) bool {
	s := lb.targets[target]
	if s == nil {
		return false
	}
	ran := r.Outcome == query.OutcomeAnswered || r.Outcome == query.OutcomeFailed
	if !r.RateLimit.Stated && !ran || r.RateLimit == s.rate.limit {
		return false
	}
	s.rate.offset = float64(xxhash.Sum64String(lb.self+"\x00"+string(target))>>11) / (1 << 53)
	s.rate.setLimit(now, r.RateLimit)
	return true
}

// NextRoom returns the earliest time at which the targets of a shard, by what they have stated, accept a first attempt,
// after the given number of others that wait for the same: now, or later. It returns now if there are no targets.
func (lb *Balancer) NextRoom(now time.Time, shard query.Shard, waiting int) time.Time {
	part := lb.ratePartOf(shard)
	var room time.Time
	perSecond := 0.0 // of this instance, at all targets
	for _, s := range lb.byShard[shard] {
		at := now
		if held := lb.heldUntil(s); held.After(now) {
			at = held
		}
		if s.rate.applies(now) {
			perSecond += s.rate.allowance(now, part).rate * part
			if next := s.rate.nextAt(now, part); next.After(at) {
				at = next
			}
		} else if at.Equal(now) {
			return now
		} else {
			perSecond = math.Inf(1)
		}
		if room.IsZero() || at.Before(room) {
			room = at
		}
	}
	if room.IsZero() {
		return now
	}
	return room.Add(seconds(float64(waiting) / perSecond))
}
