// Package quarantine decides which requests are held back because they may crash every target that
// runs them. It does no I/O.
package quarantine

import (
	"container/list"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

const (
	// HoldDuration is the time for which a suspected or confirmed request is kept. A confirmed one is refused
	// for that long and then released through one canary.
	HoldDuration = 10 * time.Minute
	// mostEntries bounds the fingerprints, and mostShapes the shapes, that an instance remembers. At
	// about 200 bytes each they stay within 2 MB of the 64 MB for control.
	mostEntries = 4096
	mostShapes  = 4096
	// confirmingCrashes is the number of crashed targets that confirms a suspect. One crash may have
	// another cause.
	confirmingCrashes = 2
)

// Verdict says how a request may run.
type Verdict uint8

const (
	// Run lets the request ask all shards at once.
	Run Verdict = iota
	// Canary lets the request run on one target, and on the others once that has answered.
	Canary
	// Wait holds the request back until the canary of the same request has ended.
	Wait
	// Refuse says that the request is confirmed, or suspected with no shard left for a canary.
	Refuse
)

// Crash is one target that ended while it ran the request. Target is empty if only the shard is known.
type Crash struct {
	Shard  query.Shard    `json:"shard"`
	Target query.TargetID `json:"target,omitempty"`
}

// same reports whether two reports are of the same crash. The entry of a query over two levels learns
// the shard only.
func (c Crash) same(o Crash) bool {
	return c.Target == o.Target || c.Shard == o.Shard && (c.Target == "" || o.Target == "")
}

// entry is what is known of one fingerprint that is suspected, confirmed or has a canary in flight.
type entry struct {
	crashes  []Crash // distinct targets, at most as many as confirm the request
	held     time.Time
	inFlight bool // a canary of this instance
}

// List holds suspected and confirmed fingerprints and the shapes that have succeeded. It is not safe
// for concurrent use.
type List struct {
	confirming int // crashed targets that confirm a suspect
	entries    recent[Fingerprint, *entry]
	shapes     recent[Shape, struct{}]
}

// NewList returns an empty list for requests that run as canaries first.
func NewList() *List { return NewListWithThreshold(confirmingCrashes) }

// NewListWithThreshold returns an empty list that confirms a request once the given number of targets has crashed.
func NewListWithThreshold(confirming int) *List {
	return &List{confirming: confirming, entries: newRecent[Fingerprint, *entry](mostEntries), shapes: newRecent[Shape, struct{}](mostShapes)}
}

func (l *List) confirmed(e *entry) bool { return len(e.crashes) >= l.confirming }

// Empty reports whether nothing is suspected.
func (l *List) Empty() bool { return len(l.entries.items) == 0 }

// Refuses reports whether a request is confirmed and its hold has not ended.
func (l *List) Refuses(now time.Time, f Fingerprint) bool {
	e, known := l.entries.get(f)
	return known && l.confirmed(e) && now.Before(e.held.Add(HoldDuration))
}

// Admit says how a request may run. After Canary, EndCanary has to be called.
func (l *List) Admit(now time.Time, f Fingerprint, s Shape) Verdict {
	e, known := l.entries.get(f)
	if !known {
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

// CrashedShards returns the shards on which the next canary of a request must not run, because a replica of
// them crashed within Hold.
func (l *List) CrashedShards(now time.Time, f Fingerprint) []query.Shard {
	crashes := l.RecentCrashes(now, f)
	shards := make([]query.Shard, 0, len(crashes))
	for _, c := range crashes {
		shards = append(shards, c.Shard)
	}
	return shards
}

// RecentCrashes returns the crashes on a request within Hold, at most as many as confirm it.
func (l *List) RecentCrashes(now time.Time, f Fingerprint) []Crash {
	e, known := l.entries.get(f)
	if !known || !now.Before(e.held.Add(HoldDuration)) {
		return nil
	}
	return slices.Clone(e.crashes)
}

// Crashes returns the number of targets that are known to have crashed on the request, at most as many as
// confirm it.
func (l *List) Crashes(f Fingerprint) int {
	if e, known := l.entries.get(f); known {
		return len(e.crashes)
	}
	return 0
}

// HeldBack reports whether the request may run only as a canary, or not at all.
func (l *List) HeldBack(f Fingerprint) bool {
	return l.Crashes(f) > 0
}

// RetryAfter returns the time until a held request is released.
func (l *List) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	if e, known := l.entries.get(f); known {
		return max(0, e.held.Add(HoldDuration).Sub(now))
	}
	return 0
}

// RemoveShape takes a shape's standing, because an instance elsewhere holds back a request of that shape.
func (l *List) RemoveShape(s Shape) { l.shapes.remove(s) }

// EndCanary ends a canary, whatever came of it.
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

// Answered takes that a target answered the request. That clears it, and its shape has succeeded.
func (l *List) Answered(f Fingerprint, s Shape) {
	l.entries.remove(f)
	l.shapes.put(s, struct{}{})
}

// Crashed takes that a target crashed while it ran a request that no target has answered. It reports
// whether this was not known yet, so that the peers have to be told.
func (l *List) Crashed(now time.Time, f Fingerprint, s Shape, c Crash) bool {
	l.shapes.remove(s)
	e, known := l.entries.get(f)
	if !known {
		e = &entry{}
		l.entries.put(f, e)
	}
	if !now.Before(e.held.Add(HoldDuration)) && l.confirmed(e) {
		// The canary after the release crashed: the request stays confirmed for another period.
		e.held, e.crashes[0] = now, c
		return true
	}
	if l.confirmed(e) || slices.ContainsFunc(e.crashes, c.same) {
		return false
	}
	e.crashes = append(e.crashes, c)
	e.held = now
	return true
}

// recent is a map that forgets the key that was not used for the longest time when it is full.
type recent[K comparable, V any] struct {
	most  int
	order *list.List // of K, the last used one first
	items map[K]item[V]
}

type item[V any] struct {
	value V
	at    *list.Element
}

func newRecent[K comparable, V any](most int) recent[K, V] {
	return recent[K, V]{most: most, order: list.New(), items: map[K]item[V]{}}
}

func (r *recent[K, V]) get(k K) (V, bool) {
	i, ok := r.items[k]
	if ok {
		r.order.MoveToFront(i.at)
	}
	return i.value, ok
}

func (r *recent[K, V]) put(k K, v V) {
	r.remove(k)
	r.items[k] = item[V]{value: v, at: r.order.PushFront(k)}
	if len(r.items) > r.most {
		r.remove(r.order.Back().Value.(K))
	}
}

func (r *recent[K, V]) remove(k K) {
	if i, ok := r.items[k]; ok {
		r.order.Remove(i.at)
		delete(r.items, k)
	}
}
