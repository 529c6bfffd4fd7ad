package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a member of the fleet. Members that are neither live nor leaving are not passed in.
type Instance struct {
	ID            string
	FailureDomain string
	// Leaving is set for an instance that shuts down. It opens no connection but keeps some until its
	// requests have ended.
	Leaving bool
}

// HoldersPerTarget returns how many live instances may hold a connection to a target with the given
// connection limit: half of the limit, at least one. The other half is left for instances that leave
// while their successors have connected already.
func HoldersPerTarget(connections int) int { return max(1, connections/2) }

// keepersPerTarget returns how many leaving instances may keep a connection.
func keepersPerTarget(connections int) int {
	holders := HoldersPerTarget(connections)
	return min(holders, max(0, connections-holders))
}

// Holders returns the live instances that hold connections to the targets of the group, in
// descending rank within each failure domain. Those in the group's failure domains come first.
func Holders(g Group, instances []Instance) []Instance {
	return choose(g, instances, false, HoldersPerTarget(g.Connections))
}

// Keepers returns the leaving instances that may keep the connections which they have to the targets
// of the group.
func Keepers(g Group, instances []Instance) []Instance {
	return choose(g, instances, true, keepersPerTarget(g.Connections))
}

type ranked struct {
	Instance
	score uint64
}

// choose takes equal numbers from each failure domain of the group and fills up with the highest
// ranks of all others.
func choose(g Group, instances []Instance, leaving bool, want int) []Instance {
	list := rank(g, instances, leaving)
	chosen := make([]Instance, 0, want)
	taken := make(map[string]bool, want)
	take := func(r ranked) {
		chosen = append(chosen, r.Instance)
		taken[r.ID] = true
	}
	quota := want / max(1, len(g.FailureDomains))
	for _, domain := range g.FailureDomains {
		left := quota
		for _, r := range list {
			if left > 0 && r.FailureDomain == domain {
				take(r)
				left--
			}
		}
	}
	for _, r := range list {
		if len(chosen) < want && !taken[r.ID] {
			take(r)
		}
	}
	return chosen
}

// rank sorts by descending rendezvous hash of group and instance.
func rank(g Group, instances []Instance, leaving bool) []ranked {
	list := make([]ranked, 0, len(instances))
	group := xxhash.Sum64String(string(g.ID))
	for _, i := range instances {
		if i.Leaving == leaving {
			list = append(list, ranked{Instance: i, score: rendezvous(group, i.ID)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
	return list
}

func rendezvous(group uint64, instance string) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], group)
	binary.BigEndian.PutUint64(pair[8:], xxhash.Sum64String(instance))
	return xxhash.Sum64(pair[:])
}
