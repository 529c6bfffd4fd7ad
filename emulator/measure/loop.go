package measure

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// Loop runs events in the order of virtual time. Events of the same time run in the order in which
// they were added. It uses no goroutine and no wall clock.
type Loop struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// NewLoop returns a loop without events.
func NewLoop() *Loop { return &Loop{now: epoch} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Elapsed returns the virtual time since the start.
func (l *Loop) Elapsed() time.Duration { return l.now.Sub(epoch) }

// At adds an event that fires at t, or at the current time if t is in the past.
func (l *Loop) At(t time.Time, fire func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.lastSequence++
	heap.Push(&l.events, event{at: t, sequence: l.lastSequence, fire: fire})
}

// After adds an event that fires when d has passed.
func (l *Loop) After(d time.Duration, fire func()) { l.At(l.now.Add(d), fire) }

// Run fires events until none remain.
func (l *Loop) Run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fire()
	}
}

type event struct {
	at       time.Time
	sequence uint64
	fire     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
