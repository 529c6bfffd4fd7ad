// Package timeline stores the latest events of a process in a ring buffer, so that the events of all
// processes can be collected and merged into one timeline.
package timeline

import (
	"sync"

	"hyssopcroft.example/kernel/hlc"
)

// Event is one state change of a process.
type Event struct {
	At hlc.Timestamp `json:"at"`
	// Process is the id of the instance or stand-in.
	Process string `json:"process"`
	// Kind names what changed, for example "config_in_force".
	Kind string `json:"kind"`
	// Subject is the plan, target, member or request that changed.
	Subject string `json:"subject"`
	// Detail describes the new state in one line.
	Detail string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the latest events of one process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   *hlc.Clock

	mu     sync.Mutex // guards events and next
	events []Event
	next   int // index of the oldest event once the ring is full
}

// NewRing returns a ring with capacity for size events.
func NewRing(process string, size int, clock *hlc.Clock) *Ring {
	return &Ring{process: process, clock: clock, events: make([]Event, 0, size)}
}

// Add stores an event with the current timestamp. If the ring is full, it replaces the oldest event.
func (r *Ring) Add(kind, subject, detail string) {
	ev := Event{At: r.clock.Now(), Process: r.process, Kind: kind, Subject: subject, Detail: detail}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, ev)
		return
	}
	r.events[r.next] = ev
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the stored events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Clock returns the clock that issues the timestamps of the events.
func (r *Ring) Clock() *hlc.Clock { return r.clock }
