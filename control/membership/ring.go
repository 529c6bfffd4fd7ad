package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// rings is the number of peers that an instance exchanges with, on average: one for each ring.
	rings = 3
	// spareRings are used by instances whose rings give them fewer than leastNeighbours peers.
	spareRings = 2
	// leastNeighbours keeps an instance whose rings give it no peer in contact with the fleet.
	leastNeighbours = 2
	// longestRun bounds the peers that one ring gives to an instance where failure domains differ
	// much in size.
	longestRun = 4
)

// ring orders members by a hash that differs between rings. A member that joins or leaves changes
// the neighbours of few others.
type ring struct {
	number  int
	members []ringMember
	domains map[string]int // members by failure domain
}

type ringMember struct {
	position   uint64
	id, domain string
}

func newRing(number int) *ring { return &ring{number: number, domains: map[string]int{}} }

// find returns the place of a member in the ring and whether it is there.
func (r *ring) find(id string) (int, bool) {
	wanted := ringMember{position: r.position(id), id: id}
	return slices.BinarySearchFunc(r.members, wanted, func(a, b ringMember) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.id, b.id))
	})
}

func (r *ring) position(id string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), uint64(r.number)))
}

// set adds a member with an address that is not dead, and removes any other.
func (r *ring) set(m Member) {
	i, present := r.find(m.ID)
	wanted := m.State != Dead && m.Address != ""
	if present && wanted && r.members[i].domain == m.FailureDomain {
		return
	}
	if present {
		r.domains[r.members[i].domain]--
		if r.domains[r.members[i].domain] == 0 {
			delete(r.domains, r.members[i].domain)
		}
		r.members = slices.Delete(r.members, i, i+1)
	}
	if !wanted {
		return
	}
	r.domains[m.FailureDomain]++
	r.members = slices.Insert(r.members, i, ringMember{position: r.position(m.ID), id: m.ID, domain: m.FailureDomain})
}

func (r *ring) at(i int) ringMember { return r.members[i%len(r.members)] }

// next returns the successor of a member.
func (r *ring) next(id string) []string {
	i, present := r.find(id)
	if !present || len(r.members) < 2 {
		return nil
	}
	return []string{r.at(i + 1).id}
}

// nextElsewhere returns the members whose nearest predecessor in another failure domain is the
// given one: its successor, if that is in another failure domain, and those that directly follow
// the successor in the same failure domain. The loss of a failure domain therefore does not take
// the members that watch its instances.
func (r *ring) nextElsewhere(id string) []string {
	i, present := r.find(id)
	if !present || len(r.domains) < 2 {
		return r.next(id)
	}
	var out []string
	for step := 1; step < len(r.members) && len(out) < longestRun; step++ {
		m := r.at(i + step)
		if m.domain == r.at(i).domain || m.domain != r.at(i+1).domain {
			break
		}
		out = append(out, m.id)
	}
	return out
}

// Neighbours returns the ids of the peers that the instance exchanges with. The first ring ignores
// failure domains, so that failure domains of very different size stay connected.
func (t *Table) Neighbours() []string {
	var out []string
	for _, r := range t.rings {
		switch {
		case r.number == 0:
			out = append(out, r.next(t.self)...)
		case r.number < rings:
			out = append(out, r.nextElsewhere(t.self)...)
		case len(out) < leastNeighbours:
			out = append(out, r.next(t.self)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
