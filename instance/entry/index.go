package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
	"hyssopcroft.example/query/snapshot"
)

// index holds what the instance knows of one index. It is the scatter.Policy of its searches.
type index struct {
	name string

	mu        sync.Mutex // guards the fields below
	snapshots snapshot.Chooser
	pool      *scatter.Pool
	addresses map[query.TargetID]string
}

func newIndex(name, failureDomain string, source *rand.Rand) *index {
	return &index{name: name, pool: scatter.NewPool(failureDomain, source), addresses: map[query.TargetID]string{}}
}

func (ix *index) publish(maps []query.Map) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.snapshots.Publish(maps)
}

func (ix *index) setTargets(targets []query.Target) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.pool.SetTargets(targets)
	clear(ix.addresses)
	for _, t := range targets {
		ix.addresses[t.ID] = t.Address
	}
}

func (ix *index) chooseSnapshot() (query.Map, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.snapshots.Choose()
}

// Choose implements scatter.Policy.
func (ix *index) Choose(now time.Time, w scatter.Want) (scatter.Grant, replica.Verdict) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.pool.Choose(now, w)
}

// End implements scatter.Policy.
func (ix *index) End(now time.Time, e replica.End) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.pool.End(now, e)
}

// peek returns a target for a request that is sent once and not counted.
func (ix *index) peek(s query.Shard) (query.TargetID, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.pool.Peek(time.Now(), s)
}

func (ix *index) address(id query.TargetID) string {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.addresses[id]
}
