package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query/quarantine"
)

// checkedTarget is a target as a check sees it.
type checkedTarget struct {
	closed     bool
	connect    func(after time.Duration) quarantine.ConnectResult
	restartsIn time.Duration // until the list has a later start; 0: never
	removedIn  time.Duration // until the list lacks the target; 0: never
}

// run runs a whole check. It returns the evidence at its end, the time until there was any, and its duration.
func (c checkedTarget) run() (evidence quarantine.Evidence, found, took time.Duration) {
	check := quarantine.NewCrashCheck(c.closed)
	for step, ok := check.Next(); ok; step, ok = check.Next() {
		took += step.Pause
		if step.Connect {
			check.OnConnect(c.connect(took))
		}
		if c.restartsIn > 0 && took >= c.restartsIn {
			check.OnRestarted()
		} else if c.removedIn > 0 && took >= c.removedIn {
			check.OnRemoved()
		}
		if evidence == quarantine.NoEvidence && check.Evidence() != evidence {
			found = took
		}
		evidence = check.Evidence()
	}
	return evidence, found, took
}

func always(r quarantine.ConnectResult) func(time.Duration) quarantine.ConnectResult {
	return func(time.Duration) quarantine.ConnectResult { return r }
}

// Guards against a crash without evidence because the target neither refuses connections nor starts again at its address
// within seconds, and against evidence against a target that is alive, is leaving, or cannot be reached.
func TestEvidenceOfCrash(t *testing.T) {
	accepts, refuses, silent := always(quarantine.ConnectAccepted), always(quarantine.ConnectRefused), always(quarantine.ConnectSilent)
	for name, tc := range map[string]struct {
		target checkedTarget
		want   quarantine.Evidence
		within time.Duration
	}{
		"refuses connections":             {checkedTarget{closed: true, connect: refuses}, quarantine.Proven, 0},
		"unanswered, refuses connections": {checkedTarget{connect: refuses}, quarantine.Proven, 0},
		"refuses after an idle connection": {checkedTarget{closed: true, connect: func(after time.Duration) quarantine.ConnectResult {
			if after < 100*time.Millisecond {
				return quarantine.ConnectAccepted
			}
			return quarantine.ConnectRefused
		}}, quarantine.Proven, 100 * time.Millisecond},
		"alive":                              {checkedTarget{closed: true, connect: accepts}, quarantine.NoEvidence, 0},
		"back, listed late":                  {checkedTarget{closed: true, connect: accepts, restartsIn: 6 * time.Second}, quarantine.Proven, 10 * time.Second},
		"closed, then silent":                {checkedTarget{closed: true, connect: silent}, quarantine.Likely, time.Second},
		"closed, silent, back after 12 s":    {checkedTarget{closed: true, connect: silent, restartsIn: 12 * time.Second}, quarantine.Proven, time.Second},
		"closed, silent, entry lapses":       {checkedTarget{closed: true, connect: silent, removedIn: 4 * time.Second}, quarantine.Proven, time.Second},
		"unanswered and silent":              {checkedTarget{connect: silent}, quarantine.NoEvidence, 0},
		"unanswered, silent, entry lapses":   {checkedTarget{connect: silent, removedIn: 4 * time.Second}, quarantine.Proven, 5 * time.Second},
		"leaving: removed, but still serves": {checkedTarget{closed: true, connect: accepts, removedIn: time.Second}, quarantine.NoEvidence, 0},
	} {
		t.Run(name, func(t *testing.T) {
			evidence, found, took := tc.target.run()
			require.Equal(t, tc.want, evidence)
			require.LessOrEqual(t, found, tc.within)
			require.LessOrEqual(t, took, 16*time.Second)
		})
	}
}

// Guards against a crash that counts seconds after the list has shown it, while the request crashes further targets.
func TestListedRestartCountsAtOnce(t *testing.T) {
	const delay = 500 * time.Millisecond
	for listedAfter := time.Second; listedAfter <= 9*time.Second; listedAfter += 100 * time.Millisecond {
		target := checkedTarget{closed: true, connect: always(quarantine.ConnectAccepted), restartsIn: listedAfter}
		evidence, found, _ := target.run()
		require.Equal(t, quarantine.Proven, evidence, listedAfter)
		require.LessOrEqual(t, found-listedAfter, delay, listedAfter)
	}
}

// Guards against evidence that depends on the order of events, that is withdrawn, or that comes without a sign, and against
// checks that do not end.
func TestEvidenceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		closed := rapid.Bool().Draw(t, "closed")
		check := quarantine.NewCrashCheck(closed)
		last, refused, restarted, silent := quarantine.NoEvidence, false, false, false
		steps := 0
		for step, ok := check.Next(); ok; step, ok = check.Next() {
			steps++
			require.Less(t, steps, 100)
			if step.Connect {
				r := quarantine.ConnectResult(rapid.IntRange(0, 2).Draw(t, "connect"))
				refused, silent = refused || r == quarantine.ConnectRefused, r == quarantine.ConnectSilent
				check.OnConnect(r)
			}
			removed := false
			switch rapid.IntRange(0, 9).Draw(t, "list") {
			case 0:
				restarted = true
				check.OnRestarted()
			case 1:
				removed = true
				check.OnRemoved()
			}
			require.GreaterOrEqual(t, check.Evidence(), last)
			last = check.Evidence()
			require.Equal(t, refused || restarted || removed && silent, last == quarantine.Proven)
			require.True(t, last != quarantine.Likely || closed && silent)
		}
	})
}
