package entry

import (
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/latency"
	"hyssopcroft.example/query/placement"
)

const (
	// hedgePercentile of the latency of partial answers is the silence after which a relay is hedged.
	// A lower one would ask for more hedges than the budget holds.
	hedgePercentile = 98
	// firstHedgeAfter is used until partial answers were timed: half of the time in which 99 of 100
	// answers are due.
	firstHedgeAfter = 50 * time.Millisecond
	// returnPercentile of the time that messages spend between entry and relay is left for the return.
	returnPercentile = 99
)

// groupTimes holds what the upper level of a fan-out over two levels learns. The mutex of the index
// guards it.
type groupTimes struct {
	partials *latency.Window // of accepted partial answers
	returns  *latency.Window // half of what a partial answer took beyond the relay's own time
	budget   *group.Tokens
}

func newGroupTimes() *groupTimes {
	return &groupTimes{partials: latency.NewWindow(), returns: latency.NewWindow(), budget: group.NewTokens()}
}

// flat reports whether the instance holds all targets. The caller holds the mutex.
func (ix *index) flat() bool { return ix.place == nil || ix.place.Flat() }

// setPlace replaces the placement.
func (ix *index) setPlace(self string, instances []placement.Instance) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.place = placement.New(self, ix.name, ix.targets, instances)
	ix.setReplicas()
}

// setReplicas tells the chooser of snapshots what its replicas are. In a fan-out over two levels
// each group counts as two replicas of its shards: one reports the versions that a target of each
// shard holds, the other those that two targets hold. The caller holds the mutex.
func (ix *index) setReplicas() {
	if ix.flat() {
		ix.snapshots.SetTargets(ix.targets)
		return
	}
	var replicas []query.Target
	for _, g := range ix.place.Groups() {
		held, ready := groupReplicas(g.ID)
		replicas = append(replicas, query.Target{ID: held, Shards: g.Shards}, query.Target{ID: ready, Shards: g.Shards})
	}
	ix.snapshots.SetTargets(replicas)
}

func groupReplicas(id placement.GroupID) (held, ready query.TargetID) {
	return query.TargetID(id) + "#held", query.TargetID(id) + "#ready"
}

// placed returns the placement, or false if the fan-out is flat.
func (ix *index) placed() (*placement.Index, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.place, !ix.flat()
}

// holdsAll reports whether this instance may have connections to targets of all the shards.
func (ix *index) holdsAll(shards []query.Shard) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if ix.flat() {
		return len(ix.targets) > 0
	}
	for _, s := range shards {
		g, known := ix.place.GroupOf(s)
		if !known || !ix.place.Holds(g.ID) {
			return false
		}
	}
	return true
}

// heldAddresses returns the addresses of the targets that this instance connects to.
func (ix *index) heldAddresses() []string {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	var out []string
	for _, t := range ix.targets {
		if ix.flat() || ix.place.HoldsTarget(t.ID) {
			out = append(out, t.Address)
		}
	}
	return out
}

// describeVersions adds to a partial answer which versions the targets of its shards hold.
func (ix *index) describeVersions(p *peer.Partial, asked query.Map) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	shards := asked.Shards
	if ix.place != nil && len(shards) > 0 {
		if g, known := ix.place.GroupOf(shards[0]); known {
			shards = g.Shards
		}
	}
	p.Held, p.VersionsKnown = ix.local.Held(asked, shards, 1)
	p.Ready, _ = ix.local.Held(asked, shards, 2)
}

// observeGroup takes what a relay reported of the versions of a group, and the times of its answer.
func (ix *index) observeGroup(id placement.GroupID, p peer.Partial, took time.Duration) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.groups.partials.Record(took)
	ix.groups.returns.Record((took - p.Took) / 2)
	if !p.VersionsKnown {
		return
	}
	held, ready := groupReplicas(id)
	ix.snapshots.Observe(held, p.Held)
	ix.snapshots.Observe(ready, p.Ready)
}

// hedgeAfter returns the silence after which a relay is hedged.
func (ix *index) hedgeAfter() time.Duration {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if d := ix.groups.partials.Quantile(hedgePercentile); d > 0 {
		return d
	}
	return firstHedgeAfter
}

// returnTime returns the time that has to be left for a partial answer to come back.
func (ix *index) returnTime() time.Duration {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.groups.returns.Quantile(returnPercentile)
}

// Earn implements group.Budget.
func (ix *index) Earn() {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.groups.budget.Earn()
}

// Take implements group.Budget.
func (ix *index) Take() bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.groups.budget.Take()
}
