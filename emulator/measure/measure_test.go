package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a driver that depends on map order or on the wall clock and is therefore not reproducible.
func TestSameSeedGivesSameFigures(t *testing.T) {
	d := Deployments()[0]
	sc := Scenario{
		Deployment: d, Index: d.Indexes[0], Service: heavyTail, Utilisation: 0.3, Queries: 300, WarmUp: 30,
		Deadline: searchDeadline, Seed: 5,
		Setup: func(d *Driver) {
			d.Loop.After(100*time.Millisecond, d.searchers[d.index.targetID(1, 1)].crash)
		},
	}
	require.Equal(t, NewDriver(sc).Run(), NewDriver(sc).Run())
}

// Guards against a report that passes without goals or with a missed goal.
func TestReportPassesOnlyWithAllGoals(t *testing.T) {
	run := func(bounds ...float64) bool {
		m := Measure{Name: "m", Run: func(uint64) Report {
			r := NewReport()
			r.Result["x"] = 2
			for _, b := range bounds {
				r.ResultAtMost("x", b)
			}
			return r
		}}
		return m.Execute(1).Pass
	}
	require.False(t, run())
	require.True(t, run(2, 3))
	require.False(t, run(3, 1))
}
