package snapshot

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// Report says which versions the targets of a group hold. A relay sends it with its partial answer.
type Report struct {
	// Known is set if a target of each asked shard has reported its versions. The lists count only then.
	Known bool
	// Held lists the versions that at least one live replica of each shard holds, ascending.
	Held []query.Version
	// Ready lists the versions that at least two live replicas of each shard hold, or all of them if
	// there are fewer, ascending.
	Ready []query.Version
}

// Group names a group of targets and the shards that they serve, in ascending order.
type Group struct {
	ID     string
	Shards []query.Shard
}

// Report returns what the targets of a group reported. It looks at the shards of the map asked at its
// version, and at the shards of the group in each published map. The map asked need not be published
// here yet.
func (c *Chooser) Report(asked query.Map, shards []query.Shard) Report {
	for _, s := range asked.Shards {
		reported := func(t query.TargetID) bool { _, ok := c.reports[t]; return ok }
		if len(c.replicas[s]) > 0 && !slices.ContainsFunc(c.replicas[s], reported) {
			return Report{}
		}
	}
	return Report{Known: true, Held: c.heldBy(asked, shards, 1), Ready: c.heldBy(asked, shards, leastReporters)}
}

func (c *Chooser) heldBy(asked query.Map, shards []query.Shard, want int) []query.Version {
	var out []query.Version
	if c.reported(asked, want) {
		out = append(out, asked.Version)
	}
	for _, m := range c.maps {
		part := query.Map{Version: m.Version, Shards: intersection(m.Shards, shards)}
		if m.Version != asked.Version && c.reported(part, want) {
			out = append(out, m.Version)
		}
	}
	slices.Sort(out)
	return out
}

// SetGroups replaces the live targets by groups, for the upper one of two levels. Each group counts as
// two replicas of its shards: one holds the versions that are held, the other those that are ready.
func (c *Chooser) SetGroups(groups []Group) {
	replicas := make([]query.Target, 0, 2*len(groups))
	for _, g := range groups {
		held, ready := replicasOf(g.ID)
		replicas = append(replicas, query.Target{ID: held, Shards: g.Shards}, query.Target{ID: ready, Shards: g.Shards})
	}
	c.SetTargets(replicas)
}

// ObserveGroup takes the report of a relay of the group.
func (c *Chooser) ObserveGroup(now time.Time, id string, r Report) {
	if !r.Known {
		return
	}
	held, ready := replicasOf(id)
	c.Observe(now, held, r.Held)
	c.Observe(now, ready, r.Ready)
}

func replicasOf(group string) (held, ready query.TargetID) {
	return query.TargetID(group + "#held"), query.TargetID(group + "#ready")
}

// intersection returns the elements of list that are in the sorted list among.
func intersection(list, among []query.Shard) []query.Shard {
	var out []query.Shard
	for _, s := range list {
		if _, ok := slices.BinarySearch(among, s); ok {
			out = append(out, s)
		}
	}
	return out
}
