package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query/admission"
)

// Guards against a slot that goes to a late request while another one could still be in time, against ranks
// without effect, and against the starvation of less urgent requests.
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
		"by due time":                       {0, []entry{{"b", 150, 0}, {"a", 100, 0}, {"c", 200, 0}}, []string{"a", "b", "c"}},
		"equal due times in arrival order":  {0, []entry{{"a", 100, 0}, {"b", 100, 0}}, []string{"a", "b"}},
		"late ones last":                    {120, []entry{{"late", 100, 0}, {"later", 110, 0}, {"in time", 150, 0}}, []string{"in time", "late", "later"}},
		"more urgent one first":             {0, []entry{{"a", 100, 1}, {"b", 150, 0}}, []string{"b", "a"}},
		"less urgent one due much earlier":  {0, []entry{{"a", 100, 1}, {"b", 250, 0}}, []string{"a", "b"}},
		"late urgent one after one in time": {120, []entry{{"urgent", 100, 0}, {"in time", 150, 3}}, []string{"in time", "urgent"}},
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

// Guards against overload that makes all requests late, as a FIFO queue does, and against starvation of a
// rank. The load is twice the capacity of one slot for one second, with two alternating ranks.
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
	require.GreaterOrEqual(t, inTime[0]+inTime[1], places*8/10, "a FIFO queue serves a fifth in time")
	require.Greater(t, inTime[0], inTime[1])
	require.GreaterOrEqual(t, served[1], places/10)
}

// Guards against a queue that loses requests, returns one twice, or returns one that was removed.
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
