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
	// defaultHedgeAfter is the hedge delay until enough partial answers have been measured: half of the time
	// within which 99 of 100 answers are due.
	defaultHedgeAfter = 50 * time.Millisecond
	// returnPercentile is the percentile of the one-way time between relay and entry that is reserved for the
	// return of a partial answer.
	returnPercentile = 99
)

// relayStats holds the measurements and the hedge budget of the upper level of a two-level fan-out. It is guarded by
// index.mu.
type relayStats struct {
	hedgeDelay  *hedge.Delay    // of partial answers
	returnTimes *latency.Window // half of the latency of a partial answer beyond the relay's own time
	hedgeBudget hedge.Budget
}

func newRelayStats() *relayStats {
	return &relayStats{hedgeDelay: hedge.NewDelay(), returnTimes: latency.NewWindow(), hedgeBudget: hedge.NewHedgeBudget()}
}

// flat reports whether the fan-out has one level: there is no placement yet, or every instance holds all targets. The
// caller must hold ix.mu.
func (ix *index) flat() bool { return ix.groupPlacement == nil || ix.groupPlacement.Flat() }

// setPlacement recomputes the placement if the instances or the targets have changed.
func (ix *index) setPlacement(self string, instances []placement.Instance) {
	ix.mu.Lock()
	if ix.placedInstances != nil && slices.Equal(ix.placedInstances, instances) {
		ix.mu.Unlock()
		return
	}
	targets := ix.targets
	ix.placedInstances = instances
	ix.mu.Unlock()
	// The computation takes too long to hold a mutex that is used on the query path.
	groupPlacement := placement.New(self, ix.name, targets, instances)
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.groupPlacement = groupPlacement
	ix.setVersionReporters()
}

// setVersionReporters sets whether targets or groups report versions to the snapshot chooser. The caller must hold
// ix.mu.
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

// twoLevelPlacement returns the placement and true, or false if the fan-out has a single level.
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
		g, ok := ix.groupPlacement.GroupOf(s)
		if !ok || !ix.groupPlacement.Holds(g.ID) {
			return false
		}
	}
	return true
}

// heldAddresses returns the addresses of the targets to which this instance connects.
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

// versionReport returns the versions that the targets of the group of the requested shards hold.
func (ix *index) versionReport(requested query.Map) snapshot.Report {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	shards := requested.Shards
	if ix.groupPlacement != nil && len(shards) > 0 {
		if g, ok := ix.groupPlacement.GroupOf(shards[0]); ok {
			shards = g.Shards
		}
	}
	return ix.targetSnapshots.Report(requested, shards)
}

// observeGroup records the versions of a group from a relay's partial answer, and the times of that answer.
func (ix *index) observeGroup(id placement.GroupID, p peer.GroupResponse, took time.Duration) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	now := time.Now()
	ix.relays.hedgeDelay.Record(now, took)
	ix.relays.returnTimes.Record((took - p.Took) / 2)
	ix.snapshots.ObserveGroup(now, string(id), p.Versions)
}

// restartOnPartial returns the map at which the query restarts if the partial answer lacks a shard that lost the
// snapshot.
func (ix *index) restartOnPartial(restart *snapshot.Restart, coverage query.Coverage) (query.Map, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return restart.OnPartial(time.Now(), &ix.snapshots, coverage, ix.latencies.Quantile(50))
}

// hedgeAfter returns the time without a reply from a relay after which a hedge is sent.
func (ix *index) hedgeAfter() time.Duration {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if d, ok := ix.relays.hedgeDelay.Value(); ok {
		return d
	}
	return defaultHedgeAfter
}

// returnTime returns the time to reserve for the return of a partial answer.
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

// TryTake implements group.Budget.
func (ix *index) TryTake() bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.relays.hedgeBudget.TryTake()
}
