package timeline_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// Guards against a ring that loses the newest events, exceeds its capacity, or returns events out of
// order.
func TestRingKeepsLatestEvents(t *testing.T) {
	cases := []struct {
		size, added int
		want        []string
	}{
		{3, 0, []string{}},
		{3, 2, []string{"0", "1"}},
		{3, 3, []string{"0", "1", "2"}},
		{3, 4, []string{"1", "2", "3"}},
		{3, 8, []string{"5", "6", "7"}},
		{1, 2, []string{"1"}},
	}
	for _, c := range cases {
		ring := timeline.NewRing("entry-1", c.size, hlc.New(time.Now))
		for i := range c.added {
			ring.Add("kind", strconv.Itoa(i), "detail")
		}
		got := []string{}
		var last hlc.Timestamp
		for _, ev := range ring.Events() {
			got = append(got, ev.Subject)
			require.Positive(t, ev.At.Compare(last))
			require.Equal(t, "entry-1", ev.Process)
			last = ev.At
		}
		require.Equal(t, c.want, got)
	}
}
