package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against credits that run twice, against false answers to callers, and against runs that are
// not reproducible.
func TestCreditsRunAtMostOnceUnderFaults(t *testing.T) {
	sc := claimScenario{
		Credits: 3000, CreditRate: 200, Instances: 4, Seed: 3,
		Faults: claimFaults{
			lostAnswerShare: 0.03, lateEffectShare: 0.02, refusalShare: 0.01, replaceInterval: 2 * time.Second,
			pauseInterval: time.Second, outageInterval: 5 * time.Second, outageDuration: 2 * time.Second,
		},
	}
	f := runCredits(sc).figures()
	require.Positive(t, f["ran"])
	for _, figure := range []string{
		"run_twice", "said_not_run_but_run", "said_done_but_not_run", "without_an_answer", "submissions_without_an_answer",
	} {
		require.Zero(t, f[figure], figure)
	}
	require.Equal(t, f, runCredits(sc).figures())
}
