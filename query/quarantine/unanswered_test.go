package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

func unansweredBy(id query.RequestID) quarantine.Submission {
	return quarantine.Submission{ID: id, Fingerprint: fingerprint}
}

// Guards against a submission that is forgotten before the list shows the crash of its target, and against one that counts
// although its target has answered since.
func TestUnansweredSubmissions(t *testing.T) {
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for name, tc := range map[string]struct {
		events func(u *quarantine.Unanswered[string])
		at     time.Duration
		want   int
	}{
		"two of one target":                  {func(u *quarantine.Unanswered[string]) { u.Add(start, "a", unansweredBy(2)) }, 10 * time.Second, 2},
		"the same again":                     {func(u *quarantine.Unanswered[string]) { u.Add(start, "a", unansweredBy(1)) }, 10 * time.Second, 1},
		"expired":                            {func(*quarantine.Unanswered[string]) {}, time.Minute, 0},
		"the target has answered long after": {func(u *quarantine.Unanswered[string]) { u.OnAnswer(after(3*time.Second), "a") }, 4 * time.Second, 0},
		"the target has answered soon after": {func(u *quarantine.Unanswered[string]) { u.OnAnswer(after(time.Second), "a") }, 4 * time.Second, 1},
		"another target has answered":        {func(u *quarantine.Unanswered[string]) { u.OnAnswer(after(3*time.Second), "b") }, 4 * time.Second, 1},
		"answered, and another left unserved": {func(u *quarantine.Unanswered[string]) {
			u.Add(after(3*time.Second), "a", unansweredBy(2))
			u.OnAnswer(after(4*time.Second), "a")
		}, 5 * time.Second, 1},
		"forgotten": {func(u *quarantine.Unanswered[string]) { u.Forget("a") }, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			u := quarantine.NewUnanswered[string]()
			u.Add(start, "a", unansweredBy(1))
			tc.events(u)
			require.Len(t, u.Targets(after(tc.at)), min(1, tc.want))
			require.Len(t, u.Take("a"), tc.want)
			require.Zero(t, u.Len())
		})
	}
}

// Guards against unanswered submissions without bound while a failure domain is dark, and against later ones that take the
// place of those that a target had in flight when it crashed.
func TestUnansweredSubmissionsAreBounded(t *testing.T) {
	u := quarantine.NewUnanswered[string]()
	for n := range 20_000 {
		u.Add(start, fmt.Sprint(n%1000), unansweredBy(query.RequestID(n)))
	}
	require.LessOrEqual(t, u.Len(), 2048)
	require.EqualValues(t, 7, u.Take("7")[0].ID)
	u.Add(start.Add(time.Minute), "new", unansweredBy(1))
	require.Len(t, u.Take("new"), 1)
}

// Guards against a request that is refused because it was in flight at targets that went dark together, and against a request
// that crashes one target after another and is let through.
func TestSilentCrashesCountByMoment(t *testing.T) {
	silent := func(target string, submission query.RequestID, began, shown time.Duration) quarantine.Crash {
		return quarantine.Crash{Target: query.TargetID(target), Submission: submission, Began: start.Add(began), At: start.Add(shown)}
	}
	const s = time.Second
	round := func(n int) []quarantine.Crash {
		var crashes []quarantine.Crash
		for i := range 6 {
			began := time.Duration(n) * 10 * s
			crashes = append(crashes, silent(fmt.Sprint(n, i), query.RequestID(10*n+i+1), began, began+3*s+time.Duration(i)*200*time.Millisecond))
		}
		return crashes
	}
	var rounds []quarantine.Crash
	for n := range 3 {
		rounds = append(rounds, round(n)...)
	}
	for name, tc := range map[string]struct {
		crashes []quarantine.Crash
		want    int
	}{
		"one target each submission":       {[]quarantine.Crash{silent("a", 1, 0, 3*s), silent("b", 2, 2*s, 5*s), silent("c", 3, 4*s, 7*s)}, 3},
		"two targets each submission":      {[]quarantine.Crash{silent("a", 1, 0, 3*s), silent("b", 1, 0, 5*s), silent("c", 2, 4*s, 7*s)}, 3},
		"many targets of one submission":   {[]quarantine.Crash{silent("a", 1, 0, 3*s), silent("b", 1, 0, 3*s), silent("c", 1, 0, 4*s)}, 1},
		"many targets, then one more":      {[]quarantine.Crash{silent("a", 1, 0, 3*s), silent("b", 1, 0, 3*s), silent("c", 1, 0, 4*s), silent("d", 2, 5*s, 8*s)}, 3},
		"a later one at silent targets":    {[]quarantine.Crash{silent("a", 2, s, 3*s), silent("b", 1, 0, 3*s), silent("a", 1, 0, 3*s), silent("c", 3, 5*s, 8*s)}, 3},
		"shown at about the same time":     {[]quarantine.Crash{silent("a", 1, 0, 4*s), silent("b", 2, s, 4*s), silent("c", 3, 2*s, 5*s)}, 1},
		"many submissions at one target":   {[]quarantine.Crash{silent("a", 1, 0, 3*s), silent("a", 2, 0, 3*s), silent("b", 3, 5*s, 8*s), silent("b", 4, 5*s, 8*s), silent("c", 5, 9*s, 12*s), silent("c", 6, 9*s, 12*s)}, 1},
		"many submissions in flight, once": {round(0), 0},
		"many submissions, three times":    {rounds, 1},
		"reported in another order":        {[]quarantine.Crash{silent("c", 3, 4*s, 7*s), silent("a", 1, 0, 3*s), silent("b", 2, 2*s, 5*s)}, 3},
		"one that closed its connection":   {[]quarantine.Crash{crashAt("x", 0, 0), silent("a", 1, 2*s, 5*s)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewListWithThreshold(3)
			for _, c := range tc.crashes {
				l.RecordCrash(c.At, fingerprint, 0, c)
			}
			require.Equal(t, tc.want, l.CrashCount(fingerprint))
		})
	}
}

// Guards against a request that keeps the suspicion although targets answered it between the crash and the time at which the list
// showed it.
func TestAnswerBeforeTheListShowsACrashClearsIt(t *testing.T) {
	l := quarantine.NewListWithThreshold(3)
	l.RecordCompleteAnswer(start.Add(time.Second), fingerprint)
	shown := start.Add(4 * time.Second)
	require.False(t, l.RecordCrash(shown, fingerprint, 0, quarantine.Crash{Target: "a", Submission: 1, Began: start, At: shown}))
	require.True(t, l.RecordCrash(shown, fingerprint, 0, quarantine.Crash{Target: "b", Submission: 2, Began: start.Add(2 * time.Second), At: shown}))
	require.True(t, l.RecordCompleteAnswer(start.Add(3*time.Second), fingerprint))
	require.Zero(t, l.CrashCount(fingerprint))
}

// Guards against a failure domain that fills the memory of a request, so that later crashes do not count.
func TestMomentWithManyCrashesLeavesRoomForLaterOnes(t *testing.T) {
	l := quarantine.NewListWithThreshold(3)
	shown := func(n int) time.Time { return start.Add(time.Duration(n) * 5 * time.Second) }
	for n := range 4 {
		for target := range 40 {
			l.RecordCrash(shown(n), fingerprint, 0, quarantine.Crash{
				Target: query.TargetID(fmt.Sprint(n, "-", target)), Submission: query.RequestID(n + 1), Began: shown(n).Add(-3 * time.Second), At: shown(n),
			})
		}
	}
	require.True(t, l.Refuses(shown(4), fingerprint))
}

// Guards against the loss of a failure domain that counts several times where targets send heartbeats seldom.
func TestMomentLastsOneHeartbeat(t *testing.T) {
	for heartbeat, want := range map[time.Duration]int{time.Second: 3, 5 * time.Second: 1} {
		l := quarantine.NewListWithThreshold(3)
		l.SetHeartbeat(heartbeat)
		for n := range 3 {
			at := start.Add(time.Duration(n) * 2 * time.Second)
			l.RecordCrash(at, fingerprint, 0, quarantine.Crash{
				Target: query.TargetID(fmt.Sprint(n)), Submission: query.RequestID(n + 1), Began: at.Add(-3 * time.Second), At: at,
			})
		}
		require.Equal(t, want, l.CrashCount(fingerprint), heartbeat)
	}
}
