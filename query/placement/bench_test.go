package placement_test

import (
	"testing"

	"hyssopcroft.example/query/placement"
)

// BenchmarkNew places the largest index of the target size, which an instance does again when a
// member or a target changes.
func BenchmarkNew(b *testing.B) {
	targets, members := targetSize()["index-0"], generation(0, 0, instances)
	b.ReportAllocs()
	for b.Loop() {
		placement.New("instance-0-0", "index-0", targets, members)
	}
}
