package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hyssopcroft.example/query"
)

// CanaryTargets returns the targets on which a canary may run, in the order in which they are to be tried: one
// replica of each shard of the map that is not to be avoided. The order depends on the fingerprint alone,
// so that instances that run the same request at the same time use the same target, which can crash only
// once. A target that does not take the canary is followed by one of another shard.
func CanaryTargets(f Fingerprint, m query.Map, targets []query.Target, avoid []query.Shard) []Crash {
	best := map[query.Shard]query.TargetID{}
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		for _, s := range t.Shards {
			if old, known := best[s]; !known || rank(f, string(t.ID)) > rank(f, string(old)) {
				best[s] = t.ID
			}
		}
	}
	var places []Crash
	for _, s := range m.Shards {
		if id, known := best[s]; known && !slices.Contains(avoid, s) {
			places = append(places, Crash{Shard: s, Target: id})
		}
	}
	slices.SortFunc(places, func(a, b Crash) int {
		return cmp.Compare(rank(f, string(a.Target)), rank(f, string(b.Target)))
	})
	return places
}

// SingleShardCanaryTargets does what Places does for an index of one shard, where no other shard is left after a
// crash: it returns the replicas that have not crashed. Otherwise each request that was in flight on a
// target which ended for another reason would be refused for Hold. A crash at an unknown target leaves
// no place, since its target could be chosen again.
func SingleShardCanaryTargets(f Fingerprint, s query.Shard, targets []query.Target, crashes []Crash) []Crash {
	if slices.ContainsFunc(crashes, func(c Crash) bool { return c.Target == "" }) {
		return nil
	}
	var places []Crash
	for _, t := range targets {
		crashed := slices.ContainsFunc(crashes, func(c Crash) bool { return c.Target == t.ID })
		if !t.Leaving && !crashed && slices.Contains(t.Shards, s) {
			places = append(places, Crash{Shard: s, Target: t.ID})
		}
	}
	slices.SortFunc(places, func(a, b Crash) int {
		return cmp.Compare(rank(f, string(b.Target)), rank(f, string(a.Target)))
	})
	return places
}

func rank(f Fingerprint, id string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), uint64(f)))
}
