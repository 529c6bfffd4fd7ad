// Package roster decides which targets exist, from a list whose entries are added, changed and removed,
// and whose store is unavailable at times.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Entry is the entry that a target publishes about itself.
type Entry struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation distinguishes successive processes with the same id.
	Incarnation int64 `json:"incarnation"`
	Draining    bool  `json:"draining,omitempty"`
	Slots       int   `json:"slots"`
	// Sequence counts what the target has written since its start, 0 if it is not stated.
	Sequence int64 `json:"sequence,omitempty"`
	// ColdFor is the remaining time for which the target is slow after its start, counted from the read
	// of the entry.
	ColdFor time.Duration `json:"cold,omitempty"`
}

// Change is one change of the list.
type Change struct {
	ID string
	// Entry is nil if the entry was removed or no longer describes a usable target.
	Entry *Entry
}

// Roster is the set of entries. It is not safe for concurrent use.
type Roster struct {
	entries map[string]Entry
	warmAt  map[string]time.Time // time at which a cold target becomes warm
	// addressReused contains entries whose address belongs to another target.
	addressReused map[string]Entry
	leaving       map[string]leaveNotice // of the targets that have said that they are leaving
	left          map[string]removal     // the entries that were removed within restoreMemory
	// era is the era of the list, and known what was known of each entry when it began, until knownUntil.
	era        uint64
	known      map[string]knownEntry
	knownUntil time.Time
}

// restoreMemory is the time for which entries that have left are remembered, in case that the store comes back from a
// copy in which they stand. It exceeds the age of a copy, and the time after which the store removes the entry of a
// target that no longer writes.
const restoreMemory = time.Minute

// leaveMemory is the time for which it is remembered that a target is leaving, whatever the list says of it. It exceeds the
// time for which a leaving target still serves.
const leaveMemory = 10 * time.Minute

// leaveNotice is what one start of a target has said.
type leaveNotice struct {
	incarnation int64
	at          time.Time
}

// removal is an entry that has been removed.
type removal struct {
	entry Entry
	at    time.Time
}

// knownEntry is what was known of an entry before a restore.
type knownEntry struct {
	entry Entry
	gone  bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Entry{}, addressReused: map[string]Entry{}, warmAt: map[string]time.Time{}, left: map[string]removal{}, leaving: map[string]leaveNotice{}}
}

// BeginEra must be called before changes of a later era of the list are applied: the list has been restored from a copy,
// in which targets stand that have left or are draining. An entry of the copy is then ignored until its target has
// written again. BeginEra reports whether any entry was known before.
func (r *Roster) BeginEra(now time.Time, era uint64) bool {
	if era <= r.era {
		return false
	}
	r.era = era
	r.known, r.knownUntil = map[string]knownEntry{}, now.Add(restoreMemory)
	for id, left := range r.left {
		if now.Sub(left.at) < restoreMemory {
			r.known[id] = knownEntry{entry: left.entry, gone: true}
		}
	}
	for id, e := range r.entries {
		r.known[id] = knownEntry{entry: e}
	}
	return len(r.known) > 0
}

// isFromCopy reports whether an entry is older than what was known before the list was restored.
func (r *Roster) isFromCopy(now time.Time, e Entry) bool {
	if !now.Before(r.knownUntil) {
		r.known = nil
	}
	k, ok := r.known[e.ID]
	switch {
	case !ok:
		return false
	case e.Incarnation < k.entry.Incarnation:
		return true
	case e.Incarnation == k.entry.Incarnation && e.Sequence > 0 && e.Sequence <= k.entry.Sequence:
		return k.gone || k.entry.Draining
	}
	delete(r.known, e.ID)
	return false
}

// Replace sets the entries to those of a full list. incomplete is set if the list was read soon after its
// store was unavailable: entries may be missing only because they lapsed meanwhile. Missing entries are
// then kept, except those of draining targets, until the next complete list. They do not expire, since
// the absence of a list is no evidence that a target has stopped.
func (r *Roster) Replace(now time.Time, list []Entry, incomplete bool) {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		r.put(now, e)
	}
	for id, e := range r.entries {
		if !seen[id] && (!incomplete || e.Draining) {
			r.remove(now, id)
		}
	}
	maps.DeleteFunc(r.addressReused, func(id string, _ Entry) bool { return !seen[id] })
}

// Apply applies changes of the list.
func (r *Roster) Apply(now time.Time, changes []Change) {
	for _, c := range changes {
		if c.Entry == nil {
			r.remove(now, c.ID)
			continue
		}
		r.put(now, *c.Entry)
	}
}

func (r *Roster) put(now time.Time, e Entry) {
	if r.isFromCopy(now, e) {
		return
	}
	if reused, ok := r.addressReused[e.ID]; ok && reused.Address == e.Address && reused.Incarnation == e.Incarnation {
		return
	}
	if n, ok := r.leaving[e.ID]; ok && n.incarnation == e.Incarnation {
		e.Draining = true
	}
	delete(r.addressReused, e.ID)
	delete(r.warmAt, e.ID)
	if e.ColdFor > 0 {
		r.warmAt[e.ID] = now.Add(e.ColdFor)
	}
	r.entries[e.ID] = e
}

// OnLeaving marks a target as draining that has said so itself, before the list does. The mark holds for this start of the
// target, also if the list has it as ready. It reports whether the target was not draining before.
func (r *Roster) OnLeaving(now time.Time, e Entry) bool {
	maps.DeleteFunc(r.leaving, func(_ string, n leaveNotice) bool { return now.Sub(n.at) >= leaveMemory })
	known, ok := r.entries[e.ID]
	if !ok || known.Incarnation != e.Incarnation || known.Draining {
		return false
	}
	r.leaving[e.ID] = leaveNotice{incarnation: e.Incarnation, at: now}
	known.Draining = true
	r.entries[e.ID] = known
	return true
}

// OnAddressReused removes an entry whose address belongs to another target. The same entry is ignored
// until its address or incarnation changes or a list lacks it, since the other target keeps the address.
func (r *Roster) OnAddressReused(e Entry) {
	if known, ok := r.entries[e.ID]; ok && known.Address == e.Address && known.Incarnation == e.Incarnation {
		r.addressReused[e.ID] = e
		delete(r.entries, e.ID)
		delete(r.warmAt, e.ID)
	}
}

func (r *Roster) remove(now time.Time, id string) {
	maps.DeleteFunc(r.left, func(_ string, l removal) bool { return now.Sub(l.at) >= restoreMemory })
	if e, ok := r.entries[id]; ok {
		r.left[id] = removal{entry: e, at: now}
	}
	delete(r.entries, id)
	delete(r.warmAt, id)
}

// State is what the list says of one start of a target.
type State uint8

const (
	// Listed means that the list has the entry, or may lack it only because it is incomplete.
	Listed State = iota
	// Replaced means that the list has a later start of the target, or that another target has its address.
	Replaced
	// Removed means that the list has neither.
	Removed
)

var stateNames = [...]string{"listed", "replaced", "removed"}

// String returns the name used in logs.
func (s State) String() string { return stateNames[s] }

// StateOf returns the state of a target that had the given entry.
func (r *Roster) StateOf(e Entry) State { return r.States()(e) }

// States returns StateOf for many entries, until the roster changes.
func (r *Roster) States() func(Entry) State {
	latest := make(map[string]int64, len(r.entries)) // incarnation, by address
	for _, e := range r.entries {
		latest[e.Address] = max(latest[e.Address], e.Incarnation)
	}
	return func(e Entry) State {
		reused, isReused := r.addressReused[e.ID]
		now, known := r.entries[e.ID]
		switch {
		case isReused && reused.Incarnation == e.Incarnation, known && now.Incarnation > e.Incarnation, latest[e.Address] > e.Incarnation:
			return Replaced
		case known && now.Incarnation == e.Incarnation:
			return Listed
		}
		return Removed
	}
}

// IsDraining reports whether the list has this start of a target as draining.
func (r *Roster) IsDraining(e Entry) bool {
	now, ok := r.entries[e.ID]
	return ok && now.Incarnation == e.Incarnation && now.Draining
}

// ReadyCount returns the number of targets that are not draining.
func (r *Roster) ReadyCount() int {
	n := 0
	for _, e := range r.entries {
		if !e.Draining {
			n++
		}
	}
	return n
}

// Entries returns all entries, including those of draining targets, sorted by id.
func (r *Roster) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(r.entries))
	for id, e := range r.entries {
		e.ColdFor = max(0, r.warmAt[id].Sub(now))
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
