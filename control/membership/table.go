package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// deadRetention is the time for which a dead member's record is kept and contact is retried. It
	// exceeds a partition between regions of one hour, so that both sides reconnect afterwards.
	deadRetention = 2 * time.Hour
	// tombstoneTTL is the time after deadRetention for which records of the reaped incarnation are
	// refused. A stale record that arrives later adds the member again, and missed exchanges then
	// declare it dead.
	tombstoneTTL = 24 * time.Hour
	// recentChangeAge is the maximum age of the changes that are sent to a peer for which there was no
	// exchange before. It has older changes from other members or gets them with a full state.
	recentChangeAge = 10 * time.Second
)

type entry struct {
	Member
	// version and confirmedVersion are the table versions at which the record and its ConfigSequence
	// last changed.
	version, confirmedVersion uint64
	// from and confirmedFrom are the ids of the peers that sent the changes, which are not sent back.
	from, confirmedFrom string
	changedAt           time.Time
}

// tombstone refuses records of a reaped member up to an incarnation.
type tombstone struct {
	incarnation uint64
	expires     time.Time
}

// Table merges member records from all sources. It is not safe for concurrent use.
type Table struct {
	self       string
	entries    map[string]*entry
	byKey      map[uint64]*entry
	tombstones map[string]tombstone
	version    uint64
	hash       uint64
	changes    []Member
	rings      []*ring
}

// NewTable returns a table that contains only the instance itself. Versions start above the
// incarnation, so that peers detect that a restarted instance has lost its table.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{
		self: self.ID, entries: map[string]*entry{}, byKey: map[uint64]*entry{},
		tombstones: map[string]tombstone{}, version: self.Incarnation,
	}
	for number := range ringCount + spareRingCount {
		t.rings = append(t.rings, newRing(number))
	}
	t.store(self, self.ID, now)
	return t
}

// Merge stores a record from a peer if it supersedes the known one and reports whether the table
// changed. A record of the instance itself that supersedes its own is refuted with a higher
// incarnation.
func (t *Table) Merge(m Member, from string, now time.Time) bool {
	if m.ID == t.self {
		return t.refute(m, now)
	}
	if f, ok := t.tombstones[m.ID]; ok && m.Incarnation <= f.incarnation {
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

// refute raises the incarnation of the instance itself above that of a record that supersedes its own.
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
	old, ok := t.entries[m.ID]
	if ok {
		t.hash ^= old.digest()
		delete(t.byKey, old.key())
	}
	t.version++
	e := &entry{Member: m, version: t.version, from: from, changedAt: now}
	if ok && old.Incarnation == m.Incarnation {
		e.confirmedVersion, e.confirmedFrom = old.confirmedVersion, old.confirmedFrom
	}
	t.entries[m.ID] = e
	t.byKey[m.key()] = e
	t.hash ^= m.digest()
	t.changes = append(t.changes, m)
	for _, r := range t.rings {
		r.set(m)
	}
}

// SetSelfState changes the state of the instance itself. A change to an earlier state increases the
// incarnation.
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

// Confirm records the configuration that a member has put in force. It reports whether the record
// changed.
func (t *Table) Confirm(key, sequence uint64, from string, now time.Time) bool {
	e, ok := t.byKey[key]
	if !ok || sequence <= e.ConfigSequence || (e.ID == t.self && from != t.self) {
		return false
	}
	t.version++
	e.ConfigSequence = sequence
	e.confirmedVersion, e.confirmedFrom, e.changedAt = t.version, from, now
	return true
}

// Reaped reports whether a member was removed after it had been dead for deadRetention and has not
// returned.
func (t *Table) Reaped(id string) bool {
	_, ok := t.entries[id]
	_, reaped := t.tombstones[id]
	return reaped && !ok
}

// Reap removes members that have been dead for deadRetention. Records of the removed incarnation are
// then refused for tombstoneTTL.
func (t *Table) Reap(now time.Time) {
	for id, e := range t.entries {
		if e.State != Dead || now.Sub(e.changedAt) < deadRetention {
			continue
		}
		delete(t.entries, id)
		delete(t.byKey, e.key())
		t.tombstones[id] = tombstone{incarnation: e.Incarnation, expires: now.Add(tombstoneTTL)}
	}
	for id, f := range t.tombstones {
		if !now.Before(f.expires) {
			delete(t.tombstones, id)
		}
	}
}

// Difference returns the records and confirmations that a peer lacks: those that changed after the
// table version since, or those that changed recently if since is not a version of this table.
func (t *Table) Difference(since uint64, peer string, now time.Time) ([]Member, []Confirmation) {
	if since == t.version {
		return nil, nil
	}
	known := t.isOwnVersion(since)
	var records []Member
	confirmed := map[uint64][]uint64{}
	for _, e := range t.entries {
		recent := now.Sub(e.changedAt) < recentChangeAge
		switch {
		case e.from != peer && (known && e.version > since || !known && recent):
			records = append(records, e.Member)
		case e.confirmedFrom != peer && (known && e.confirmedVersion > since || !known && recent && e.confirmedVersion > 0):
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

// isOwnVersion reports whether since is a current or earlier version of this table.
func (t *Table) isOwnVersion(since uint64) bool {
	return since <= t.version && since+uint64(maxVersionLag) > t.version
}

// maxVersionLag is the number of versions after which a peer is treated as new. It separates versions
// of this table from the far lower ones of an earlier process with the same id.
const maxVersionLag = 1_000_000

// Hash returns the membership hash. Equal hashes mean equal ids, incarnations and states of all members
// that are not dead.
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
