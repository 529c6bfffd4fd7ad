package merge_test

import (
	"strconv"
	"testing"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

// BenchmarkMerge merges an answer at the design size: 440 parts of 50 hits each, every tenth of them offered
// twice, into 50 hits.
func BenchmarkMerge(b *testing.B) {
	const size, limit = 440, 50
	list := make([]query.Shard, size)
	parts := make([]query.Reply, size)
	for i := range list {
		list[i] = query.Shard(i)
		parts[i] = query.Reply{Request: testRequest, Snapshot: testSnapshot, Shard: list[i]}
		for h := range limit {
			parts[i].Hits = append(parts[i].Hits, query.Hit{ID: strconv.Itoa(i*limit + h), Score: float64((i*7919 + h*104729) % 10007)})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		m := merge.New(testRequest, testSnapshot, list, limit)
		for i, p := range parts {
			m.Offer(p)
			if i%10 == 0 {
				m.Offer(p)
			}
		}
		m.Finish("ledger", noCause)
	}
}
