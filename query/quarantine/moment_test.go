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

// Guards against crashes that count although targets have answered the request since, at this or another instance, in
// whichever order the reports arrive; and against an answer that clears later crashes.
func TestCrashesBeforeAnAnswerDoNotCount(t *testing.T) {
	a, b, c := crashAt("a", 0, 0), crashAt("b", 2*time.Second, 0), crashAt("c", 4*time.Second, 0)
	answer := func(after time.Duration) func(*quarantine.List) {
		return func(l *quarantine.List) { l.RecordCompleteAnswer(start.Add(after), fingerprint) }
	}
	crash := func(c quarantine.Crash) func(*quarantine.List) {
		return func(l *quarantine.List) { l.RecordCrash(c.At, fingerprint, 0, c) }
	}
	imported := func(until time.Duration) func(*quarantine.List) {
		return func(l *quarantine.List) {
			l.Import(start.Add(5*time.Second), quarantine.Confirmed{
				Fingerprint: fingerprint, Crashes: []quarantine.Crash{a, b, c}, UntilMillis: start.Add(until).UnixMilli(),
			})
		}
	}
	for name, tc := range map[string]struct {
		events []func(*quarantine.List)
		want   int
	}{
		"between crashes":                {[]func(*quarantine.List){crash(a), answer(time.Second), crash(b)}, 1},
		"report of the answer is late":   {[]func(*quarantine.List){crash(a), crash(b), answer(time.Second)}, 1},
		"report of the crash is late":    {[]func(*quarantine.List){answer(time.Second), crash(a), crash(b)}, 1},
		"after all crashes":              {[]func(*quarantine.List){crash(a), crash(b), answer(3 * time.Second)}, 0},
		"after the quarantine":           {[]func(*quarantine.List){crash(a), crash(b), crash(c), answer(5 * time.Second)}, 0},
		"before the quarantine":          {[]func(*quarantine.List){crash(a), crash(b), crash(c), answer(time.Second)}, 3},
		"quarantined before, imported":   {[]func(*quarantine.List){answer(5 * time.Second), imported(quarantine.HoldDuration + 4*time.Second)}, 0},
		"quarantined since, imported":    {[]func(*quarantine.List){answer(time.Second), imported(quarantine.HoldDuration + 4*time.Second)}, 3},
		"older report of an answer":      {[]func(*quarantine.List){answer(3 * time.Second), answer(time.Second), crash(b)}, 0},
		"no answer":                      {[]func(*quarantine.List){crash(a), crash(b)}, 2},
		"crash without a time, answered": {[]func(*quarantine.List){crash(quarantine.Crash{Target: "x"}), answer(time.Second)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewListWithThreshold(3)
			for _, event := range tc.events {
				event(l)
			}
			require.Equal(t, tc.want, l.CrashCount(fingerprint))
			require.Equal(t, tc.want == 3, l.Refuses(start.Add(6*time.Second), fingerprint))
		})
	}
}

// Guards against a trial that is repeated soon because another instance has confirmed the request again, and against trials of a request
// that was never answered.
func TestTrialsGrowRare(t *testing.T) {
	for _, answered := range []bool{true, false} {
		l := quarantine.NewListWithThreshold(3)
		if answered {
			l.RecordCompleteAnswer(start.Add(-time.Second), fingerprint)
		}
		for n := range 3 {
			c := crashAt(fmt.Sprint(n), time.Duration(n)*time.Second, 0)
			l.RecordCrash(c.At, fingerprint, 0, c)
		}
		stored, confirmed := l.Confirmed(start.Add(3*time.Second), fingerprint, 0)
		require.True(t, confirmed)
		var trials []time.Duration
		for after := 3 * time.Second; after < 5*time.Minute; after += time.Second {
			now := start.Add(after)
			l.Import(now, stored)
			if l.TrialIsDue(now, fingerprint) {
				require.LessOrEqual(t, l.RetryAfter(now, fingerprint), 5*time.Second)
				l.BeginTrial(now, fingerprint)
				trials = append(trials, after)
				stored.UntilMillis = now.Add(quarantine.HoldDuration).UnixMilli() // Another instance confirms the request now.
			}
		}
		if !answered {
			require.Empty(t, trials)
			continue
		}
		require.GreaterOrEqual(t, len(trials), 3)
		for n := range trials[1:] {
			require.GreaterOrEqual(t, trials[n+1]-trials[n], 30*time.Second<<n)
		}
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
