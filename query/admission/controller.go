// Package admission decides whether a search may start, so that a request that cannot finish by its
// deadline causes no work at the targets.
package admission

import (
	"time"

	"hyssopcroft.example/query"
)

const (
	// initialLimit is above what an instance uses without overload, so that nothing is refused before
	// the baseline latency is known.
	initialLimit = 128.0
	minLimit     = 4.0
	maxLimit     = 4096.0
	// congestedRatio is the ratio of the mean latency to the baseline above which the limit is reduced.
	// The latency includes the time that requests of lower priority wait for a slot at a target
	// (Ticket.Overloaded); a ratio of 2.5 leaves slots idle at 1.5 times capacity.
	congestedRatio = 2.6
	// queueingRatio is the ratio of the mean latency to the baseline above which requests of lower
	// priority yield at the targets. Starting at the first refusal is too late: the queues that have
	// formed by then last for seconds.
	queueingRatio = 1.1
	// decreaseFactor reduces the limit, at most once per baseline latency.
	decreaseFactor = 0.95
	// latencyWeight is the weight of an answer in the mean latency.
	latencyWeight = 1.0 / 64
	// driftPerSecond raises the baseline by 6 % a minute under sustained load, in case the index has
	// become permanently slower.
	driftPerSecond = 0.001
	// minLimitDriftPerSecond replaces driftPerSecond while the limit is at minLimit, since answers are
	// then not slow because of this instance's load.
	minLimitDriftPerSecond = 0.02
	// probeAfter is the time without an answer after which one request may probe whether the baseline
	// has fallen. Otherwise an index that is slow at first would be refused permanently.
	probeAfter = time.Second
	// overloadWindow is the time after a refusal for which overload is assumed. Under overload there
	// are many refusals a second.
	overloadWindow = time.Second
	// defaultRetryAfter applies while no latency is known. It is about the time within which 99 % of
	// answers are due.
	defaultRetryAfter = 100 * time.Millisecond
	// minAnswers is the number of answers from which on the mean and the baseline are used.
	minAnswers = 128
)

// priorityShare is the share of the limit that a priority may fill. Batch is refused first. The share that is
// reserved for high priority covers the high-priority requests that arrive while the limit turns over once.
var priorityShare = [...]float64{query.PriorityBatch: 0.6, query.PriorityNormal: 0.8, query.PriorityHigh: 1}

// Verdict is the result of an admission decision.
type Verdict uint8

const (
	// Admitted requests must be ended by Done or Abandon.
	Admitted Verdict = iota
	// TooLate means that the baseline latency exceeds the time left.
	TooLate
	// Full means that the priority's share of the limit is in use.
	Full
)

var verdictNames = [...]string{"admitted", "too_late", "full"}

// String returns the name used in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Controller admits the searches of one index at one instance. It adapts its limit to the number of
// requests in flight at which their latency rises. It is not safe for concurrent use.
type Controller struct {
	limit      float64
	inFlight   int
	answers    int
	mean       time.Duration // exponential moving average of the latency
	baseline   time.Duration // minimum of mean, drifting upwards
	baselineAt time.Time
	reducedAt  time.Time
	refusedAt  time.Time // latest refusal as Full
	probedAt   time.Time // latest answer, or latest request admitted as a probe
}

// New returns a controller without latency samples.
func New() *Controller { return &Controller{limit: initialLimit} }

// Ticket is an admitted request.
type Ticket struct {
	// Overloaded is set if requests queue at the targets, or if one was refused as Full within the last
	// second.
	Overloaded bool

	started time.Time
}

// Admit decides whether a request that arrives now may start. Refused requests are advised to retry
// after RetryAfter.
func (c *Controller) Admit(now time.Time, p query.Priority, timeLeft time.Duration) (Ticket, Verdict) {
	switch {
	case c.tooLate(now, timeLeft):
		return Ticket{}, TooLate
	case float64(c.inFlight) >= c.limit*priorityShare[p]:
		c.refusedAt = now
		return Ticket{}, Full
	}
	c.inFlight++
	return Ticket{started: now, Overloaded: c.overloaded(now)}, Admitted
}

// tooLate reports whether the baseline is known and exceeds the time left. It admits one request
// as a probe once there has been no answer for probeAfter.
func (c *Controller) tooLate(now time.Time, timeLeft time.Duration) bool {
	if c.answers < minAnswers || c.baseline <= timeLeft {
		return false
	}
	if now.Sub(c.probedAt) < probeAfter {
		return true
	}
	c.probedAt = now
	return false
}

// overloaded reports whether requests of lower priority should yield at the targets. It does so before
// the first refusal, because the queues that form until then take seconds to drain.
func (c *Controller) overloaded(now time.Time) bool {
	queueing := c.answers >= minAnswers && float64(c.mean) > queueingRatio*float64(c.baseline)
	return queueing || now.Sub(c.refusedAt) < overloadWindow
}

// RetryAfter returns the delay after which a refused request may be admitted: the mean latency.
func (c *Controller) RetryAfter() time.Duration {
	if c.answers == 0 {
		return defaultRetryAfter
	}
	return c.mean
}

// Abandon ends an admitted request without a latency sample, because its result does not depend on
// load: its caller has gone, or a shard is missing for another reason than the deadline.
func (c *Controller) Abandon() { c.inFlight-- }

// Done ends an admitted request. timedOut is set if a shard is missing because of the deadline, which
// also indicates overload.
func (c *Controller) Done(now time.Time, t Ticket, timedOut bool) {
	took := now.Sub(t.started)
	busy := float64(c.inFlight) >= c.limit*priorityShare[query.PriorityBatch]
	c.inFlight--
	c.probedAt = now
	if timedOut && took < c.baseline {
		return // The deadline was shorter than the baseline, so the timeout does not indicate overload.
	}
	c.observe(now, took)
	if c.answers < minAnswers {
		return
	}
	switch {
	case timedOut || float64(c.mean) > congestedRatio*float64(c.baseline):
		c.reduce(now)
	case busy: // Otherwise the limit is not reached, and the answer is no evidence for a higher one.
		c.limit = min(c.limit+1/c.limit, maxLimit)
	}
}

// reduce lowers the limit, at most once per baseline latency: answers that arrive within that time
// belong to requests admitted under the previous limit.
func (c *Controller) reduce(now time.Time) {
	if now.Sub(c.reducedAt) >= c.baseline {
		c.reducedAt = now
		c.limit = max(c.limit*decreaseFactor, minLimit)
	}
}

// observe adds a latency sample to the mean and updates the baseline.
func (c *Controller) observe(now time.Time, took time.Duration) {
	c.answers++
	if c.answers == 1 {
		c.mean, c.baseline, c.baselineAt = took, took, now
		return
	}
	c.mean += time.Duration(float64(took-c.mean) * max(latencyWeight, 1/float64(c.answers)))
	if c.answers < minAnswers {
		c.baseline, c.baselineAt = c.mean, now
		return
	}
	drift := driftPerSecond
	if c.limit <= minLimit {
		drift = minLimitDriftPerSecond
	}
	c.baseline += time.Duration(float64(c.baseline) * drift * now.Sub(c.baselineAt).Seconds())
	c.baseline, c.baselineAt = min(c.baseline, c.mean), now
}
