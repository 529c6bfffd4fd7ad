// Package placement decides which instances hold connections to which targets. The placement is a pure function
// of the members, the target list and the connection limits, so that instances with the same lists agree without
// communication.
package placement

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hyssopcroft.example/query"
)

// replicaSetsPerGroup is the mean number of replica sets per group above which groups are halved. Larger groups
// need fewer messages per query, smaller ones distribute connections more evenly over instances.
const replicaSetsPerGroup = 16

// GroupID identifies a group of targets of one index.
type GroupID string

// Group is a set of targets to which the same instances hold connections. All replicas of a shard are in one
// group, so that each holder of the group can hedge and retry.
type Group struct {
	ID    GroupID
	Index string
	// FailureDomains lists the failure domains of the targets, in ascending order.
	FailureDomains []string
	Targets        []query.TargetID
	// Shards lists the shards that the targets serve, in ascending order.
	Shards []query.Shard
	// Connections is the minimum of the targets' connection limits.
	Connections int
}

// Groups divides the targets of one index by the failure domains of their replica sets and by hash.
// The groups are sorted by ID. Leaving targets stay in their groups, so that a restart of a target does not move
// its replica set.
func Groups(index string, targets []query.Target) []Group {
	sets := replicaSets(targets)
	perDomains := map[string]int{}
	for _, s := range sets {
		perDomains[s.domainKey()]++
	}
	byID := map[GroupID]*Group{}
	for _, s := range sets {
		key := s.domainKey()
		id := GroupID(fmt.Sprintf("%s/%s/%d", index, key, s.hash()%bucketCount(perDomains[key])))
		g, ok := byID[id]
		if !ok {
			g = &Group{ID: id, Index: index, FailureDomains: s.domains}
			byID[id] = g
		}
		g.add(s)
	}
	out := make([]Group, 0, len(byID))
	for _, g := range byID {
		slices.Sort(g.Shards)
		slices.Sort(g.Targets)
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// bucketCount returns the number of groups for the replica sets. It is a power of two, so that growth halves
// groups and does not mix them.
func bucketCount(sets int) uint64 {
	n := uint64(1)
	for uint64(sets) > n*replicaSetsPerGroup {
		n *= 2
	}
	return n
}

func (g *Group) add(s replicaSet) {
	g.Shards = append(g.Shards, s.shards...)
	for _, t := range s.targets {
		g.Targets = append(g.Targets, t.ID)
		if g.Connections == 0 || t.Connections < g.Connections {
			g.Connections = t.Connections
		}
	}
}

// replicaSet is a set of targets that share shards, directly or transitively.
type replicaSet struct {
	targets []query.Target
	domains []string
	shards  []query.Shard
}

func (s replicaSet) domainKey() string { return strings.Join(s.domains, "+") }

// hash depends on the smallest shard alone: targets are replaced more often than shards are split.
func (s replicaSet) hash() uint64 {
	var smallest uint32
	if len(s.shards) > 0 {
		smallest = uint32(s.shards[0])
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint32(nil, smallest))
}

// replicaSets partitions the targets into replica sets, with a union-find over shared shards.
func replicaSets(targets []query.Target) []replicaSet {
	roots := make([]int, len(targets))
	servedBy := map[query.Shard]int{}
	for i, t := range targets {
		roots[i] = i
		for _, s := range t.Shards {
			if j, ok := servedBy[s]; ok {
				roots[rootOf(roots, i)] = rootOf(roots, j)
			} else {
				servedBy[s] = i
			}
		}
	}
	members := map[int][]query.Target{}
	for i, t := range targets {
		r := rootOf(roots, i)
		members[r] = append(members[r], t)
	}
	out := make([]replicaSet, 0, len(members))
	for _, list := range members {
		out = append(out, newReplicaSet(list))
	}
	return out
}

// rootOf returns the root of element i and shortens the path to it.
func rootOf(roots []int, i int) int {
	for roots[i] != i {
		roots[i] = roots[roots[i]]
		i = roots[i]
	}
	return i
}

func newReplicaSet(targets []query.Target) replicaSet {
	s := replicaSet{targets: targets}
	for _, t := range targets {
		s.domains = append(s.domains, t.FailureDomain)
		s.shards = append(s.shards, t.Shards...)
	}
	slices.Sort(s.domains)
	s.domains = slices.Compact(s.domains)
	slices.Sort(s.shards)
	s.shards = slices.Compact(s.shards)
	return s
}
