package target

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/wire/targetpb"
)

// BenchmarkCodec measures the CPU time of encoding one search request and decoding one response with three
// hits, without the HTTP call.
func BenchmarkCodec(b *testing.B) {
	req := &targetpb.SearchRequest{
		RequestId: 1 << 60, AttemptId: 1 << 61, Index: "returns-counter", Shard: 7, Snapshot: 12,
		Query: "washed jars", Limit: 10, TimeLeftUs: 90_000,
	}
	resp := &targetpb.SearchResponse{RequestId: 1 << 60, AttemptId: 1 << 61, Shard: 7, Snapshot: 12, Held: []uint64{11, 12}}
	for _, id := range []string{"a", "b", "c"} {
		hit := &targetpb.Hit{Id: "returns-counter/7/" + id, Score: 0.25, Text: "return of washed jars, entry 1 of shard 7"}
		resp.Hits = append(resp.Hits, hit)
	}
	raw, err := proto.Marshal(resp)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := proto.Marshal(req); err != nil {
			b.Fatal(err)
		}
		var out targetpb.SearchResponse
		if err := proto.Unmarshal(raw, &out); err != nil {
			b.Fatal(err)
		}
		ReplyOf(&out)
	}
	b.ReportMetric(float64(proto.Size(req)), "request-bytes")
	b.ReportMetric(float64(len(raw)), "response-bytes")
}
