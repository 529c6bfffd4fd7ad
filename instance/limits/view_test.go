package limits

import (
	"fmt"
	"testing"
	"time"

	"hyssopcroft.example/control/membership"
)

// BenchmarkView measures the CPU time of computing a view of a fleet of 780 instances, the target size.
func BenchmarkView(b *testing.B) {
	members := make([]membership.Member, 780)
	for i := range members {
		id := fmt.Sprintf("instance-%d", i)
		members[i] = membership.Member{ID: id, Address: id, State: membership.Live}
	}
	b.ReportAllocs()
	for b.Loop() {
		newView(time.Time{}, members)
	}
}
