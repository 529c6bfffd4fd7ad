package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against runs that are not reproducible, and against a model in which the request crashes
// nothing even without quarantine, so that the measure would show no difference.
func TestCrashRunIsReproducible(t *testing.T) {
	d := Deployments()[1]
	sc := Scenario{
		Deployment: d, Index: d.Indexes[0], Service: heavyTail, Utilisation: 0.2, Queries: 500, WarmUp: 500,
		Deadline: searchDeadline, Seed: 3,
	}
	first := newCrashRun(sc, "unseen-shape", true).run()
	require.Equal(t, first, newCrashRun(sc, "unseen-shape", true).run())
	require.LessOrEqual(t, first["targets_crashed"], 2.0)
	require.Greater(t, newCrashRun(sc, "unseen-shape", false).run()["most_replicas_of_a_shard"], 1.0)
}
