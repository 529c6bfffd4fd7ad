package controlplane

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/pipenet"
	"hyssopcroft.example/emulator/platform"
	"hyssopcroft.example/kernel/settings"
)

// runWithFleet runs a test in virtual time with a settled fleet.
func runWithFleet(t *testing.T, size int, faults Faults, run func(*testing.T, *Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(1, faults)
		n.pipes = pipenet.New()
		f, err := StartFleet(size, n)
		require.NoError(t, err)
		run(t, f)
		f.Stop()
	})
}

// Guards against a rate of store calls that grows with the fleet, and against a failure domain without an instance
// that watches the store.
func TestInstancesOfEachDomainWatch(t *testing.T) {
	runWithFleet(t, 21, Faults{}, func(t *testing.T, f *Fleet) {
		time.Sleep(5 * time.Second)
		watching := map[string]int{}
		for _, i := range f.Instances {
			if i.Config.Watching() {
				watching[i.Self.FailureDomain]++
			}
		}
		require.Len(t, watching, failureDomains)
		for domain, count := range watching {
			require.Equal(t, config.WatchersPerDomain(failureDomains), count, domain)
		}
	})
}

// Guards against an edit that is not in force at all instances within 5 s when pushes or other messages are lost, and
// against an edit that an instance reverts.
func TestEditIsInForceEverywhere(t *testing.T) {
	for name, faults := range map[string]Faults{
		"no faults": {}, "every push lost": {LosePushes: true}, "one message in ten lost": {LossShare: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 16, faults, func(t *testing.T, f *Fleet) {
				o, e := startObserver(f), newEditor(f, 1)
				for plan := range 3 {
					e.edit(plan, anyInstance)
				}
				time.Sleep(2 * goalMaxMillis * time.Millisecond)
				o.close()
				require.Len(t, e.accepted, 3)
				require.LessOrEqual(t, o.maxPropagation(1, time.Time{}), float64(goalMaxMillis))
				require.Zero(t, o.revertCount())
			})
		})
	}
}

// Guards against an instance that has lost its watchers and all other instances, and learns of an edit only when it has declared
// them dead (review/9).
func TestIsolatedInstanceReadsTheStoreItself(t *testing.T) {
	const applyWithin = 3 * time.Second
	runWithFleet(t, 21, Faults{}, func(t *testing.T, f *Fleet) {
		e := newEditor(f, 1)
		time.Sleep(2 * time.Second)
		f.Network.UpdateFaults(func(faults *Faults) { faults.LossShare = 1 })
		e.edit(0, anyInstance)
		time.Sleep(applyWithin)
		for _, i := range f.Instances {
			inForce, _ := i.Config.InForce()
			require.EqualValues(t, 2, inForce.Sequence, i.Self.ID)
		}
	})
}

// Guards against a cold instance that waits for an unavailable store although its peers have the objects that it needs,
// and against instances that do not report that their configuration is unconfirmed.
func TestColdInstanceStartsFromPeers(t *testing.T) {
	runWithFleet(t, 8, Faults{}, func(t *testing.T, f *Fleet) {
		e := newEditor(f, 1)
		e.edit(0, anyInstance)
		outage := platform.Faults{Outage: platform.OutageRefuse, Purposes: []api.Purpose{
			"watch_config", "watch_snapshots", "watch_targets", "cold_config", "cold_snapshots", "cold_targets",
		}}
		require.NoError(t, f.Platform.SetFaults(outage))
		time.Sleep(5 * time.Second)
		require.NoError(t, f.addInstance(8))
		cold := f.Instances[8]
		require.NoError(t, cold.start())
		time.Sleep(5 * time.Second)
		require.True(t, cold.Operator.Ready())
		inForce, _ := cold.Config.InForce()
		require.EqualValues(t, 2, inForce.Sequence)
		for _, i := range f.Instances {
			_, unconfirmed := i.Config.Unconfirmed()
			require.Equal(t, i.Config.Watching(), unconfirmed, i.Self.ID)
		}
		time.Sleep(30 * time.Second)
		for _, i := range f.Instances {
			require.NotNil(t, i.Operator.Status().UnconfirmedSince, i.Self.ID)
		}
		require.NoError(t, f.Platform.SetFaults(platform.Faults{}))
		time.Sleep(15 * time.Second)
		for _, i := range f.Instances {
			require.Nil(t, i.Operator.Status().UnconfirmedSince, i.Self.ID)
		}
	})
}

// Guards against an edit that is reported as failed although it took effect. The answer to its write is lost, and the
// store remains unavailable.
func TestEditWithLostAnswerIsUnknown(t *testing.T) {
	runWithFleet(t, 3, Faults{}, func(t *testing.T, f *Fleet) {
		slow := platform.Faults{Delay: settings.Duration(5 * time.Second), Purposes: []api.Purpose{"edit_write"}}
		require.NoError(t, f.Platform.SetFaults(slow))
		e := newEditor(f, 1)
		go func() {
			time.Sleep(time.Second)
			_ = f.Platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse, Purposes: []api.Purpose{"edit_read"}})
		}()
		e.edit(0, anyInstance)
		require.Len(t, e.unknown, 1)
		time.Sleep(10 * time.Second)
		lost, failed := e.countMisreported()
		require.Zero(t, lost+failed)
		status := f.Instances[0].Operator.Status()
		require.EqualValues(t, 2, status.ConfigSequence, "the edit took effect")
	})
}

// Guards against errors in the line fit, on which the figures of the capacity page depend.
func TestFitLine(t *testing.T) {
	exact := FitLine([]float64{8, 16, 32}, []float64{26, 42, 74})
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 1570, exact.AtTarget, 1e-9)
	require.InDelta(t, 0, exact.SlopeStdErr, 1e-6)
	// Residuals -1, 2, -1 about the line 2x+10 with sizes 1, 2, 3.
	noisy := FitLine([]float64{1, 2, 3}, []float64{11, 16, 15})
	require.InDelta(t, 2, noisy.Slope, 1e-9)
	require.InDelta(t, 1.7320508, noisy.SlopeStdErr, 1e-6)
}
