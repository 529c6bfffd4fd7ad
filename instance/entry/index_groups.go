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
	// defaultHedgeAfter is used until enough partial answers were timed: half of the time in which 99 of 100
	// answers are due.
	defaultHedgeAfter = 50 * time.Millisecond
	// returnPercentile of the time that messages spend between entry and relay is left for the return.
	returnPercentile = 99
)

// relayStats holds what the upper level of a fan-out over two levels learns. The mutex of the index
// guards it.
type relayStats struct {
	hedgeDelay  *hedge.Delay    // of partial answers
	returnTimes *latency.Window // half of what a partial answer took beyond the relay's own time
	hedgeBudget hedge.Budget
}

func newRelayStats() *relayStats {
	return &relayStats{hedgeDelay: hedge.NewDelay(), returnTimes: latency.NewWindow(), hedgeBudget: hedge.NewHedges()}
}

// flat reports whether the instance holds all targets. The caller holds the mutex.
func (ix *index) flat() bool { return ix.groupPlacement == nil || ix.groupPlacement.Flat() }

// setPlacement replaces the placement if the instances or the targets are others than before.
func (ix *index) setPlacement(self string, instances []placement.Instance) {
	ix.mu.Lock()
	if ix.placedInstances != nil && slices.Equal(ix.placedInstances, instances) {
		ix.mu.Unlock()
		return
	}
	targets := ix.targets
	ix.placedInstances = instances
	ix.mu.Unlock()
	groupPlacement := placement.New(self, ix.name, targets, instances) // takes too long for a lock on the query path
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.groupPlacement = groupPlacement
	ix.setVersionReporters()
}

// setVersionReporters tells the chooser of snapshots who reports the versions. The caller holds the mutex.
func (ix *index) setVersionReporters() {
	if ix.flat() {
		ix.snapshots.SetTargets(ix.targets)
		return
	}
	var groups []snapshot.Group
	for _, g := range ix.groupPlacement.Groups() {
		groups = append(groups, snapshot.Group{ID: string(g.ID), Shards: g.Shards})
	}
	ix.snapshots.SetGroups(groups)
}

// twoLevelPlacement returns the placement, or false if the fan-out is flat.
func (ix *index) twoLevelPlacement() (*placement.Index, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.groupPlacement, !ix.flat()
}

// holdsAll reports whether this instance may have connections to targets of all the shards.
func (ix *index) holdsAll(shards []query.Shard) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if ix.flat() {
		return len(ix.targets) > 0
	}
	for _, s := range shards {
		g, known := ix.groupPlacement.GroupOf(s)
		if !known || !ix.groupPlacement.Holds(g.ID) {
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
		if ix.flat() || ix.groupPlacement.HoldsTarget(t.ID) {
			out = append(out, t.Address)
		}
	}
	return out
}

// versionReport returns which versions the targets of the shards hold.
func (ix *index) versionReport(requested query.Map) snapshot.Report {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	shards := requested.Shards
	if ix.groupPlacement != nil && len(shards) > 0 {
		if g, known := ix.groupPlacement.GroupOf(shards[0]); known {
			shards = g.Shards
		}
	}
	return ix.targetSnapshots.Report(requested, shards)
}

// observeGroup takes what a relay reported of the versions of a group, and the times of its answer.
func (ix *index) observeGroup(id placement.GroupID, p peer.Partial, took time.Duration) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	now := time.Now()
	ix.relays.hedgeDelay.Record(now, took)
	ix.relays.returnTimes.Record((took - p.Took) / 2)
	ix.snapshots.ObserveGroup(now, string(id), p.Versions)
}

// restartOnPartial returns the map to restart at if the partial answer lacks a shard that lost the snapshot.
func (ix *index) restartOnPartial(restart *snapshot.Restart, coverage query.Coverage) (query.Map, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return restart.OnPart(time.Now(), &ix.snapshots, coverage, ix.latencies.Quantile(50))
}

// hedgeAfter returns the silence after which a relay is hedged.
func (ix *index) hedgeAfter() time.Duration {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if d, known := ix.relays.hedgeDelay.Value(); known {
		return d
	}
	return defaultHedgeAfter
}

// returnTime returns the time that has to be left for a partial answer to come back.
func (ix *index) returnTime() time.Duration {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.relays.returnTimes.Quantile(returnPercentile)
}

// Earn implements group.Budget.
func (ix *index) Earn() {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.relays.hedgeBudget.Earn()
}

// Take implements group.Budget.
func (ix *index) Take() bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.relays.hedgeBudget.Take()
}
