package controlplane

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/emulator/measure"
	"hyssopcroft.example/emulator/pipenet"
)

// Guards against edits that are late, lost, reverted or wrongly reported as failed, while edits race, messages and
// answers are lost, reads are stale, the store is unavailable or the regions are partitioned. The measure runs in
// virtual time, so that the load of the machine does not affect the figures.
func TestPropagationMeetsItsGoals(t *testing.T) {
	for _, size := range []int{16} {
		synctest.Test(t, func(t *testing.T) {
			n := NewNetwork(1, Faults{})
			n.pipes = pipenet.New()
			figures, err := runScenario(n, size, 1, true)
			require.NoError(t, err)
			r := measure.Report{Result: figures}
			r.Baseline, r.Ratio = measure.Figures{}, measure.Figures{}
			addGoals(&r, "")
			for _, g := range r.Goal {
				require.True(t, g.Pass, "%d instances: %+v", size, g)
			}
			require.NotZero(t, figures["accepted_edits"])
		})
	}
}
