package directory_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

type consumer struct {
	mu           sync.Mutex
	versions     []query.Version
	targets      int
	incomplete   bool
	savedTargets int
	roster       *roster.Roster // what a gateway makes of the lists
	quarantined  []quarantine.Confirmed
	service      *configsync.Service
}

func (c *consumer) list() (entries int, incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets, c.incomplete
}

func (c *consumer) savedTargetCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.savedTargets
}

func (c *consumer) lastVersion() query.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.versions) == 0 {
		return 0
	}
	return c.versions[len(c.versions)-1]
}

func (c *consumer) appliedVersions() []query.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions
}

func (c *consumer) quarantinedRequests() []quarantine.Confirmed {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantined
}

// targetIDs returns the ids of the targets that a gateway uses.
func (c *consumer) targetIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, e := range c.roster.Entries(time.Now()) {
		if !e.Draining {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

func (c *consumer) targetCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets
}

// start starts an instance without peers that watches the store, and returns a consumer of what takes effect.
func start(t *testing.T, store *fakeStore) *consumer {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	bus := kernel.NewBus()
	t.Cleanup(func() { require.NoError(t, bus.Close()) })
	ring := timeline.NewRing("a", 16, hlc.New(time.Now))
	s := configsync.NewWithSchema(directory.Schema(), directory.NewSource(store, log), bus, ring, log, counters.NewSet())
	s.UseFleet(singleInstance{})
	s.UseQuarantineStore(store)
	c := &consumer{service: s, roster: roster.New()}
	require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev configsync.QuarantineChanged) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.quarantined = ev.Confirmed
	}))
	require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev directory.RoutesChanged) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.versions = append(c.versions, ev.Table.Version)
	}))
	require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev directory.TargetsChanged) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.roster.BeginEra(time.Now(), ev.Era)
		c.roster.Replace(time.Now(), ev.Entries, ev.Incomplete)
		c.targets, c.incomplete, c.savedTargets = len(ev.Entries), ev.Incomplete, len(ev.BeforeOutage)
	}))
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })
	synctest.Wait()
	return c
}

// singleInstance is a fleet of one instance.
type singleInstance struct{}

func (singleInstance) Self() membership.Member {
	return membership.Member{ID: "a", FailureDomain: "d", State: membership.Live}
}
func (a singleInstance) Members() []membership.Member { return []membership.Member{a.Self()} }
func (singleInstance) Transport() http.RoundTripper   { return http.DefaultTransport }
func (singleInstance) ConfigChanged()                 {}

// Guards against a change that goes unnoticed because the connection of the watch was lost silently. The change has
// to take effect within the 4 s after which a fleet counts as stable again.
func TestSilentWatchIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.version = 4
		c := start(t, store)
		require.Equal(t, query.Version(4), c.lastVersion())
		time.Sleep(time.Second)
		store.set(func() { store.silent = true })
		store.change(func() { store.version = 6; store.oldest = store.revision })
		time.Sleep(4 * time.Second)
		require.Equal(t, query.Version(6), c.lastVersion())
	})
}

// Guards against an older version, for instance from a stale read, that replaces a newer one.
func TestVersionsNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.version = 7
		c := start(t, store)
		for _, v := range []query.Version{9, 8, 11} {
			store.change(func() { store.version = v })
			time.Sleep(time.Second)
		}
		synctest.Wait()
		require.Equal(t, []query.Version{7, 9, 11}, c.appliedVersions())
	})
}

// Guards against an instance that loses its position in the history during an outage of the store, or that retries
// without a pause.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		require.Equal(t, 2, c.targetCount())
		time.Sleep(10 * time.Second)
		store.set(func() { store.down = true })
		store.change(func() { store.version = 2 })
		before := store.callCount()
		time.Sleep(30 * time.Second)
		require.Less(t, store.callCount()-before, 140, "two lists, each at most twice a second")
		require.Equal(t, query.Version(1), c.lastVersion())
		require.Equal(t, 2, c.targetCount())
		store.set(func() { store.down = false })
		time.Sleep(2 * time.Second)
		require.Equal(t, query.Version(2), c.lastVersion())
	})
}

// startWithTargets starts an instance on a store that has the given targets and routes of version 1.
func startWithTargets(t *testing.T, ids ...string) (*fakeStore, *consumer) {
	t.Helper()
	store := newFakeStore()
	store.version = 1
	for _, id := range ids {
		store.targets = append(store.targets, roster.Entry{ID: id})
	}
	return store, start(t, store)
}

// Guards against an instance that distributes targets from before an outage although they have left, and against
// lapsed entries that stay missing because no watch reported their return: the list is read once more after the
// targets had time to register again.
func TestListAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		store.set(func() { store.down = true })
		store.change(func() { store.targets = nil; store.oldest = store.revision + 1 })
		time.Sleep(10 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(time.Second)
		entries, incomplete := c.list()
		require.Empty(t, entries, "the list of the store, not the one from before the outage")
		require.True(t, incomplete)
		// The entries return while watches report no changes.
		store.set(func() { store.silent = true })
		store.change(func() { store.targets = []roster.Entry{{ID: "a"}} })
		time.Sleep(2 * time.Second)
		entries, incomplete = c.list()
		require.Equal(t, 1, entries)
		require.False(t, incomplete)
	})
}

// Guards against a start without targets after an outage in which all instances lost power and the entries lapsed,
// and against targets from before the outage that stay although they did not register again.
func TestStartAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.version, store.down = 1, true
		store.saved = []roster.Entry{{ID: "a"}, {ID: "b"}}
		c := start(t, store)
		time.Sleep(time.Second)
		store.set(func() { store.down = false })
		time.Sleep(500 * time.Millisecond)
		entries, incomplete := c.list()
		require.Empty(t, entries)
		require.True(t, incomplete)
		require.Equal(t, 2, c.savedTargetCount())
		store.set(func() { store.targets = store.saved[:1] })
		time.Sleep(2500 * time.Millisecond)
		entries, incomplete = c.list()
		require.Equal(t, 1, entries)
		require.False(t, incomplete)
		require.Zero(t, c.savedTargetCount())
	})
}

// changingFleet is a fleet of one instance, which is not live while left is set.
type changingFleet struct {
	singleInstance
	left atomic.Bool
}

func (f *changingFleet) Members() []membership.Member {
	if f.left.Load() {
		return nil
	}
	return f.singleInstance.Members()
}

// Guards against a TargetSaver that saves an unchanged list, draining targets or an incomplete list.
func TestTargetSaver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, bus := newFakeStore(), kernel.NewBus()
		fleet := &changingFleet{}
		saver := directory.NewTargetSaver(store, bus, fleet, slog.New(slog.DiscardHandler))
		require.NoError(t, saver.Start(t.Context()))
		publish := func(ev directory.TargetsChanged) {
			require.NoError(t, bus.Publish(ev))
			time.Sleep(5 * time.Second)
		}
		a, b := roster.Entry{ID: "a"}, roster.Entry{ID: "b"}
		publish(directory.TargetsChanged{Entries: []roster.Entry{a, b, {ID: "c", Draining: true}}})
		saved, _ := store.lastSaved()
		require.Equal(t, []roster.Entry{a, b}, saved)
		publish(directory.TargetsChanged{Entries: []roster.Entry{a}, Incomplete: true})
		cold := b
		cold.ColdFor = time.Second
		publish(directory.TargetsChanged{Entries: []roster.Entry{a, cold}})
		_, writes := store.lastSaved()
		require.Equal(t, 1, writes)
		store.set(func() { store.down = true })
		publish(directory.TargetsChanged{Entries: []roster.Entry{b}})
		store.set(func() { store.down = false })
		time.Sleep(5 * time.Second)
		saved, _ = store.lastSaved()
		require.Equal(t, []roster.Entry{b}, saved)
		// Meanwhile another member is selected and saves a different list.
		fleet.left.Store(true)
		time.Sleep(5 * time.Second)
		store.set(func() { store.saved = []roster.Entry{a, b} })
		fleet.left.Store(false)
		time.Sleep(5 * time.Second)
		saved, _ = store.lastSaved()
		require.Equal(t, []roster.Entry{b}, saved)
		require.NoError(t, saver.Stop(t.Context()))
		require.NoError(t, bus.Close())
	})
}

// Guards against a list that stays marked as incomplete after an outage because nothing has changed since.
func TestListIsReadAgainAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		store.set(func() { store.down = true })
		store.change(func() { store.targets = store.targets[:1] })
		time.Sleep(10 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(4 * time.Second)
		entries, incomplete := c.list()
		require.Equal(t, 1, entries)
		require.False(t, incomplete)
	})
}

// Guards against the loss of all targets after an outage in which no call failed: it falls within one watch, whose
// answer then reports all entries as removed.
func TestOutageWithinAWatch(t *testing.T) {
	for name, delay := range map[string]time.Duration{"answered in time": 0, "answered late": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.version = 1
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					store.targets = append(store.targets, roster.Entry{ID: id})
				}
				c := start(t, store)
				gone := 5
				if delay > 0 {
					gone = 1 // Below massLapseShare: only the late answer shows the outage.
				}
				store.set(func() { store.delay, store.vanished = delay, gone })
				time.Sleep(5 * time.Second)
				store.change(func() { store.targets = store.targets[gone:] })
				time.Sleep(time.Second + delay)
				if delay > 0 {
					time.Sleep(3200 * time.Millisecond) // The wait time of the watch.
				}
				entries, incomplete := c.list()
				require.Equal(t, 5-gone, entries)
				require.True(t, incomplete)
				store.change(func() { store.vanished = 0; store.delay = 0 })
				time.Sleep(5 * time.Second)
				_, incomplete = c.list()
				require.False(t, incomplete)
			})
		})
	}
}

// Guards against targets that stay in use for long after they have left the list, because many others leave it within
// lapseGrace (review/10): the time until the list is read again must not start anew.
func TestSecondMassRemovalDoesNotDelayTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.version = 1
		for id := 'a'; id <= 'j'; id++ {
			store.targets = append(store.targets, roster.Entry{ID: string(id)})
		}
		c := start(t, store)
		time.Sleep(5 * time.Second)
		store.change(func() { store.targets, store.vanished = store.targets[4:], 4 })
		time.Sleep(1700 * time.Millisecond)
		store.change(func() { store.targets, store.vanished = store.targets[3:], 7 })
		time.Sleep(time.Second)
		require.ElementsMatch(t, []string{"h", "i", "j"}, c.targetIDs())
	})
}
