package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a live or leaving member of the fleet. Other members are not passed to this package.
type Instance struct {
	ID            string
	FailureDomain string
	// Leaving is set for an instance that shuts down. It opens no connections but keeps some until its
	// requests have ended.
	Leaving bool
}

// MaxHoldersPerTarget returns how many live instances may hold a connection to a target with the given
// connection limit: half of the limit, at least one. The other half is reserved for leaving instances whose
// successors have connected already.
func MaxHoldersPerTarget(connections int) int { return max(1, connections/2) }

// maxLeavingHoldersPerTarget returns how many leaving instances may keep a connection to a target with the given
// connection limit.
func maxLeavingHoldersPerTarget(connections int) int {
	maxLive := MaxHoldersPerTarget(connections)
	return min(maxLive, max(0, connections-maxLive))
}

// Holders returns the live instances that hold connections to the targets of the group, in
// descending rank within each failure domain. Those in the group's failure domains come first.
func Holders(g Group, instances []Instance) []Instance {
	return chooseHolders(g, hashCandidates(instances, false), MaxHoldersPerTarget(g.Connections))
}

// LeavingHolders returns the leaving instances that may keep their existing connections to the targets of the
// group.
func LeavingHolders(g Group, instances []Instance) []Instance {
	return chooseHolders(g, hashCandidates(instances, true), maxLeavingHoldersPerTarget(g.Connections))
}

// candidate is an instance with the hash of its ID.
type candidate struct {
	Instance
	hash uint64
}

// hashCandidates returns the instances whose Leaving has the given value, with their hashes.
func hashCandidates(instances []Instance, leaving bool) []candidate {
	var out []candidate
	for _, i := range instances {
		if i.Leaving == leaving {
			out = append(out, candidate{Instance: i, hash: xxhash.Sum64String(i.ID)})
		}
	}
	return out
}

// chooseHolders chooses equal numbers of candidates from each failure domain of the group and then, up to count,
// the highest ranked of the remaining ones. Candidates are ranked by the rendezvous hash of group and instance.
func chooseHolders(g Group, candidates []candidate, count int) []Instance {
	group := xxhash.Sum64String(string(g.ID))
	local := make([]topCandidates, len(g.FailureDomains))
	for d := range local {
		local[d].limit = count / len(local)
	}
	// At most count of these are chosen for their failure domain, so that enough others remain.
	all := topCandidates{limit: 2 * count}
	for i := range candidates {
		c := &candidates[i]
		score := rendezvous(group, c.hash)
		all.add(c, score)
		if d, found := slices.BinarySearch(g.FailureDomains, c.FailureDomain); found {
			local[d].add(c, score)
		}
	}
	chosen := make([]Instance, 0, count)
	for _, r := range local {
		for _, c := range r.best {
			chosen = append(chosen, c.Instance)
		}
	}
	for _, c := range all.best {
		if len(chosen) < count && !contains(chosen, c.ID) {
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

// topCandidates collects the candidates with the highest scores, at most limit, in descending order.
type topCandidates struct {
	limit  int
	best   []*candidate
	scores []uint64
}

func (t *topCandidates) add(c *candidate, score uint64) {
	n := len(t.best)
	if t.limit == 0 || n == t.limit && t.ranksBefore(n-1, c, score) {
		return
	}
	i := n
	for i > 0 && !t.ranksBefore(i-1, c, score) {
		i--
	}
	t.best = slices.Insert(t.best, i, c)
	t.scores = slices.Insert(t.scores, i, score)
	if len(t.best) > t.limit {
		t.best, t.scores = t.best[:t.limit], t.scores[:t.limit]
	}
}

// ranksBefore reports whether the candidate at index i ranks before another one with the given score.
func (t *topCandidates) ranksBefore(i int, c *candidate, score uint64) bool {
	return cmp.Or(cmp.Compare(score, t.scores[i]), cmp.Compare(t.best[i].ID, c.ID)) < 0
}
