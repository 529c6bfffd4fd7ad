package directory_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/quarantine"
)

// Guards against quarantined requests that are lost with the instances that know them, also if they are confirmed while
// the store is away.
func TestQuarantinedRequestsOutliveInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, first := startWithTargets(t, "a")
		store.set(func() { store.down = true })
		confirmed := quarantine.Confirmed{
			Fingerprint: 7, Crashes: []quarantine.Crash{{Target: "a"}, {Target: "b"}, {Target: "c"}},
			UntilMillis: time.Now().Add(quarantine.HoldDuration).UnixMilli(),
		}
		first.service.AddQuarantined(confirmed)
		time.Sleep(30 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(5 * time.Second)
		require.Equal(t, []quarantine.Confirmed{confirmed}, first.quarantinedRequests())
		second := start(t, store)
		time.Sleep(2 * time.Second)
		require.Equal(t, []quarantine.Confirmed{confirmed}, second.quarantinedRequests())
	})
}

// Guards against a request that instances refuse which start after it has been released, also if it is released while the
// store is away or in the batch in which it was added.
func TestReleasedRequestIsRemovedFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, first := startWithTargets(t, "a")
		confirmed := func(f quarantine.Fingerprint) quarantine.Confirmed {
			return quarantine.Confirmed{
				Fingerprint: f, Crashes: []quarantine.Crash{{Target: "a"}, {Target: "b"}, {Target: "c"}},
				UntilMillis: time.Now().Add(quarantine.HoldDuration).UnixMilli(),
			}
		}
		stays, released, again := confirmed(7), confirmed(8), confirmed(9)
		first.service.AddQuarantined(stays)
		first.service.AddQuarantined(released)
		time.Sleep(5 * time.Second)
		require.Len(t, first.quarantinedRequests(), 2)
		store.set(func() { store.down = true })
		first.service.RemoveQuarantined(released.Fingerprint)
		first.service.AddQuarantined(again)
		first.service.RemoveQuarantined(again.Fingerprint)
		first.service.AddQuarantined(again)
		time.Sleep(30 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(10 * time.Second)
		second := start(t, store)
		time.Sleep(2 * time.Second)
		require.ElementsMatch(t, []quarantine.Confirmed{stays, again}, second.quarantinedRequests())
	})
}

// Guards against a watch that goes on from a revision that the store has lost, and reads the list again and again until
// the store's revisions have passed it.
func TestRestoredStoreIsNotReadInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _ := startWithTargets(t, "a", "b")
		for range 50 {
			store.change(func() { store.version++ })
			time.Sleep(100 * time.Millisecond)
		}
		before := store.callCount()
		store.restore(10, func() {})
		time.Sleep(10 * time.Second)
		require.Less(t, store.callCount()-before, 30, "a few lists, and watches that wait")
	})
}

// Guards against a change that is missed after a restore, because its revision was given out before or because the watch
// goes on beyond it.
func TestChangesAfterARestoreTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		for range 50 {
			store.change(func() { store.version++ })
			time.Sleep(100 * time.Millisecond)
		}
		store.restore(10, func() {})
		time.Sleep(5 * time.Second)
		for n := range 80 {
			store.change(func() {
				store.targets = []roster.Entry{{ID: "a"}, {ID: "b"}}
				for i := range n % 3 {
					store.targets = append(store.targets, roster.Entry{ID: string(rune('c' + i))})
				}
				store.vanished = 5
			})
			time.Sleep(time.Second)
			require.Equal(t, 2+n%3, c.targetCount(), "change %d", n)
		}
	})
}

// Guards against a target that is draining or has left, and is in use again after a restore although it has not written
// since; and against live targets that are given up because the copy lacks them.
func TestCopyBringsNoTargetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t)
		entry := func(id string, sequence int64) roster.Entry {
			return roster.Entry{ID: id, Incarnation: 1, Sequence: sequence}
		}
		store.change(func() { store.targets = []roster.Entry{entry("a", 1), entry("b", 1)} })
		time.Sleep(time.Second)
		store.change(func() { store.targets, store.vanished = []roster.Entry{entry("a", 1), entry("c", 1)}, 2 })
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "c"}, c.targetIDs())
		store.set(func() { store.vanished = 0 })
		store.restore(2, func() { store.targets = []roster.Entry{entry("a", 1), entry("b", 1)} })
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "c"}, c.targetIDs())
		store.change(func() { store.targets = []roster.Entry{entry("a", 1), entry("b", 1), entry("c", 5)} })
		for range 10 {
			time.Sleep(time.Second)
			require.Equal(t, []string{"a", "c"}, c.targetIDs())
		}
	})
}

// Guards against saved targets that a restored store has lost, and that are not saved again.
func TestTargetsAreSavedAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, bus := newFakeStore(), kernel.NewBus()
		saver := directory.NewTargetSaver(store, bus, &changingFleet{}, slog.New(slog.DiscardHandler))
		require.NoError(t, saver.Start(t.Context()))
		entries := []roster.Entry{{ID: "a"}}
		for era := range uint64(3) {
			store.set(func() { store.saved = nil })
			require.NoError(t, bus.Publish(directory.TargetsChanged{Entries: entries, Era: era}))
			time.Sleep(5 * time.Second)
			saved, _ := store.lastSaved()
			require.Equal(t, entries, saved)
		}
		require.NoError(t, saver.Stop(t.Context()))
		require.NoError(t, bus.Close())
	})
}
