package placement

import (
	"slices"

	"hyssopcroft.example/query"
)

// Index is the placement of one search index as seen by one instance. It is immutable; a new one is computed
// when members or targets change. It is safe for concurrent use.
type Index struct {
	flat       bool
	groups     []Group
	holders    [][]Instance // by group
	holdsGroup []bool       // by group
	byShard    map[query.Shard]int
	byID       map[GroupID]int
	targets    map[query.TargetID]int
}

// New returns the placement of an index as seen by the instance self. The fan-out is flat if every live
// instance may hold a connection to every target.
func New(self, index string, targets []query.Target, instances []Instance) *Index {
	p := &Index{
		flat: allFit(targets, instances), groups: Groups(index, targets),
		byShard: map[query.Shard]int{}, byID: map[GroupID]int{}, targets: make(map[query.TargetID]int, len(targets)),
	}
	live, leaving := hashCandidates(instances, false), hashCandidates(instances, true)
	for i, g := range p.groups {
		p.byID[g.ID] = i
		for _, s := range g.Shards {
			p.byShard[s] = i
		}
		for _, t := range g.Targets {
			p.targets[t] = i
		}
		holders := chooseHolders(g, live, MaxHoldersPerTarget(g.Connections))
		leavingHolders := chooseHolders(g, leaving, maxLeavingHoldersPerTarget(g.Connections))
		p.holders = append(p.holders, holders)
		p.holdsGroup = append(p.holdsGroup, contains(holders, self) || contains(leavingHolders, self))
	}
	return p
}

// allFit reports whether all live instances may hold connections to all targets.
func allFit(targets []query.Target, instances []Instance) bool {
	live := 0
	for _, i := range instances {
		if !i.Leaving {
			live++
		}
	}
	return !slices.ContainsFunc(targets, func(t query.Target) bool { return live > MaxHoldersPerTarget(t.Connections) })
}

func contains(list []Instance, id string) bool {
	return slices.ContainsFunc(list, func(i Instance) bool { return i.ID == id })
}

// Flat reports whether every live instance may hold connections to all targets.
func (p *Index) Flat() bool { return p.flat }

// Holds reports whether the instance may have connections to the targets of the group. A leaving
// instance opens no new ones.
func (p *Index) Holds(id GroupID) bool {
	i, known := p.byID[id]
	return known && p.holdsGroup[i]
}

// HoldsTarget reports whether the instance may have a connection to the target.
func (p *Index) HoldsTarget(id query.TargetID) bool {
	i, ok := p.targets[id]
	return ok && p.holdsGroup[i]
}

// GroupOf returns the group whose targets serve the shard, or false if none does.
func (p *Index) GroupOf(s query.Shard) (Group, bool) {
	i, ok := p.byShard[s]
	if !ok {
		return Group{}, false
	}
	return p.groups[i], true
}

// HoldersOf returns the live instances that hold connections to the group, or nil if the group is unknown.
func (p *Index) HoldersOf(id GroupID) []Instance {
	i, ok := p.byID[id]
	if !ok {
		return nil
	}
	return p.holders[i]
}

// Groups returns all groups, sorted by ID.
func (p *Index) Groups() []Group { return p.groups }
