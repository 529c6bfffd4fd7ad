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

// index holds what the instance knows of one index.
type index struct {
	name string

	mu        sync.Mutex       // guards the fields below
	snapshots snapshot.Chooser // over targets, or over groups in a fan-out over two levels
	local     snapshot.Chooser // over targets
	latencies *latency.Window  // of complete answers
	pool      *scatter.Pool
	targets   []query.Target
	addresses map[query.TargetID]string
	admission *admission.Controller // of searches of callers
	relayed   *admission.Controller // of groups for other instances, whose usual latency is another one
	place     *placement.Index      // nil until members are known
	placedFor []placement.Instance  // of the placement; nil if it has to be made again
	groups    *groupTimes
}

func newIndex(name, failureDomain string, source *rand.Rand) *index {
	return &index{
		name: name, latencies: latency.NewWindow(), pool: scatter.NewPool(failureDomain, source),
		addresses: map[query.TargetID]string{}, groups: newGroupTimes(),
		admission: admission.New(), relayed: admission.New(),
	}
}

func (ix *index) publish(maps []query.Map) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.snapshots.Publish(maps)
	ix.local.Publish(maps)
}

func (ix *index) setTargets(targets []query.Target) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.targets = targets
	ix.placedFor = nil
	ix.local.SetTargets(targets)
	ix.pool.SetTargets(targets)
	clear(ix.addresses)
	for _, t := range targets {
		ix.addresses[t.ID] = t.Address
	}
	ix.setReplicas()
}

func (ix *index) chooseSnapshot() (query.Map, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.snapshots.Choose(time.Now())
}

// observe takes the versions that a target reported.
func (ix *index) observe(id query.TargetID, held []query.Version) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	now := time.Now()
	ix.local.Observe(now, id, held)
	if ix.flat() {
		ix.snapshots.Observe(now, id, held)
	}
}

// recordLatency takes the latency of a complete answer.
func (ix *index) recordLatency(d time.Duration) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.latencies.Record(d)
}

// restartOnReply returns the map to restart at if the reply says that a shard lost the snapshot.
func (ix *index) restartOnReply(r *snapshot.Restart, s query.Shard, o query.Outcome) (query.Map, bool) {
	if r == nil || o != query.OutcomeSnapshotGone {
		return query.Map{}, false
	}
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return r.OnReply(time.Now(), &ix.snapshots, s, o, ix.latencies.Quantile(50))
}

// restartOnFinish returns the map to restart at if the answer lacks a shard that lost the snapshot.
func (ix *index) restartOnFinish(r *snapshot.Restart, got query.Coverage) (query.Map, bool) {
	if r == nil {
		return query.Map{}, false
	}
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return r.OnFinish(time.Now(), &ix.snapshots, got, ix.latencies.Quantile(50))
}

// at returns the policy of a query at the version.
func (ix *index) at(v query.Version) *versionPolicy {
	return &versionPolicy{
		index: ix, unfit: func(id query.TargetID) bool { return !ix.local.MayHold(time.Now(), id, v) },
	}
}

// peek returns a target for a request that is sent once and not counted.
func (ix *index) peek(s query.Shard) (query.TargetID, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.pool.Peek(time.Now(), s)
}

// allTargets returns the known targets. The caller does not change them.
func (ix *index) allTargets() []query.Target {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.targets
}

// size returns the number of known targets.
func (ix *index) size() int {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return len(ix.addresses)
}

func (ix *index) address(id query.TargetID) string {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.addresses[id]
}
