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

	"github.com/pkg/errors"
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
	"hyssopcroft.example/query/routing"
)

// fakeStore answers as its fields say. Watches wait for a change or for their time.
type fakeStore struct {
	mu       sync.Mutex
	version  query.Version
	targets  []roster.Entry
	revision directory.Revision
	oldest   directory.Revision // history before it is gone
	down     bool
	silent   bool // watches that wait learn of no change, even after it ends
	changed  chan struct{}
	calls    int
	late     time.Duration // added to the wait of watches that find a change
	vanished int           // number of entries a to e that watches report as removed
	kept     []roster.Entry
	keeps    int // writes of kept
}

func (f *fakeStore) KeepTargets(_ context.Context, list []roster.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.call(); err != nil {
		return err
	}
	f.kept = list
	f.keeps++
	return nil
}

// written returns what was kept last, and how often.
func (f *fakeStore) written() ([]roster.Entry, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kept, f.keeps
}

func (f *fakeStore) KeptTargets(context.Context) ([]roster.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kept, f.call()
}

func newFakeStore() *fakeStore { return &fakeStore{revision: 1, changed: make(chan struct{})} }

var errDown = errors.New("down")

func (f *fakeStore) change(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	f.revision++
	if !f.silent {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *fakeStore) set(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
}

func (f *fakeStore) called() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// call counts a call. It must be called with mu held.
func (f *fakeStore) call() error {
	f.calls++
	if f.down {
		return errDown
	}
	return nil
}

func (f *fakeStore) wait(ctx context.Context, after directory.Revision, wait time.Duration) error {
	f.mu.Lock()
	err := f.call()
	if err == nil && after < f.oldest {
		err = directory.ErrHistoryGone
	}
	changed := f.changed
	ahead := f.revision > after
	f.mu.Unlock()
	if err != nil || ahead {
		return err
	}
	patience := kernel.NewAlarm(wait)
	defer patience.Stop()
	select {
	case <-changed:
	case <-patience.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	return nil
}

func (f *fakeStore) table() *routing.Table {
	if f.version == 0 {
		return nil
	}
	return &routing.Table{Version: f.version}
}

func (f *fakeStore) Routes(context.Context) (*routing.Table, directory.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table(), f.revision, f.call()
}

func (f *fakeStore) WatchRoutes(ctx context.Context, after directory.Revision, wait time.Duration) (*routing.Table, directory.Revision, error) {
	if err := f.wait(ctx, after, wait); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == after {
		return nil, f.revision, nil
	}
	return f.table(), f.revision, nil
}

func (f *fakeStore) Targets(context.Context) ([]roster.Entry, directory.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets, f.revision, f.call()
}

func (f *fakeStore) WatchTargets(ctx context.Context, after directory.Revision, wait time.Duration) ([]roster.Change, directory.Revision, error) {
	if err := f.wait(ctx, after, wait); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	if f.late > 0 && f.revision > after {
		late := wait + f.late
		f.mu.Unlock()
		time.Sleep(late)
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	var changes []roster.Change
	if f.revision > after {
		for i := range f.vanished {
			changes = append(changes, roster.Change{ID: string(rune('a' + i))})
		}
		for _, e := range f.targets {
			changes = append(changes, roster.Change{ID: e.ID, Entry: &e})
		}
	}
	return changes, f.revision, nil
}

type consumer struct {
	mu       sync.Mutex
	versions []query.Version
	targets  int
	lapsed   bool
	before   int
}

func (c *consumer) list() (entries int, lapsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets, c.lapsed
}

func (c *consumer) beforeOutage() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.before
}

func (c *consumer) last() query.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.versions) == 0 {
		return 0
	}
	return c.versions[len(c.versions)-1]
}

func (c *consumer) taken() []query.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions
}

func (c *consumer) known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets
}

// start follows the store as a watching instance does, without peers, and returns what it puts in force.
func start(t *testing.T, store *fakeStore) *consumer {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	bus := kernel.NewBus()
	t.Cleanup(func() { require.NoError(t, bus.Close()) })
	ring := timeline.NewRing("a", 16, hlc.New(time.Now))
	s := configsync.NewWithSchema(directory.Schema(), directory.NewSource(store, log), bus, ring, log, counters.NewSet())
	s.UseFleet(alone{})
	c := &consumer{}
	require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev directory.RoutesChanged) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.versions = append(c.versions, ev.Table.Version)
	}))
	require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev directory.TargetsChanged) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.targets, c.lapsed, c.before = len(ev.Entries), ev.Lapsed, len(ev.Before)
	}))
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })
	synctest.Wait()
	return c
}

// alone is a fleet of one instance.
type alone struct{}

func (alone) Self() membership.Member {
	return membership.Member{ID: "a", FailureDomain: "d", State: membership.Live}
}
func (a alone) Members() []membership.Member { return []membership.Member{a.Self()} }
func (alone) Transport() http.RoundTripper   { return http.DefaultTransport }
func (alone) ConfigChanged()                 {}

// Guards against a change that stays unknown because the watch that should have told of it was cut off
// without a word: it has to be in force within 4 s, after which a fleet counts as calm again.
func TestSilentWatchIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.version = 4
		c := start(t, store)
		require.Equal(t, query.Version(4), c.last())
		time.Sleep(time.Second)
		store.set(func() { store.silent = true })
		store.change(func() { store.version = 6; store.oldest = store.revision })
		time.Sleep(4 * time.Second)
		require.Equal(t, query.Version(6), c.last())
	})
}

// Guards against an older version that takes the place of a newer one, as a stale read would bring.
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
		require.Equal(t, []query.Version{7, 9, 11}, c.taken())
	})
}

// Guards against an instance that loses its place in the history while the store is away, or that calls
// it without a pause.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		require.Equal(t, 2, c.known())
		time.Sleep(10 * time.Second)
		store.set(func() { store.down = true })
		store.change(func() { store.version = 2 })
		before := store.called()
		time.Sleep(30 * time.Second)
		require.Less(t, store.called()-before, 140, "two lists, each at most twice a second")
		require.Equal(t, query.Version(1), c.last())
		require.Equal(t, 2, c.known())
		store.set(func() { store.down = false })
		time.Sleep(2 * time.Second)
		require.Equal(t, query.Version(2), c.last())
	})
}

// startWithTargets starts a reader of a store that has these targets and routes of version 1.
func startWithTargets(t *testing.T, ids ...string) (*fakeStore, *consumer) {
	t.Helper()
	store := newFakeStore()
	store.version = 1
	for _, id := range ids {
		store.targets = append(store.targets, roster.Entry{ID: id})
	}
	return store, start(t, store)
}

// Guards against an instance that regains the store on its own and, after its own outage, tells the others
// of targets that have left long ago, and against entries that lapsed for good because nothing was heard
// of their return: a list read after they had time to come back decides.
func TestListAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		store.set(func() { store.down = true })
		store.change(func() { store.targets = nil; store.oldest = store.revision + 1 })
		time.Sleep(10 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(time.Second)
		entries, lapsed := c.list()
		require.Empty(t, entries, "the store's list, not that of before the outage")
		require.True(t, lapsed)
		// The entries come back while watches learn of nothing.
		store.set(func() { store.silent = true })
		store.change(func() { store.targets = []roster.Entry{{ID: "a"}} })
		time.Sleep(2 * time.Second)
		entries, lapsed = c.list()
		require.Equal(t, 1, entries)
		require.False(t, lapsed)
	})
}

// Guards against a start without targets after an outage in which all instances lost power and the entries lapsed,
// and against targets of that time that stay although they did not come back.
func TestStartAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.version, store.down = 1, true
		store.kept = []roster.Entry{{ID: "a"}, {ID: "b"}}
		c := start(t, store)
		time.Sleep(time.Second)
		store.set(func() { store.down = false })
		time.Sleep(500 * time.Millisecond)
		entries, lapsed := c.list()
		require.Empty(t, entries)
		require.True(t, lapsed)
		require.Equal(t, 2, c.beforeOutage())
		store.set(func() { store.targets = store.kept[:1] })
		time.Sleep(2500 * time.Millisecond)
		entries, lapsed = c.list()
		require.Equal(t, 1, entries)
		require.False(t, lapsed)
		require.Zero(t, c.beforeOutage())
	})
}

// changingFleet is a fleet of one instance, which is not live while left is set.
type changingFleet struct {
	alone
	left atomic.Bool
}

func (f *changingFleet) Members() []membership.Member {
	if f.left.Load() {
		return nil
	}
	return f.alone.Members()
}

// Guards against a keeper that writes what has not changed, targets that drain, or a list whose entries have lapsed.
func TestKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, bus := newFakeStore(), kernel.NewBus()
		fleet := &changingFleet{}
		k := directory.NewKeeper(store, bus, fleet, slog.New(slog.DiscardHandler))
		require.NoError(t, k.Start(t.Context()))
		publish := func(ev directory.TargetsChanged) {
			require.NoError(t, bus.Publish(ev))
			time.Sleep(5 * time.Second)
		}
		a, b := roster.Entry{ID: "a"}, roster.Entry{ID: "b"}
		publish(directory.TargetsChanged{Entries: []roster.Entry{a, b, {ID: "c", Draining: true}}})
		kept, _ := store.written()
		require.Equal(t, []roster.Entry{a, b}, kept)
		publish(directory.TargetsChanged{Entries: []roster.Entry{a}, Lapsed: true})
		cold := b
		cold.ColdFor = time.Second
		publish(directory.TargetsChanged{Entries: []roster.Entry{a, cold}})
		_, writes := store.written()
		require.Equal(t, 1, writes)
		store.set(func() { store.down = true })
		publish(directory.TargetsChanged{Entries: []roster.Entry{b}})
		store.set(func() { store.down = false })
		time.Sleep(5 * time.Second)
		kept, _ = store.written()
		require.Equal(t, []roster.Entry{b}, kept)
		// Another member writes for a while, and may have written anything.
		fleet.left.Store(true)
		time.Sleep(5 * time.Second)
		store.set(func() { store.kept = []roster.Entry{a, b} })
		fleet.left.Store(false)
		time.Sleep(5 * time.Second)
		kept, _ = store.written()
		require.Equal(t, []roster.Entry{b}, kept)
		require.NoError(t, k.Stop(t.Context()))
		require.NoError(t, bus.Close())
	})
}

// Guards against a list after an outage that never says that it is whole again, because nothing changed
// since.
func TestListIsReadAgainAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, c := startWithTargets(t, "a", "b")
		store.set(func() { store.down = true })
		store.change(func() { store.targets = store.targets[:1] })
		time.Sleep(10 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(4 * time.Second)
		entries, lapsed := c.list()
		require.Equal(t, 1, entries)
		require.False(t, lapsed)
	})
}

// Guards against the loss of all targets after an outage that no call has failed in: it lay within one
// watch, whose answer then says that all entries have vanished.
func TestOutageWithinAWatch(t *testing.T) {
	for name, late := range map[string]time.Duration{"answered in time": 0, "answered late": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.version = 1
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					store.targets = append(store.targets, roster.Entry{ID: id})
				}
				c := start(t, store)
				gone := 5
				if late > 0 {
					gone = 1 // Too few to tell by their number.
				}
				store.set(func() { store.late, store.vanished = late, gone })
				time.Sleep(5 * time.Second)
				store.change(func() { store.targets = store.targets[gone:] })
				time.Sleep(time.Second + late)
				if late > 0 {
					time.Sleep(3200 * time.Millisecond) // The wait of the watch.
				}
				entries, lapsed := c.list()
				require.Equal(t, 5-gone, entries)
				require.True(t, lapsed)
				store.change(func() { store.vanished = 0; store.late = 0 })
				time.Sleep(5 * time.Second)
				_, lapsed = c.list()
				require.False(t, lapsed)
			})
		})
	}
}
