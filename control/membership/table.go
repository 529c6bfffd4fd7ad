// Package membership decides which instances are members of the fleet and in which state.
package membership

import (
	"cmp"
	"slices"
)

// State is the state of a member as known here.
type State uint8

const (
	// Starting members take no requests yet.
	Starting State = iota + 1
	// Live members take requests.
	Live
	// Suspect members have missed exchanges.
	Suspect
	// Leaving members finish what they have and take nothing new.
	Leaving
	// Dead members are gone until they come back with a higher incarnation.
	Dead
)

var stateNames = [...]string{"", "starting", "live", "suspect", "leaving", "dead"}

// String returns the name used in status output and events.
func (s State) String() string { return stateNames[s] }

// Member is one instance.
type Member struct {
	ID            string
	Address       string
	FailureDomain string
	// Incarnation is raised by the member alone.
	Incarnation uint64
	State       State
	// ConfigSequence is the sequence number of the configuration in force at the member.
	ConfigSequence uint64
}

// Table merges what is known about members. It is not safe for concurrent use.
type Table struct {
	self    string
	members map[string]Member
}

// NewTable returns a table that holds the instance itself.
func NewTable(self Member) *Table {
	return &Table{self: self.ID, members: map[string]Member{self.ID: self}}
}

// Merge takes a record if it is newer than the known one and reports whether it did. A higher
// incarnation wins; within one incarnation the later state wins.
func (t *Table) Merge(m Member) bool {
	if m.ID == t.self {
		return false
	}
	old, known := t.members[m.ID]
	newer := cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.State, old.State),
		cmp.Compare(m.ConfigSequence, old.ConfigSequence)) > 0
	if known && !newer {
		return false
	}
	t.members[m.ID] = m
	return true
}

// SetSelf replaces the record of the instance itself.
func (t *Table) SetSelf(change func(*Member)) {
	m := t.members[t.self]
	change(&m)
	t.members[t.self] = m
}

// Self returns the record of the instance itself.
func (t *Table) Self() Member { return t.members[t.self] }

// Members returns all known members sorted by id.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
