// Package replica chooses which target of a shard an attempt goes to.
package replica

import (
	"math/rand/v2"

	"hyssopcroft.example/query"
)

// Random selects a replica that is not leaving, each with equal probability. It is the baseline that
// other choosers are compared with. It is not safe for concurrent use.
type Random struct {
	source  *rand.Rand
	byShard map[query.Shard][]query.TargetID
}

// NewRandom returns a chooser without targets that draws random numbers from source.
func NewRandom(source *rand.Rand) *Random {
	return &Random{source: source, byShard: map[query.Shard][]query.TargetID{}}
}

// SetTargets replaces the list of targets.
func (r *Random) SetTargets(targets []query.Target) {
	clear(r.byShard)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		for _, s := range t.Shards {
			r.byShard[s] = append(r.byShard[s], t.ID)
		}
	}
}

// Choose returns a replica of the shard, or false if there is none.
func (r *Random) Choose(s query.Shard) (query.TargetID, bool) {
	replicas := r.byShard[s]
	if len(replicas) == 0 {
		return "", false
	}
	return replicas[r.source.IntN(len(replicas))], true
}
