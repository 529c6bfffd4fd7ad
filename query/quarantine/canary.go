package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hyssopcroft.example/query"
)

// CanaryTargets returns the targets on which a canary may run, in the order in which they should be tried:
// one replica of each shard of the map that is not in avoid. Each is returned as the Crash to record if it
// fails. The order depends on the fingerprint alone, so that instances that run the same request at the same
// time use the same target, which can crash only once. If a target does not accept the canary, the next one
// serves another shard.
func CanaryTargets(f Fingerprint, m query.Map, targets []query.Target, avoid []query.Shard) []Crash {
	best := map[query.Shard]query.TargetID{}
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		for _, s := range t.Shards {
			if current, ok := best[s]; !ok || score(f, string(t.ID)) > score(f, string(current)) {
				best[s] = t.ID
			}
		}
	}
	var candidates []Crash
	for _, s := range m.Shards {
		if id, ok := best[s]; ok && !slices.Contains(avoid, s) {
			candidates = append(candidates, Crash{Shard: s, Target: id})
		}
	}
	slices.SortFunc(candidates, func(a, b Crash) int {
		return cmp.Compare(score(f, string(a.Target)), score(f, string(b.Target)))
	})
	return candidates
}

// SingleShardCanaryTargets is CanaryTargets for an index of one shard, where no other shard remains after a
// crash: it returns the replicas that have not crashed. Otherwise each request that was in flight on a
// target that ended for another reason would be refused for HoldDuration. If the target of a crash is
// unknown, it returns none, since that target could be chosen again.
func SingleShardCanaryTargets(f Fingerprint, s query.Shard, targets []query.Target, crashes []Crash) []Crash {
	if slices.ContainsFunc(crashes, func(c Crash) bool { return c.Target == "" }) {
		return nil
	}
	var candidates []Crash
	for _, t := range targets {
		crashed := slices.ContainsFunc(crashes, func(c Crash) bool { return c.Target == t.ID })
		if !t.Leaving && !crashed && slices.Contains(t.Shards, s) {
			candidates = append(candidates, Crash{Shard: s, Target: t.ID})
		}
	}
	slices.SortFunc(candidates, func(a, b Crash) int {
		return cmp.Compare(score(f, string(b.Target)), score(f, string(a.Target)))
	})
	return candidates
}

// score is the rendezvous hash of a request and a target.
func score(f Fingerprint, id string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(id), uint64(f)))
}
