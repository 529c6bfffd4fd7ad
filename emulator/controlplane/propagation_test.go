package controlplane

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/emulator/measure"
	"hyssopcroft.example/emulator/pipenet"
)

// Guards against edits that are late, lost, reverted or wrongly reported as failed under racing
// edits, lost messages, stale reads, lost answers, an outage of the store and regions apart. It
// runs the measure in virtual time, so that the load of the machine does not count.
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
