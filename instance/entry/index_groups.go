package entry

import (
	"slices"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/latency"
	"hyssopcroft.example/query/placement"
	"hyssopcroft.example/query/snapshot"
)

const (
	// firstHedgeAfter is used until enough partial answers were timed: half of the time in which 99 of 100
	// answers are due.
	firstHedgeAfter = 50 * time.Millisecond
	// returnPercentile of the time that messages spend between entry and relay is left for the return.
	returnPercentile = 99
)

// groupTimes holds what the upper level of a fan-out over two levels learns. The mutex of the index
// guards it.
type groupTimes struct {
	delay   *hedge.Delay    // of partial answers
	returns *latency.Window // half of what a partial answer took beyond the relay's own time
	budget  hedge.Budget
}

func newGroupTimes() *groupTimes {
	return &groupTimes{delay: hedge.NewDelay(), returns: latency.NewWindow(), budget: hedge.NewHedgeBudget()}
}

// flat reports whether the instance holds all targets. The caller holds the mutex.
func (ix *index) flat() bool { return ix.place == nil || ix.place.Flat() }

// setPlace replaces the placement if the instances or the targets are others than before.
func (ix *index) setPlace(self string, instances []placement.Instance) {
	ix.mu.Lock()
	if ix.placedFor != nil && slices.Equal(ix.placedFor, instances) {
		ix.mu.Unlock()
		return
	}
	targets := ix.targets
	ix.placedFor = instances
	ix.mu.Unlock()
	place := placement.New(self, ix.name, targets, instances) // takes too long for a lock on the query path
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.place = place
	ix.setReplicas()
}

// setReplicas tells the chooser of snapshots who reports the versions. The caller holds the mutex.
func (ix *index) setReplicas() {
	if ix.flat() {
		ix.snapshots.SetTargets(ix.targets)
		return
	}
	var groups []snapshot.Group
	for _, g := range ix.place.Groups() {
		groups = append(groups, snapshot.Group{ID: string(g.ID), Shards: g.Shards})
	}
	ix.snapshots.SetGroups(groups)
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

// report returns which versions the targets of the shards hold.
func (ix *index) report(asked query.Map) snapshot.Report {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	shards := asked.Shards
	if ix.place != nil && len(shards) > 0 {
		if g, known := ix.place.GroupOf(shards[0]); known {
			shards = g.Shards
		}
	}
	return ix.local.Report(asked, shards)
}

// observeGroup takes what a relay reported of the versions of a group, and the times of its answer.
func (ix *index) observeGroup(id placement.GroupID, p peer.Partial, took time.Duration) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	now := time.Now()
	ix.groups.delay.Record(now, took)
	ix.groups.returns.Record((took - p.Took) / 2)
	ix.snapshots.ObserveGroup(now, string(id), p.Versions)
}

// restartOnPart returns the map to restart at if the partial answer lacks a shard that lost the snapshot.
func (ix *index) restartOnPart(r *snapshot.Restart, got query.Coverage) (query.Map, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return r.OnPartial(time.Now(), &ix.snapshots, got, ix.latencies.Quantile(50))
}

// hedgeAfter returns the silence after which a relay is hedged.
func (ix *index) hedgeAfter() time.Duration {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if d, known := ix.groups.delay.Value(); known {
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
func (ix *index) TryTake() bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.groups.budget.TryTake()
}
