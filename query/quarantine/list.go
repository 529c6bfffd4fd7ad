// Package quarantine decides which requests are restricted or refused because they may crash every target
// that runs them. It does no I/O.
package quarantine

import (
	"container/list"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

const (
	// HoldDuration is the time for which a suspected or confirmed request stays in quarantine. A confirmed one
	// is refused for that time and then released if one canary succeeds.
	HoldDuration = 10 * time.Minute
	// maxEntries bounds the fingerprints, and maxShapes the shapes, that an instance stores. At about 200
	// bytes each they take at most 2 MB of the 64 MB for control data.
	maxEntries = 4096
	maxShapes  = 4096
	// maxAnswered bounds the fingerprints of answered requests that an instance stores. At about 100 bytes each they take
	// at most 0.4 MB.
	maxAnswered = 4096
	// maxCrashes bounds the crashes that an instance stores of one request.
	maxCrashes = 32
	// firstTrialPause is the time from the confirmation of a request to its first trial. It doubles with each trial.
	firstTrialPause = 15 * time.Second
	// maxTrialDoublings bounds the pause, together with HoldDuration.
	maxTrialDoublings = 6
	// minTrialRetryAfter is the minimum delay advised to callers of a request that may be tried: the trial may have failed,
	// or another instance makes it.
	minTrialRetryAfter = 5 * time.Second
	// defaultCrashThreshold is the number of crashed targets that confirms a suspected request. A single
	// crash may have another cause.
	defaultCrashThreshold = 2
)

// Verdict is the way in which a request may run.
type Verdict uint8

const (
	// Run allows the request on all shards at once.
	Run Verdict = iota
	// Canary allows the request on one target first, and on the others once that target has answered.
	Canary
	// Wait means that the request must wait until the canary of the same request has ended.
	Wait
	// Refuse means that the request is confirmed, or suspected with no shard left for a canary.
	Refuse
)

// Crash is the crash of one target while it ran a request. Target is empty if only the shard is known.
type Crash struct {
	Shard  query.Shard    `json:"shard"`
	Target query.TargetID `json:"target,omitempty"`
	// At is the time at which the crash was seen, by the local clock. If it is set, the crash counts together with others
	// of the same moment, which may have a common cause: a host, a rack or a release.
	At time.Time `json:"-"`
	// Submission identifies the submission that ran on the target. Crashes of one moment count separately if they have the
	// same submission. It is 0 if that would prove too much: the crash is not proven, or targets have answered the request.
	Submission query.RequestID `json:"-"`
	// Began is the start of the submission, by the local clock, if only the list has shown the crash. At is then the time at
	// which the list showed it, which depends on when the target last wrote its entry, and Submission is always set.
	Began time.Time `json:"-"`
	// Shared is set if other submissions of the request that began at about the same time were unanswered at the target, too.
	Shared bool `json:"-"`
}

// isSilent reports whether only the list has shown the crash.
func (c Crash) isSilent() bool { return !c.Began.IsZero() }

// IsBefore reports whether a complete answer at the given time shows that the crash had another cause.
func (c Crash) IsBefore(answer time.Time) bool {
	if c.isSilent() {
		return !c.Began.After(answer)
	}
	return !c.At.After(answer)
}

// merge adds what another report says of the same silent crash. It reports whether that is new.
func (c *Crash) merge(o Crash) bool {
	before := *c
	switch later := c.Began.Sub(o.Began); {
	case c.Submission == o.Submission || later.Abs() < sameBurst:
		c.Shared = c.Shared || o.Shared || c.Submission != o.Submission
	case later > 0:
		*c = o // The target was silent already when the later submission came.
		c.At = before.At
	}
	return *c != before
}

// sameAs reports whether two reports describe the same crash. In a fan-out over two levels the entry
// instance receives only the shard.
func (c Crash) sameAs(o Crash) bool {
	return c.Target == o.Target || c.Shard == o.Shard && (c.Target == "" || o.Target == "")
}

// entry is the state of one fingerprint that is suspected, confirmed or has a canary in flight.
type entry struct {
	crashes   []Crash // of distinct targets, at most maxCrashes
	confirmed bool
	holdStart time.Time
	inFlight  bool // whether a canary of this instance is in flight
	trials    int  // since the request was confirmed
	lastTrial time.Time
}

// nextTrial returns the earliest time of the next trial.
func (e *entry) nextTrial() time.Time {
	last := e.holdStart
	if e.lastTrial.After(last) {
		last = e.lastTrial
	}
	return last.Add(min(firstTrialPause<<min(e.trials, maxTrialDoublings), HoldDuration))
}

// List holds suspected and confirmed fingerprints and the shapes that have succeeded. It is not safe
// for concurrent use.
type List struct {
	crashThreshold int // number of crashed targets that confirms a request
	heartbeat      time.Duration
	entries        lru[Fingerprint, *entry]
	shapes         lru[Shape, struct{}]
	answered       lru[Fingerprint, time.Time] // time of the last complete answer
}

// NewList returns an empty list with the default threshold, for requests that run as canaries first.
func NewList() *List { return NewListWithThreshold(defaultCrashThreshold) }

// NewListWithThreshold returns an empty list that confirms a request once the given number of targets has crashed.
func NewListWithThreshold(crashThreshold int) *List {
	return &List{
		crashThreshold: crashThreshold, heartbeat: defaultHeartbeat,
		entries:  newLRU[Fingerprint, *entry](maxEntries),
		shapes:   newLRU[Shape, struct{}](maxShapes),
		answered: newLRU[Fingerprint, time.Time](maxAnswered),
	}
}

// SetHeartbeat sets the time between two heartbeats of a target, which is the time over which the list shows targets that were
// lost together.
func (l *List) SetHeartbeat(d time.Duration) { l.heartbeat = d }

// Empty reports whether the list has no suspected or confirmed request and no canary in flight.
func (l *List) Empty() bool { return len(l.entries.items) == 0 }

// Refuses reports whether a request is confirmed and its hold has not ended.
func (l *List) Refuses(now time.Time, f Fingerprint) bool {
	e, known := l.entries.get(f)
	return known && e.confirmed && now.Before(e.holdStart.Add(HoldDuration))
}

// Admit decides how a request may run. After a result of Canary, EndCanary must be called.
func (l *List) Admit(now time.Time, f Fingerprint, s Shape) Verdict {
	e, ok := l.entries.get(f)
	if !ok {
		if _, succeeded := l.shapes.get(s); succeeded {
			return Run
		}
		l.entries.put(f, &entry{inFlight: true})
		return Canary
	}
	switch {
	case e.inFlight:
		return Wait
	case l.Refuses(now, f):
		return Refuse
	}
	e.inFlight = true
	return Canary
}

// CrashedShards returns the shards on which the next canary of a request must not run, because one of their
// replicas crashed within HoldDuration.
func (l *List) CrashedShards(now time.Time, f Fingerprint) []query.Shard {
	crashes := l.RecentCrashes(now, f)
	shards := make([]query.Shard, 0, len(crashes))
	for _, c := range crashes {
		shards = append(shards, c.Shard)
	}
	return shards
}

// RecentCrashes returns the crashes on a request within HoldDuration, at most as many as confirm it.
func (l *List) RecentCrashes(now time.Time, f Fingerprint) []Crash {
	e, ok := l.entries.get(f)
	if !ok || !now.Before(e.holdStart.Add(HoldDuration)) {
		return nil
	}
	return slices.Clone(e.crashes)
}

// Suspect is a request and the targets that crashed on it.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Suspects returns the requests on which targets crashed within HoldDuration, the latest first and at most limit.
func (l *List) Suspects(now time.Time, limit int) []Suspect {
	all := make([]Suspect, 0, len(l.entries.items))
	for f := range l.entries.items {
		if crashes := l.RecentCrashes(now, f); len(crashes) > 0 {
			all = append(all, Suspect{Fingerprint: f, Crashes: crashes})
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return l.entries.items[b.Fingerprint].value.holdStart.Compare(l.entries.items[a.Fingerprint].value.holdStart)
	})
	return all[:min(len(all), limit)]
}

// CrashCount returns the number of crashes that count against the request, at most as many as confirm it.
func (l *List) CrashCount(f Fingerprint) int {
	e, ok := l.entries.get(f)
	switch {
	case !ok:
		return 0
	case e.confirmed:
		return l.crashThreshold
	}
	return l.countCrashes(e.crashes)
}

// Restricted reports whether the request may run only as a canary, or not at all.
func (l *List) Restricted(f Fingerprint) bool {
	return l.CrashCount(f) > 0
}

// RetryAfter returns the time until a refused request may run again: the end of its hold, or its next trial.
func (l *List) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	e, ok := l.entries.get(f)
	if !ok {
		return 0
	}
	left := max(0, e.holdStart.Add(HoldDuration).Sub(now))
	if e.confirmed && l.mayBeHarmless(f, e) {
		left = min(left, max(minTrialRetryAfter, e.nextTrial().Sub(now)))
	}
	return left
}

// mayBeHarmless reports whether a confirmed request had a complete answer within HoldDuration before it was confirmed. It may
// have met several crashes that had another cause.
func (l *List) mayBeHarmless(f Fingerprint, e *entry) bool {
	at := l.LastAnswered(f)
	return !at.IsZero() && e.holdStart.Sub(at) < HoldDuration
}

// TrialIsDue reports whether a confirmed request may run once before its hold ends.
func (l *List) TrialIsDue(now time.Time, f Fingerprint) bool {
	e, ok := l.entries.get(f)
	return ok && l.Refuses(now, f) && l.mayBeHarmless(f, e) && !now.Before(e.nextTrial())
}

// BeginTrial records that a trial of a request begins for which TrialIsDue returns true.
func (l *List) BeginTrial(now time.Time, f Fingerprint) {
	if e, ok := l.entries.get(f); ok {
		e.lastTrial = now
		e.trials++
	}
}

// RemoveShape removes a shape from those that have succeeded, because another instance restricts a request of
// that shape.
func (l *List) RemoveShape(s Shape) { l.shapes.remove(s) }

// EndCanary records that the canary of a request has ended, with any result.
func (l *List) EndCanary(f Fingerprint) {
	e, known := l.entries.get(f)
	if !known {
		return
	}
	e.inFlight = false
	if len(e.crashes) == 0 {
		l.entries.remove(f)
	}
}

// RecordAnswer records that a target answered the request. This clears the request and marks its shape as
// succeeded.
func (l *List) RecordAnswer(f Fingerprint, s Shape) {
	l.entries.remove(f)
	l.shapes.put(s, struct{}{})
}

// RecordCompleteAnswer records that all targets that ran a request have answered it, at the given time. Crashes before that
// time no longer count. It reports whether that ends or weakens a suspicion, so that the peers must be notified.
func (l *List) RecordCompleteAnswer(at time.Time, f Fingerprint) bool {
	if known, ok := l.answered.get(f); !ok || at.After(known) {
		l.answered.put(f, at)
	}
	e, suspected := l.entries.get(f)
	if !suspected || e.confirmed && !at.After(e.holdStart) {
		return false
	}
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return e.confirmed || c.IsBefore(at) })
	e.confirmed = false
	if len(e.crashes) == 0 && !e.inFlight {
		l.entries.remove(f)
	}
	return len(e.crashes) < before
}

// LastAnswered returns the time of the last complete answer to a request, the zero time if none is known.
func (l *List) LastAnswered(f Fingerprint) time.Time {
	at, _ := l.answered.get(f)
	return at
}

// AnsweredRecently reports whether a request had a complete answer within HoldDuration.
func (l *List) AnsweredRecently(now time.Time, f Fingerprint) bool {
	at, ok := l.answered.get(f)
	return ok && now.Sub(at) < HoldDuration
}

// RecordCrash records that a target crashed while it ran a request that no target has answered since. It reports
// whether that is new, so that the peers must be notified.
func (l *List) RecordCrash(now time.Time, f Fingerprint, s Shape, c Crash) bool {
	if !c.At.IsZero() && c.IsBefore(l.LastAnswered(f)) {
		return false // The report arrived after that of the answer.
	}
	l.shapes.remove(s)
	e, ok := l.entries.get(f)
	if !ok {
		e = &entry{}
		l.entries.put(f, e)
	}
	if !now.Before(e.holdStart.Add(HoldDuration)) && e.confirmed {
		// The canary after the hold crashed its target: the request stays confirmed for another period.
		e.holdStart, e.crashes[0] = now, c
		return true
	}
	if e.confirmed || !l.add(e, c) {
		return false
	}
	e.holdStart = now
	e.confirmed = l.countCrashes(e.crashes) >= l.crashThreshold
	return true
}

// add adds a crash, or what is new about a known one. It reports whether anything is new.
func (l *List) add(e *entry, c Crash) bool {
	i := slices.IndexFunc(e.crashes, c.sameAs)
	switch {
	case i >= 0 && e.crashes[i].Submission == 0 && c.Submission != 0 && !c.isSilent():
		e.crashes[i].Submission = c.Submission
	case i >= 0 && e.crashes[i].isSilent() && c.isSilent():
		return e.crashes[i].merge(c)
	case i >= 0 || len(e.crashes) == maxCrashes || l.isRedundant(e.crashes, c):
		return false
	default:
		e.crashes = append(e.crashes, c)
	}
	return true
}

// lru is a map that evicts the least recently used key when it exceeds its capacity.
type lru[K comparable, V any] struct {
	capacity int
	order    *list.List // of K, most recently used first
	items    map[K]item[V]
}

type item[V any] struct {
	value V
	elem  *list.Element
}

func newLRU[K comparable, V any](capacity int) lru[K, V] {
	return lru[K, V]{capacity: capacity, order: list.New(), items: map[K]item[V]{}}
}

func (r *lru[K, V]) get(k K) (V, bool) {
	i, ok := r.items[k]
	if ok {
		r.order.MoveToFront(i.elem)
	}
	return i.value, ok
}

func (r *lru[K, V]) put(k K, v V) {
	r.remove(k)
	r.items[k] = item[V]{value: v, elem: r.order.PushFront(k)}
	if len(r.items) > r.capacity {
		r.remove(r.order.Back().Value.(K))
	}
}

func (r *lru[K, V]) remove(k K) {
	if i, ok := r.items[k]; ok {
		r.order.Remove(i.elem)
		delete(r.items, k)
	}
}
