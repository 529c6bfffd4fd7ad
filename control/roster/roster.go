// Package roster decides which targets exist, from a list whose entries come, change and vanish, and
// which is away at times.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// LapseGrace is the time after the list's return for which entries that vanished while it was away
// are kept. Targets that live have registered again by then.
const LapseGrace = 2 * time.Second

// Entry is what a target says of itself.
type Entry struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	// FailureDomain is that of the target.
	FailureDomain string `json:"failure_domain"`
	// Incarnation tells two lives under one id apart.
	Incarnation int64 `json:"incarnation"`
	Draining    bool  `json:"draining,omitempty"`
	Slots       int   `json:"slots"`
	// Cold is the time for which the target is still slow after its start, from when the entry was read.
	Cold time.Duration `json:"cold,omitempty"`
}

// Change is one change of the list.
type Change struct {
	ID string
	// Entry is nil if the entry was removed or no longer names a usable target.
	Entry *Entry
}

// Roster holds the entries. It is not safe for concurrent use.
type Roster struct {
	entries map[string]Entry
	warm    map[string]time.Time // when a cold target is warm
	// misplaced are entries whose address another target has.
	misplaced map[string]Entry
	lapsing   map[string]time.Time // when entries that vanished are taken to be gone
	backAt    time.Time            // when the list came back after it was away, the zero time if it never was
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Entry{}, misplaced: map[string]Entry{}, warm: map[string]time.Time{}, lapsing: map[string]time.Time{}}
}

// Replace takes the whole list.
func (r *Roster) Replace(now time.Time, list []Entry) {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		r.put(now, e)
	}
	for id := range r.entries {
		if !seen[id] {
			r.vanish(now, id)
		}
	}
	maps.DeleteFunc(r.misplaced, func(id string, _ Entry) bool { return !seen[id] })
}

// Apply takes changes.
func (r *Roster) Apply(now time.Time, changes []Change) {
	for _, c := range changes {
		if c.Entry == nil {
			r.vanish(now, c.ID)
			continue
		}
		r.put(now, *c.Entry)
	}
}

// Back takes that the list came back at the given time after it was away.
func (r *Roster) Back(at time.Time) {
	if at.After(r.backAt) {
		r.backAt = at
	}
}

func (r *Roster) put(now time.Time, e Entry) {
	if m, ok := r.misplaced[e.ID]; ok && m.Address == e.Address && m.Incarnation == e.Incarnation {
		return
	}
	delete(r.misplaced, e.ID)
	delete(r.lapsing, e.ID)
	delete(r.warm, e.ID)
	if e.Cold > 0 {
		r.warm[e.ID] = now.Add(e.Cold)
	}
	r.entries[e.ID] = e
}

// vanish removes an entry, at once unless it may have lapsed because the list was away.
func (r *Roster) vanish(now time.Time, id string) {
	e, known := r.entries[id]
	if !known {
		return
	}
	goneAt := r.backAt.Add(LapseGrace)
	if e.Draining || r.backAt.IsZero() || !now.Before(goneAt) {
		r.remove(id)
		return
	}
	if _, lapsing := r.lapsing[id]; !lapsing {
		r.lapsing[id] = goneAt
	}
}

// NextWake returns when OnWake is due, the zero time if nothing waits.
func (r *Roster) NextWake() time.Time {
	var next time.Time
	for _, at := range r.lapsing {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// OnWake removes the entries that have lapsed. It reports whether there were any.
func (r *Roster) OnWake(now time.Time) bool {
	removed := false
	for id, at := range r.lapsing {
		if !now.Before(at) {
			r.remove(id)
			removed = true
		}
	}
	return removed
}

// Misplaced takes that another target has the address of this one. The entry is left out until it
// changes: its address belongs to the other target for good.
func (r *Roster) Misplaced(e Entry) {
	if known, ok := r.entries[e.ID]; ok && known.Address == e.Address && known.Incarnation == e.Incarnation {
		r.misplaced[e.ID] = e
		r.remove(e.ID)
	}
}

func (r *Roster) remove(id string) {
	delete(r.entries, id)
	delete(r.lapsing, id)
	delete(r.warm, id)
}

// Entries returns all entries, those of draining targets included, sorted by id.
func (r *Roster) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(r.entries))
	for id, e := range r.entries {
		e.Cold = max(0, r.warm[id].Sub(now))
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
