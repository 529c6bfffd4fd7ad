package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// relayCapacityShare is the share of a region's processor capacity that its relays have at least.
	relayCapacityShare = 0.1
	// minRelaysPerRegion is the minimum number of relays of a region, so that the loss of one leaves the rest room.
	minRelaysPerRegion = 3
	// connectionsPerRelay is the number of connections to each target that a relay needs at least: one for first
	// attempts and one for attempts that overlap them.
	connectionsPerRelay = 2
)

// Candidate is an instance that may become a relay.
type Candidate struct {
	ID                    string
	FailureDomain, Region string
	// Capacity is the processor capacity in thousandths of a core, 0 if it is not known.
	Capacity uint32
}

// Relays chooses the instances that send to targets which accept too few connections for every instance to hold one;
// the other instances forward their requests to them. usable is the number of connections to a target that may be
// used, targetsByDomain the number of such targets by failure domain. The result is in the order of the candidates.
//
// It is designed for hundreds of instances, each of which would meet a given target once in several seconds over a
// connection that has timed out meanwhile. Few senders reuse their connections, notice within a second that a target
// is slow, and share the budget of extra attempts in whole numbers. Each region has relays of its own, so that the loss
// of a region leaves the others theirs. Strong instances come first, because a hundred sub-requests take a weak one as
// long as an urgent query has; then those in the failure domains of most targets, because a query crosses the border of
// a failure domain once on the way to the relay and as often as it has shards behind it.
func Relays(candidates []Candidate, usable int, targetsByDomain map[string]int) []Candidate {
	byRegion := map[string][]Candidate{}
	for _, c := range candidates {
		byRegion[c.Region] = append(byRegion[c.Region], c)
	}
	chosen := map[string]bool{}
	for _, list := range byRegion {
		maxRelays := max(usable/(connectionsPerRelay*len(byRegion)), 1)
		for _, c := range relaysOfRegion(list, maxRelays, targetsByDomain) {
			chosen[c.ID] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return !chosen[c.ID] })
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// capacity returns the processor capacity in thousandths of a core. An instance that does not state it counts as a whole
// core.
func (c Candidate) capacity() uint32 {
	if c.Capacity == 0 {
		return 1000
	}
	return c.Capacity
}

func relaysOfRegion(list []Candidate, maxRelays int, targetsByDomain map[string]int) []Candidate {
	most := 0
	for _, c := range list {
		most = max(most, targetsByDomain[c.FailureDomain])
	}
	// The loss of some targets must not move the relays, so domains with a similar number of them are equal. Neither must
	// a slight difference in capacity outweigh the way to the targets.
	var strongest uint32
	for _, c := range list {
		strongest = max(strongest, c.capacity())
	}
	weak := func(c Candidate) bool { return 2*c.capacity() < strongest }
	far := func(c Candidate) bool { return 2*targetsByDomain[c.FailureDomain] < most }
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(
			compareFalseFirst(weak(a), weak(b)),
			compareFalseFirst(far(a), far(b)),
			cmp.Compare(b.capacity(), a.capacity()),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var total, sum uint32
	for _, c := range ranked {
		total += c.capacity()
	}
	n := 0
	for n < len(ranked) && n < maxRelays && (n < minRelaysPerRegion || float64(sum) < relayCapacityShare*float64(total)) {
		sum += ranked[n].capacity()
		n++
	}
	return ranked[:n]
}
