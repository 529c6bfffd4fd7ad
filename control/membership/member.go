// Package membership decides which instances are members of the fleet and in which state: which peers
// an instance exchanges records with, when an unresponsive peer becomes suspect and is declared dead,
// and which record replaces another. Suspicion, refutation and incarnations follow Das et al., "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
package membership

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as recorded by an instance. Within one incarnation a later state
// replaces an earlier one.
type State uint8

const (
	// Starting members accept no requests yet. Members known only from the platform's list are
	// starting, with incarnation 0.
	Starting State = iota + 1
	// Live members accept requests.
	Live
	// Suspect members have missed exchanges and are declared dead unless they refute the suspicion.
	Suspect
	// Leaving members finish the requests in flight and accept no new ones.
	Leaving
	// Dead members have left or are considered failed. They return only with a higher incarnation.
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
	// Incarnation is increased only by the member itself.
	Incarnation uint64
	State       State
	// ConfigSequence is the sequence number of the configuration in force at the member.
	ConfigSequence uint64
	// Capacity is the processor capacity in thousandths of a core, 0 if it is not known.
	Capacity uint32
}

// supersedes reports whether m replaces old: a higher incarnation wins, then the later state.
func (m Member) supersedes(old Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.State, old.State)) > 0
}

// key identifies one incarnation of a member in a Confirmation, so that a late confirmation of an
// earlier incarnation is not applied to the current one.
func (m Member) key() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(m.ID), m.Incarnation))
}

// LiveIDs returns the ids of the live members, in the order of the input.
func LiveIDs(members []Member) []string {
	var ids []string
	for _, m := range members {
		if m.State == Live {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// digest returns the member's contribution to the membership hash. It is 0 for dead members, so that
// instances which reap a dead member at different times still agree on the hash.
func (m Member) digest() uint64 {
	if m.State == Dead {
		return 0
	}
	raw := binary.BigEndian.AppendUint64([]byte(m.ID), m.Incarnation)
	return xxhash.Sum64(append(raw, byte(m.State)))
}

// Confirmation reports that members have put a configuration in force.
type Confirmation struct {
	Sequence uint64
	// Members contains a hash of id and incarnation for each member.
	Members []uint64
}
