package entry

import (
	"math/rand/v2"
	"sync"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/snapshot"
)

// index holds what the instance knows of one index.
type index struct {
	name string

	mu        sync.Mutex // guards the fields below
	snapshots snapshot.Chooser
	replicas  *replica.Random
	addresses map[query.TargetID]string
}

func newIndex(name string, source *rand.Rand) *index {
	return &index{name: name, replicas: replica.NewRandom(source), addresses: map[query.TargetID]string{}}
}

func (ix *index) publish(maps []query.Map) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.snapshots.Publish(maps)
}

func (ix *index) setTargets(targets []query.Target) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ix.replicas.SetTargets(targets)
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

// Choose implements scatter.Chooser.
func (ix *index) Choose(s query.Shard) (query.TargetID, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.replicas.Choose(s)
}

func (ix *index) address(id query.TargetID) string {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.addresses[id]
}
