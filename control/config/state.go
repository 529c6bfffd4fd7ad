package config

// State is the configuration in force at one instance. It is not safe for concurrent use.
type State struct {
	lists Lists
	known bool
}

// Offer puts the lists in force if they are newer than those in force now. It reports whether it
// did. A lower or equal sequence number is refused regardless of its source, so that a stale read or
// a late watch event cannot revert an edit.
func (s *State) Offer(lists Lists) bool {
	if s.known && lists.Sequence <= s.lists.Sequence {
		return false
	}
	s.lists = lists
	s.known = true
	return true
}

// InForce returns the lists in force, or false if there are none yet. The caller must not modify the
// maps.
func (s *State) InForce() (Lists, bool) { return s.lists, s.known }
