// Package admission decides early whether a search may start, so that a request that cannot finish
// by its deadline costs no target anything.
package admission

import (
	"time"

	"hyssopcroft.example/query"
)

const (
	// initialLimit is above what an instance uses without overload, so that nothing is refused before
	// the lowest latency is known.
	initialLimit = 128.0
	minLimit     = 4.0
	maxLimit     = 4096.0
	// congested is the ratio of the average latency to the lowest one above which the limit falls.
	// It includes the wait of lower priority for a place at a target (Ticket.Overload); at 2.5, slots
	// were idle at 1.5 times capacity.
	congested = 2.6
	// loaded is the ratio above which requests of lower priority make room at the targets. Beginning at
	// the first refusal was too late: the queues that had formed by then lasted for seconds.
	loaded = 1.1
	// cut is the factor by which the limit falls, at most once in the time that an answer takes.
	cut = 0.95
	// smoothing is the weight of an answer in the average latency.
	smoothing = 1.0 / 64
	// driftPerSecond lets the lowest average rise under lasting load, in case the index has become
	// slower for good: 6 % a minute.
	driftPerSecond = 0.001
	// floorDriftPerSecond takes its place while the limit is at its lowest, since this instance's load
	// is then not what makes answers slow.
	floorDriftPerSecond = 0.02
	// staleAfter is the time without an answer after which one request may test whether the usual
	// latency has fallen. Otherwise an index that was slow at first would be refused for good.
	staleAfter = time.Second
	// overloadMemory is the time after a refusal for which overload is taken to last. Refusals come
	// many times a second under overload.
	overloadMemory = time.Second
	// firstRetryAfter is advised while no latency is known: a tenth of a second is about the time in
	// which 99 of 100 answers are due.
	firstRetryAfter = 100 * time.Millisecond
	// leastAnswers is the number of answers after which the averages are used.
	leastAnswers = 128
)

// share is the part of the limit that a priority may fill. Batch is refused first; the part that is
// left to high priority covers what it asks for in one limit's time.
var share = [...]float64{query.PriorityBatch: 0.6, query.PriorityNormal: 0.8, query.PriorityHigh: 1}

// Verdict says why a request was refused.
type Verdict uint8

const (
	// Admitted requests have to be reported to Done.
	Admitted Verdict = iota
	// TooLate means that the usual latency exceeds the time left.
	TooLate
	// Full means that the instance has as many requests in flight as the priority may use.
	Full
)

var verdictNames = [...]string{"admitted", "too_late", "full"}

// String returns the name used in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Controller admits the searches of one index at one instance. It learns the number of requests in
// flight at which their latency rises. It is not safe for concurrent use.
type Controller struct {
	limit    float64
	inFlight int
	answers  int
	mean     time.Duration // moving average of the latency
	lowest   time.Duration // lowest value of mean, rising slowly
	drifted  time.Time
	reduced  time.Time
	refused  time.Time // latest refusal for lack of room
	checked  time.Time // latest answer, or latest request admitted to test the usual latency
}

// New returns a controller that has learnt nothing.
func New() *Controller { return &Controller{limit: initialLimit} }

// Ticket is an admitted request.
type Ticket struct {
	// Overload is set if a request was refused for lack of room within the last second.
	Overload bool

	started time.Time
}

// Admit decides on a request that arrives now. RetryAfter applies to refusals.
func (c *Controller) Admit(now time.Time, p query.Priority, timeLeft time.Duration) (Ticket, Verdict) {
	switch {
	case c.tooLate(now, timeLeft):
		return Ticket{}, TooLate
	case float64(c.inFlight) >= c.limit*share[p]:
		c.refused = now
		return Ticket{}, Full
	}
	c.inFlight++
	return Ticket{started: now, Overload: c.overloaded(now)}, Admitted
}

// tooLate reports whether the usual latency is known and exceeds the time left.
func (c *Controller) tooLate(now time.Time, timeLeft time.Duration) bool {
	if c.answers < leastAnswers || c.lowest <= timeLeft {
		return false
	}
	if now.Sub(c.checked) < staleAfter {
		return true
	}
	c.checked = now
	return false
}

// overloaded reports whether requests of lower priority are to make room at the targets. It begins
// before the first refusal, because the queues that form until then take seconds to pass.
func (c *Controller) overloaded(now time.Time) bool {
	queueing := c.answers >= leastAnswers && float64(c.mean) > loaded*float64(c.lowest)
	return queueing || now.Sub(c.refused) < overloadMemory
}

// RetryAfter returns the time after which a refused request may find room: the usual latency.
func (c *Controller) RetryAfter() time.Duration {
	if c.answers == 0 {
		return firstRetryAfter
	}
	return c.mean
}

// Abandon takes the end of an admitted request that says nothing about load: its caller has gone, or
// a shard is missing for another reason than the deadline.
func (c *Controller) Abandon() { c.inFlight-- }

// Done takes the end of an admitted request. timedOut is set if a shard is missing because of the
// deadline, which is a sign of overload as well.
func (c *Controller) Done(now time.Time, t Ticket, timedOut bool) {
	took := now.Sub(t.started)
	busy := float64(c.inFlight) >= c.limit*share[query.PriorityBatch]
	c.inFlight--
	c.checked = now
	if timedOut && took < c.lowest {
		return // The deadline was shorter than the usual latency, so it shows no overload.
	}
	c.learn(now, took)
	if c.answers < leastAnswers {
		return
	}
	switch {
	case timedOut || float64(c.mean) > congested*float64(c.lowest):
		c.reduce(now)
	case busy: // Otherwise the limit is not in use, and the answer says nothing about a higher one.
		c.limit = min(c.limit+1/c.limit, maxLimit)
	}
}

// reduce lowers the limit. The answers that arrive within the next lowest latency belong to requests
// that were admitted before.
func (c *Controller) reduce(now time.Time) {
	if now.Sub(c.reduced) >= c.lowest {
		c.reduced = now
		c.limit = max(c.limit*cut, minLimit)
	}
}

func (c *Controller) learn(now time.Time, took time.Duration) {
	c.answers++
	if c.answers == 1 {
		c.mean, c.lowest, c.drifted = took, took, now
		return
	}
	c.mean += time.Duration(float64(took-c.mean) * max(smoothing, 1/float64(c.answers)))
	if c.answers < leastAnswers {
		c.lowest, c.drifted = c.mean, now
		return
	}
	drift := driftPerSecond
	if c.limit <= minLimit {
		drift = floorDriftPerSecond
	}
	c.lowest += time.Duration(float64(c.lowest) * drift * now.Sub(c.drifted).Seconds())
	c.lowest, c.drifted = min(c.lowest, c.mean), now
}
