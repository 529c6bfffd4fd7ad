// Package roster decides which targets exist, from a list whose entries come, change and vanish, and
// whose store is away at times.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
	// ColdFor is the time for which the target is still slow after its start, from when the entry was read.
	ColdFor time.Duration `json:"cold,omitempty"`
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
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Entry{}, misplaced: map[string]Entry{}, warm: map[string]time.Time{}}
}

// Replace takes the whole list. lapsed is set if it was read soon after its store was away: entries may
// be missing only because they have lapsed meanwhile, so that missing ones are kept, but for those of
// draining targets. The next list that is not lapsed decides on them; the mere passing of time does
// not, since a list that does not come proves nothing.
func (r *Roster) Replace(now time.Time, list []Entry, lapsed bool) {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		r.put(now, e)
	}
	for id, e := range r.entries {
		if !seen[id] && (!lapsed || e.Draining) {
			r.remove(id)
		}
	}
	maps.DeleteFunc(r.misplaced, func(id string, _ Entry) bool { return !seen[id] })
}

// Apply takes changes.
func (r *Roster) Apply(now time.Time, changes []Change) {
	for _, c := range changes {
		if c.Entry == nil {
			r.remove(c.ID)
			continue
		}
		r.put(now, *c.Entry)
	}
}

func (r *Roster) put(now time.Time, e Entry) {
	if m, ok := r.misplaced[e.ID]; ok && m.Address == e.Address && m.Incarnation == e.Incarnation {
		return
	}
	delete(r.misplaced, e.ID)
	delete(r.warm, e.ID)
	if e.ColdFor > 0 {
		r.warm[e.ID] = now.Add(e.ColdFor)
	}
	r.entries[e.ID] = e
}

// OnAddressReused takes that another target has the address of this one. The entry is left out until it
// changes: its address belongs to the other target for good.
func (r *Roster) OnAddressReused(e Entry) {
	if known, ok := r.entries[e.ID]; ok && known.Address == e.Address && known.Incarnation == e.Incarnation {
		r.misplaced[e.ID] = e
		r.remove(e.ID)
	}
}

func (r *Roster) remove(id string) {
	delete(r.entries, id)
	delete(r.warm, id)
}

// ReadyCount returns the number of entries of targets that are not draining.
func (r *Roster) ReadyCount() int {
	n := 0
	for _, e := range r.entries {
		if !e.Draining {
			n++
		}
	}
	return n
}

// Entries returns all entries, those of draining targets included, sorted by id.
func (r *Roster) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(r.entries))
	for id, e := range r.entries {
		e.ColdFor = max(0, r.warm[id].Sub(now))
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
