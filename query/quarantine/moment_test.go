package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

// crashAt is a crash of a target at a time after start, with the submission that counts it separately, if any.
func crashAt(target string, after time.Duration, submission query.RequestID) quarantine.Crash {
	return quarantine.Crash{Target: query.TargetID(target), At: start.Add(after), Submission: submission}
}

// Guards against a request that is refused because several targets on which it was in flight crashed at once, and against
// one that is not refused although it crashed them one after the other.
func TestCrashesOfOneMomentCountAsOne(t *testing.T) {
	for name, tc := range map[string]struct {
		crashes []quarantine.Crash
		want    int
	}{
		"one after the other":           {[]quarantine.Crash{crashAt("a", 0, 0), crashAt("b", time.Second, 0), crashAt("c", 2*time.Second, 0)}, 3},
		"at once":                       {[]quarantine.Crash{crashAt("a", 0, 0), crashAt("b", 0, 0), crashAt("c", 50*time.Millisecond, 0)}, 1},
		"at once, one submission":       {[]quarantine.Crash{crashAt("a", 0, 7), crashAt("b", 0, 7), crashAt("c", 0, 7)}, 3},
		"at once, several submissions":  {[]quarantine.Crash{crashAt("a", 0, 7), crashAt("b", 0, 8), crashAt("c", 0, 9)}, 1},
		"two at once, then one":         {[]quarantine.Crash{crashAt("a", 0, 0), crashAt("b", 0, 0), crashAt("c", time.Second, 0)}, 2},
		"a chain of moments":            {[]quarantine.Crash{crashAt("a", 0, 0), crashAt("b", 80*time.Millisecond, 0), crashAt("c", 160*time.Millisecond, 0)}, 2},
		"without a time":                {[]quarantine.Crash{{Target: "a"}, {Target: "b"}, {Target: "c"}}, 3},
		"proven after it was likely":    {[]quarantine.Crash{crashAt("a", 0, 7), crashAt("b", 0, 0), crashAt("b", 0, 7)}, 2},
		"the same target again":         {[]quarantine.Crash{crashAt("a", 0, 7), crashAt("a", time.Second, 8)}, 1},
		"reported in another order":     {[]quarantine.Crash{crashAt("c", time.Second, 0), crashAt("a", 0, 0), crashAt("b", 0, 0)}, 2},
		"more than confirm the request": {[]quarantine.Crash{crashAt("a", 0, 7), crashAt("b", 0, 7), crashAt("c", 0, 7), crashAt("d", time.Second, 7)}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewListWithThreshold(3)
			for _, c := range tc.crashes {
				l.RecordCrash(start, fingerprint, 0, c)
			}
			require.Equal(t, tc.want, l.CrashCount(fingerprint))
			require.Equal(t, tc.want == 3, l.Refuses(start, fingerprint))
		})
	}
}

// Guards against a count that depends on the order in which reports arrive, and against instances that therefore disagree.
func TestCrashCountIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var crashes []quarantine.Crash
		for n := range rapid.IntRange(1, 10).Draw(t, "crashes") {
			at := time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			crashes = append(crashes, crashAt(fmt.Sprint(n), at, query.RequestID(rapid.IntRange(0, 2).Draw(t, "submission"))))
		}
		count := func(order []quarantine.Crash) int {
			l := quarantine.NewListWithThreshold(100)
			for _, c := range order {
				require.True(t, l.RecordCrash(start, fingerprint, 0, c))
			}
			return l.CrashCount(fingerprint)
		}
		want := count(crashes)
		require.LessOrEqual(t, want, len(crashes))
		require.Positive(t, want)
		require.Equal(t, want, count(rapid.Permutation(crashes).Draw(t, "order")))
	})
}

// Guards against a request that counts as answered for longer than its crashes are remembered, or before it was.
func TestAnsweredRecently(t *testing.T) {
	l := quarantine.NewListWithThreshold(3)
	require.False(t, l.AnsweredRecently(start, fingerprint))
	l.RecordCompleteAnswer(start, fingerprint)
	require.True(t, l.AnsweredRecently(start.Add(quarantine.HoldDuration-1), fingerprint))
	require.False(t, l.AnsweredRecently(start.Add(quarantine.HoldDuration), fingerprint))
}
