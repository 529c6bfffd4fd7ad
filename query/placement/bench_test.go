package placement_test

import (
	"testing"

	"hyssopcroft.example/query/placement"
)

// BenchmarkNew computes the placement of the largest index at the design size, which an instance repeats
// whenever a member or a target changes.
func BenchmarkNew(b *testing.B) {
	targets, members := designSizeTargets()["index-0"], generation(0, 0, instances)
	b.ReportAllocs()
	for b.Loop() {
		placement.New("instance-0-0", "index-0", targets, members)
	}
}
