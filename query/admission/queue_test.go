package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query/admission"
)

// Guards against a place that goes to a request that is late already while another one could still be in time,
// against ranks that count for nothing, and against a less urgent request that waits for good.
func TestQueueOrder(t *testing.T) {
	start := time.Unix(100, 0)
	type entry struct {
		name string
		due  time.Duration
		rank int
	}
	cases := map[string]struct {
		now     time.Duration
		entries []entry
		want    []string
	}{
		"by the time at which they are due":    {0, []entry{{"b", 150, 0}, {"a", 100, 0}, {"c", 200, 0}}, []string{"a", "b", "c"}},
		"of two that came together, the first": {0, []entry{{"a", 100, 0}, {"b", 100, 0}}, []string{"a", "b"}},
		"the late ones last":                   {120, []entry{{"late", 100, 0}, {"later", 110, 0}, {"in time", 150, 0}}, []string{"in time", "late", "later"}},
		"the more urgent one":                  {0, []entry{{"a", 100, 1}, {"b", 150, 0}}, []string{"b", "a"}},
		"but not all that came after":          {0, []entry{{"a", 100, 1}, {"b", 250, 0}}, []string{"a", "b"}},
		"a late urgent one after one in time":  {120, []entry{{"urgent", 100, 0}, {"in time", 150, 3}}, []string{"in time", "urgent"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var q admission.Queue[string]
			for _, e := range c.entries {
				q.Add(e.name, start.Add(e.due*time.Millisecond), e.rank)
			}
			var got []string
			for r, ok := q.Next(start.Add(c.now * time.Millisecond)); ok; r, ok = q.Next(start.Add(c.now * time.Millisecond)) {
				got = append(got, r)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against overload that makes all requests late, which is what a queue in the order of arrival does, and
// against a rank that is starved. Load: for one second twice what one place takes, of two ranks by turns.
func TestQueueUnderOverload(t *testing.T) {
	const (
		service   = 10 * time.Millisecond
		objective = 100 * time.Millisecond
		span      = time.Second
	)
	type request struct {
		at   time.Duration
		rank int
	}
	var q admission.Queue[request]
	start := time.Unix(100, 0)
	inTime, served := [2]int{}, [2]int{}
	next, n := time.Duration(0), 0
	for now := time.Duration(0); now < span; now += service {
		for ; next <= now; next += service / 2 {
			r := request{at: next, rank: n % 2}
			q.Add(r, start.Add(next+objective), r.rank)
			n++
		}
		r, ok := q.Next(start.Add(now))
		require.True(t, ok)
		served[r.rank]++
		if now+service <= r.at+objective {
			inTime[r.rank]++
		}
	}
	places := int(span / service)
	require.GreaterOrEqual(t, inTime[0]+inTime[1], places*8/10, "in the order of arrival it is a fifth")
	require.Greater(t, inTime[0], inTime[1])
	require.GreaterOrEqual(t, served[1], places/10)
}

// Guards against requests that a queue loses, gives a place twice, or keeps after they have left.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q admission.Queue[int]
		var waiting []int
		now := time.Unix(100, 0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				r := rapid.IntRange(0, 20).Draw(t, "request")
				due := now.Add(time.Duration(rapid.IntRange(-50, 200).Draw(t, "due")) * time.Millisecond)
				q.Add(r, due, rapid.IntRange(0, 3).Draw(t, "rank"))
				if !slices.Contains(waiting, r) {
					waiting = append(waiting, r)
				}
			},
			"remove": func(t *rapid.T) {
				r := rapid.IntRange(0, 20).Draw(t, "request")
				q.Remove(r)
				waiting = slices.DeleteFunc(waiting, func(w int) bool { return w == r })
			},
			"next": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				r, ok := q.Next(now)
				require.Equal(t, len(waiting) > 0, ok)
				if ok {
					require.Contains(t, waiting, r)
					waiting = slices.DeleteFunc(waiting, func(w int) bool { return w == r })
				}
			},
			"": func(t *rapid.T) { require.Equal(t, len(waiting), q.Len()) },
		})
	})
}
