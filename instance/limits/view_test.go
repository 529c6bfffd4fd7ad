package limits

import (
	"fmt"
	"testing"
	"time"

	"hyssopcroft.example/control/membership"
)

// BenchmarkView gives the processor time of a view of the fleet at the target size.
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
