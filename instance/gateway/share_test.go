package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/membership"
)

// Guards against instances that together open more connections to a target than it accepts, and against connections
// that the instances in the target's failure domain cannot use.
func TestConnectionsStayBelowTheLimit(t *testing.T) {
	for _, c := range []struct {
		limit    int
		domains  []int // instances by failure domain; the target is in the first one
		minLocal int   // minimum for an instance in the first domain
	}{
		{25, []int{3, 1, 2}, 3}, {25, []int{1, 3, 2}, 7}, {26, []int{3, 3, 2}, 3}, {26, []int{4, 4, 3}, 2},
		{62, []int{11, 10, 9, 10, 10, 10}, 1}, {96, []int{3, 1, 2}, 8}, {51, []int{3, 3, 2}, 5},
	} {
		sum, rateParts := 0, 0.0
		for d, n := range c.domains {
			var list []membership.Member
			for domain, count := range c.domains {
				for range count {
					list = append(list, membership.Member{FailureDomain: string(rune('a' + domain)), State: membership.Live})
				}
			}
			s := shareOf(list, string(rune('a'+d)), len(c.domains))
			share := s.connections(c.limit, d == 0)
			sum += n * share
			rateParts += float64(n) * s.ratePart
			if d == 0 {
				require.GreaterOrEqual(t, share, c.minLocal, "%v", c)
			}
		}
		require.LessOrEqual(t, sum, c.limit, "%v", c)
		require.InDelta(t, 1, rateParts, 1e-9, "%v", c)
	}
}

// Guards against members that are not counted although they may still send attempts.
func TestShareExcludesOnlyDeadMembers(t *testing.T) {
	var list []membership.Member
	for range 3 {
		for _, state := range []membership.State{membership.Starting, membership.Live, membership.Suspect, membership.Leaving, membership.Dead} {
			list = append(list, membership.Member{FailureDomain: "a", State: state})
		}
	}
	require.Equal(t, share{instances: 12, sameDomain: 12, ratePart: 1.0 / 24}, shareOf(list, "a", 2))
	require.Equal(t, share{instances: 6, sameDomain: 1, ratePart: 1.0 / 3}, shareOf(nil, "a", 3))
}
