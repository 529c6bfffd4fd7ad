package snapshot

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// Report lists the versions that the targets of a group hold. A relay sends it with its partial answer.
type Report struct {
	// Valid is set if a target of each requested shard has reported its versions. The lists are valid only
	// if it is set.
	Valid bool
	// Held lists the versions that at least one live replica of each shard holds, ascending.
	Held []query.Version
	// Ready lists the versions that at least two live replicas of each shard hold, or all of them if
	// there are fewer, ascending.
	Ready []query.Version
}

// Group is a group of targets, with the shards that they serve in ascending order.
type Group struct {
	ID     string
	Shards []query.Shard
}

// Report returns the versions that the targets of a group have reported: the version of the requested map for
// the shards of that map, and each other published version for the shards of the group in its map. The requested
// map need not be published here yet.
func (c *Chooser) Report(requested query.Map, shards []query.Shard) Report {
	for _, s := range requested.Shards {
		reported := func(t query.TargetID) bool { _, ok := c.reports[t]; return ok }
		if len(c.replicas[s]) > 0 && !slices.ContainsFunc(c.replicas[s], reported) {
			return Report{}
		}
	}
	return Report{Valid: true, Held: c.versionsReported(requested, shards, 1), Ready: c.versionsReported(requested, shards, minReporters)}
}

// versionsReported returns the versions that at least minReplicas live replicas of each shard have reported, or
// all of them if there are fewer, ascending.
func (c *Chooser) versionsReported(requested query.Map, shards []query.Shard, minReplicas int) []query.Version {
	var out []query.Version
	if c.reported(requested, minReplicas) {
		out = append(out, requested.Version)
	}
	for _, m := range c.maps {
		part := query.Map{Version: m.Version, Shards: intersection(m.Shards, shards)}
		if m.Version != requested.Version && c.reported(part, minReplicas) {
			out = append(out, m.Version)
		}
	}
	slices.Sort(out)
	return out
}

// SetGroups replaces the live targets by groups, for the upper of two levels. Each group is represented by two
// virtual replicas of its shards: one holds the versions in Report.Held, the other those in Report.Ready.
func (c *Chooser) SetGroups(groups []Group) {
	replicas := make([]query.Target, 0, 2*len(groups))
	for _, g := range groups {
		held, ready := virtualReplicas(g.ID)
		replicas = append(replicas, query.Target{ID: held, Shards: g.Shards}, query.Target{ID: ready, Shards: g.Shards})
	}
	c.SetTargets(replicas)
}

// ObserveGroup records the report of a relay of the group.
func (c *Chooser) ObserveGroup(now time.Time, id string, r Report) {
	if !r.Valid {
		return
	}
	held, ready := virtualReplicas(id)
	c.Observe(now, held, r.Held)
	c.Observe(now, ready, r.Ready)
}

func virtualReplicas(group string) (held, ready query.TargetID) {
	return query.TargetID(group + "#held"), query.TargetID(group + "#ready")
}

// intersection returns the elements of list that are in the slice sorted, which is in ascending order.
func intersection(list, sorted []query.Shard) []query.Shard {
	var out []query.Shard
	for _, s := range list {
		if _, ok := slices.BinarySearch(sorted, s); ok {
			out = append(out, s)
		}
	}
	return out
}
