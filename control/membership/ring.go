package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringCount is the number of rings, and the mean number of peers of an instance: one per ring.
	ringCount = 3
	// spareRingCount is the number of additional rings for instances with fewer than minNeighbours peers
	// in the other rings.
	spareRingCount = 2
	// minNeighbours keeps an instance connected that has no peer in the first ringCount rings.
	minNeighbours = 2
	// maxRingPeers bounds the peers of an instance in one ring if the failure domains differ greatly in
	// size.
	maxRingPeers = 4
)

// ring orders members by a hash that differs between rings. A member that joins or leaves changes
// the neighbours of few other members.
type ring struct {
	number      int
	members     []ringMember
	domainSizes map[string]int // number of members by failure domain
}

type ringMember struct {
	position   uint64
	id, domain string
}

func newRing(number int) *ring { return &ring{number: number, domainSizes: map[string]int{}} }

// find returns the index of a member in the ring and whether it is present.
func (r *ring) find(id string) (int, bool) {
	wanted := ringMember{position: r.position(id), id: id}
	return slices.BinarySearchFunc(r.members, wanted, func(a, b ringMember) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.id, b.id))
	})
}

func (r *ring) position(id string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), uint64(r.number)))
}

// set adds or updates a member that has an address and is not dead, and removes any other.
func (r *ring) set(m Member) {
	i, present := r.find(m.ID)
	wanted := m.State != Dead && m.Address != ""
	if present && wanted && r.members[i].domain == m.FailureDomain {
		return
	}
	if present {
		r.domainSizes[r.members[i].domain]--
		if r.domainSizes[r.members[i].domain] == 0 {
			delete(r.domainSizes, r.members[i].domain)
		}
		r.members = slices.Delete(r.members, i, i+1)
	}
	if !wanted {
		return
	}
	r.domainSizes[m.FailureDomain]++
	r.members = slices.Insert(r.members, i, ringMember{position: r.position(m.ID), id: m.ID, domain: m.FailureDomain})
}

func (r *ring) at(i int) ringMember { return r.members[i%len(r.members)] }

// successor returns the successor of a member, or nil if there is none.
func (r *ring) successor(id string) []string {
	i, present := r.find(id)
	if !present || len(r.members) < 2 {
		return nil
	}
	return []string{r.at(i + 1).id}
}

// successorsInOtherDomain returns the members whose nearest predecessor in another failure domain is
// the given member: its successor, if that is in another failure domain, and the members of the
// successor's failure domain that directly follow. Members are therefore watched from another failure
// domain, and the loss of a failure domain does not include the watchers of its instances.
func (r *ring) successorsInOtherDomain(id string) []string {
	i, present := r.find(id)
	if !present || len(r.domainSizes) < 2 {
		return r.successor(id)
	}
	var out []string
	for step := 1; step < len(r.members) && len(out) < maxRingPeers; step++ {
		m := r.at(i + step)
		if m.domain == r.at(i).domain || m.domain != r.at(i+1).domain {
			break
		}
		out = append(out, m.id)
	}
	return out
}

// Neighbours returns the ids of the peers that the instance exchanges messages with. The first ring
// ignores failure domains, so that failure domains of very different size stay connected.
func (t *Table) Neighbours() []string {
	var out []string
	for _, r := range t.rings {
		switch {
		case r.number == 0:
			out = append(out, r.successor(t.self)...)
		case r.number < ringCount:
			out = append(out, r.successorsInOtherDomain(t.self)...)
		case len(out) < minNeighbours:
			out = append(out, r.successor(t.self)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
