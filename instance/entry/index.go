package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/latency"
	"hyssopcroft.example/query/placement"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

// index is the state of one index on this instance.
type index struct {
	name string

	mu              sync.Mutex       // guards the fields below
	snapshots       snapshot.Chooser // of searches: over targets, or over groups in a two-level fan-out
	targetSnapshots snapshot.Chooser // over targets, also in a two-level fan-out
	latencies       *latency.Window  // of complete answers
	pool            *scatter.Pool
	targets         []query.Target
	addresses       map[query.TargetID]string
	admission       *admission.Controller // of searches from callers
	relayAdmission  *admission.Controller // of groups for other instances, whose baseline latency differs
	groupPlacement  *placement.Index      // nil until the members are known
	placedInstances []placement.Instance  // input of groupPlacement; nil if it must be recomputed
	relays          *relayStats
}

func newIndex(name, failureDomain string, source *rand.Rand) *index {
	return &index{
		name: name, latencies: latency.NewWindow(), pool: scatter.NewPool(failureDomain, source),
		addresses: map[query.TargetID]string{}, relays: newRelayStats(),
		admission: admission.New(), relayAdmission: admission.New(),
	}
}

func (ix *index) publish(maps []query.Map) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.snapshots.Publish(maps)
	ix.targetSnapshots.Publish(maps)
}

func (ix *index) setTargets(targets []query.Target) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.targets = targets
	ix.placedInstances = nil
	ix.targetSnapshots.SetTargets(targets)
	ix.pool.SetTargets(targets)
	clear(ix.addresses)
	for _, t := range targets {
		ix.addresses[t.ID] = t.Address
	}
	ix.setVersionReporters()
}

func (ix *index) chooseSnapshot() (query.Map, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.snapshots.Choose(time.Now())
}

// observeVersions records the versions that a target reported.
func (ix *index) observeVersions(id query.TargetID, versions []query.Version) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	now := time.Now()
	ix.targetSnapshots.Observe(now, id, versions)
	if ix.flat() {
		ix.snapshots.Observe(now, id, versions)
	}
}

// recordLatency records the latency of a complete answer.
func (ix *index) recordLatency(d time.Duration) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.latencies.Record(d)
}

// restartOnReply returns the map at which the query restarts if the reply shows that a shard lost the snapshot.
func (ix *index) restartOnReply(restart *snapshot.Restart, s query.Shard, o query.Outcome) (query.Map, bool) {
	if restart == nil || o != query.OutcomeSnapshotGone {
		return query.Map{}, false
	}
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return restart.OnReply(time.Now(), &ix.snapshots, s, o, ix.latencies.Quantile(50))
}

// restartOnFinish returns the map at which the query restarts if the answer lacks a shard that lost the snapshot.
func (ix *index) restartOnFinish(restart *snapshot.Restart, coverage query.Coverage) (query.Map, bool) {
	if restart == nil {
		return query.Map{}, false
	}
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return restart.OnFinish(time.Now(), &ix.snapshots, coverage, ix.latencies.Quantile(50))
}

// policyAt returns the policy of a query at a version.
func (ix *index) policyAt(v query.Version) *versionPolicy {
	return &versionPolicy{
		index: ix, unfit: func(id query.TargetID) bool { return !ix.targetSnapshots.MayHold(time.Now(), id, v) },
	}
}

// peek returns a target for a request that is sent once, without counting an attempt.
func (ix *index) peek(s query.Shard) (query.TargetID, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.pool.Peek(time.Now(), s)
}

// allTargets returns the known targets. The caller must not modify the slice.
func (ix *index) allTargets() []query.Target {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.targets
}

// targetCount returns the number of known targets.
func (ix *index) targetCount() int {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return len(ix.addresses)
}

func (ix *index) address(id query.TargetID) string {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.addresses[id]
}
