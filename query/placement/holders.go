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

// MaxHoldersPerTarget returns how many live instances may hold a connection to a target with the given
// connection limit: half of the limit, at least one. The other half is left for instances that leave
// while their successors have connected already.
func MaxHoldersPerTarget(connections int) int { return max(1, connections/2) }

// keepersPerTarget returns how many leaving instances may keep a connection.
func keepersPerTarget(connections int) int {
	holders := MaxHoldersPerTarget(connections)
	return min(holders, max(0, connections-holders))
}

// Holders returns the live instances that hold connections to the targets of the group, in
// descending rank within each failure domain. Those in the group's failure domains come first.
func Holders(g Group, instances []Instance) []Instance {
	return choose(g, hashed(instances, false), MaxHoldersPerTarget(g.Connections))
}

// LeavingHolders returns the leaving instances that may keep the connections which they have to the targets
// of the group.
func LeavingHolders(g Group, instances []Instance) []Instance {
	return choose(g, hashed(instances, true), keepersPerTarget(g.Connections))
}

// candidate is an instance with the hash of its id.
type candidate struct {
	Instance
	hash uint64
}

// hashed returns the instances that are leaving or those that are not.
func hashed(instances []Instance, leaving bool) []candidate {
	var out []candidate
	for _, i := range instances {
		if i.Leaving == leaving {
			out = append(out, candidate{Instance: i, hash: xxhash.Sum64String(i.ID)})
		}
	}
	return out
}

// choose takes equal numbers from each failure domain of the group and fills up with the highest
// ranks of all others. Ranks are by rendezvous hash of group and instance.
func choose(g Group, candidates []candidate, want int) []Instance {
	group := xxhash.Sum64String(string(g.ID))
	near := make([]ranking, len(g.FailureDomains))
	for d := range near {
		near[d].limit = want / len(near)
	}
	// At most want of these are taken for their failure domain, so that enough are left.
	all := ranking{limit: 2 * want}
	for i := range candidates {
		c := &candidates[i]
		score := rendezvous(group, c.hash)
		all.add(c, score)
		if d, found := slices.BinarySearch(g.FailureDomains, c.FailureDomain); found {
			near[d].add(c, score)
		}
	}
	chosen := make([]Instance, 0, want)
	for _, r := range near {
		for _, c := range r.best {
			chosen = append(chosen, c.Instance)
		}
	}
	for _, c := range all.best {
		if len(chosen) < want && !contains(chosen, c.ID) {
			chosen = append(chosen, c.Instance)
		}
	}
	return chosen
}

func rendezvous(group, instance uint64) uint64 {
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], group)
	binary.BigEndian.PutUint64(pair[8:], instance)
	return xxhash.Sum64(pair[:])
}

// ranking keeps the candidates with the highest scores, in descending order.
type ranking struct {
	limit  int
	best   []*candidate
	scores []uint64
}

func (r *ranking) add(c *candidate, score uint64) {
	n := len(r.best)
	if r.limit == 0 || n == r.limit && r.before(n-1, c, score) {
		return
	}
	i := n
	for i > 0 && !r.before(i-1, c, score) {
		i--
	}
	r.best = slices.Insert(r.best, i, c)
	r.scores = slices.Insert(r.scores, i, score)
	if len(r.best) > r.limit {
		r.best, r.scores = r.best[:r.limit], r.scores[:r.limit]
	}
}

// before reports whether the candidate at position i ranks before another one.
func (r *ranking) before(i int, c *candidate, score uint64) bool {
	return cmp.Or(cmp.Compare(score, r.scores[i]), cmp.Compare(r.best[i].ID, c.ID)) < 0
}
