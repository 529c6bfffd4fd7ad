package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forgetAfter is the time for which a dead member's record is kept and tried again. It exceeds
	// the hour for which regions lose each other, so that both sides find each other afterwards.
	forgetAfter = 2 * time.Hour
	// refuseFor is the time after forgetAfter in which records of the forgotten incarnation are
	// still refused. A record older than that is found dead again by missed exchanges.
	refuseFor = 24 * time.Hour
	// recentChange is the age up to which changes are sent to a peer that was not exchanged with
	// before. Older changes have reached it through others, or a full state repairs them.
	recentChange = 10 * time.Second
)

type entry struct {
	Member
	// version and confirmed are the table's versions at which the record and ConfigSequence
	// changed last.
	version, confirmed uint64
	// from and confirmedFrom name the peers that told of the changes; they are not told again.
	from, confirmedFrom string
	changed             time.Time
}

type forgotten struct {
	incarnation uint64
	until       time.Time
}

// Table merges what is known about members. It is not safe for concurrent use.
type Table struct {
	self      string
	entries   map[string]*entry
	byKey     map[uint64]*entry
	forgotten map[string]forgotten
	version   uint64
	hash      uint64
	changes   []Member
	rings     []*ring
}

// NewTable returns a table that holds the instance itself. Versions start above the incarnation, so
// that peers see that a restarted instance has lost its table.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{
		self: self.ID, entries: map[string]*entry{}, byKey: map[uint64]*entry{},
		forgotten: map[string]forgotten{}, version: self.Incarnation,
	}
	for number := range rings + spareRings {
		t.rings = append(t.rings, newRing(number))
	}
	t.store(self, self.ID, now)
	return t
}

// Merge takes a record from a peer if it supersedes the known one and reports whether it did. A
// record of the instance itself that the instance did not write is refuted with a higher
// incarnation.
func (t *Table) Merge(m Member, from string, now time.Time) bool {
	if m.ID == t.self {
		return t.refute(m, now)
	}
	if f, ok := t.forgotten[m.ID]; ok && m.Incarnation <= f.incarnation {
		return false
	}
	old, known := t.entries[m.ID]
	if !known {
		if m.State != Dead {
			t.store(m, from, now)
		}
		return m.State != Dead
	}
	if !m.supersedes(old.Member) {
		return false
	}
	if m.Incarnation == old.Incarnation {
		m.ConfigSequence = max(m.ConfigSequence, old.ConfigSequence)
	}
	t.store(m, from, now)
	return true
}

// refute answers a record of the instance itself that contradicts its own.
func (t *Table) refute(m Member, now time.Time) bool {
	self := t.Self()
	if !m.supersedes(self) {
		return false
	}
	self.Incarnation = m.Incarnation + 1
	t.store(self, t.self, now)
	return true
}

func (t *Table) store(m Member, from string, now time.Time) {
	old, known := t.entries[m.ID]
	if known {
		t.hash ^= old.digest()
		delete(t.byKey, old.key())
	}
	t.version++
	e := &entry{Member: m, version: t.version, from: from, changed: now}
	if known && old.Incarnation == m.Incarnation {
		e.confirmed, e.confirmedFrom = old.confirmed, old.confirmedFrom
	}
	t.entries[m.ID] = e
	t.byKey[m.key()] = e
	t.hash ^= m.digest()
	t.changes = append(t.changes, m)
	for _, r := range t.rings {
		r.set(m)
	}
}

// SetSelfState changes the record of the instance itself. Incarnation and ConfigSequence are kept.
func (t *Table) SetSelfState(now time.Time, s State) {
	self := t.Self()
	if self.State == s {
		return
	}
	if s < self.State {
		self.Incarnation++
	}
	self.State = s
	t.store(self, t.self, now)
}

// Confirm notes the configuration that a member has put in force. It reports whether this is news.
func (t *Table) Confirm(key, sequence uint64, from string, now time.Time) bool {
	e, known := t.byKey[key]
	if !known || sequence <= e.ConfigSequence || (e.ID == t.self && from != t.self) {
		return false
	}
	t.version++
	e.ConfigSequence = sequence
	e.confirmed, e.confirmedFrom, e.changed = t.version, from, now
	return true
}

// Reaped reports whether a member was dropped after it had been dead for forgetAfter, and has not come
// back.
func (t *Table) Reaped(id string) bool {
	_, known := t.entries[id]
	_, forgotten := t.forgotten[id]
	return forgotten && !known
}

// Reap drops members that have been dead for forgetAfter. Records of the dropped incarnation are
// refused for refuseFor after that.
func (t *Table) Reap(now time.Time) {
	for id, e := range t.entries {
		if e.State != Dead || now.Sub(e.changed) < forgetAfter {
			continue
		}
		delete(t.entries, id)
		delete(t.byKey, e.key())
		t.forgotten[id] = forgotten{incarnation: e.Incarnation, until: now.Add(refuseFor)}
	}
	for id, f := range t.forgotten {
		if !now.Before(f.until) {
			delete(t.forgotten, id)
		}
	}
}

// Difference returns the records and confirmations that a peer lacks: those after the table version
// that it has, or the recent ones if since is not a version of this table.
func (t *Table) Difference(since uint64, peer string, now time.Time) ([]Member, []Confirmation) {
	if since == t.version {
		return nil, nil
	}
	known := t.knows(since)
	var records []Member
	confirmed := map[uint64][]uint64{}
	for _, e := range t.entries {
		recent := now.Sub(e.changed) < recentChange
		switch {
		case e.from != peer && (known && e.version > since || !known && recent):
			records = append(records, e.Member)
		case e.confirmedFrom != peer && (known && e.confirmed > since || !known && recent && e.confirmed > 0):
			confirmed[e.ConfigSequence] = append(confirmed[e.ConfigSequence], e.key())
		}
	}
	return records, confirmations(confirmed)
}

func confirmations(bySequence map[uint64][]uint64) []Confirmation {
	var out []Confirmation
	for sequence, keys := range bySequence {
		out = append(out, Confirmation{Sequence: sequence, Members: keys})
	}
	return out
}

// knows reports whether since is a version that this table has had.
func (t *Table) knows(since uint64) bool {
	return since <= t.version && since+uint64(maxVersionLag) > t.version
}

// maxVersionLag is the number of versions after which a peer counts as new. It separates versions
// of this table from those of an earlier process with the same id, which lie far below.
const maxVersionLag = 1_000_000

// Hash returns the membership hash: equal hashes mean equal records of all members not dead.
func (t *Table) Hash() uint64 { return t.hash }

// Self returns the record of the instance itself.
func (t *Table) Self() Member { return t.entries[t.self].Member }

// Get returns the record of a member.
func (t *Table) Get(id string) (Member, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all known members sorted by id.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TakeChanges returns the records that changed since the last call.
func (t *Table) TakeChanges() []Member {
	out := t.changes
	t.changes = nil
	return out
}
