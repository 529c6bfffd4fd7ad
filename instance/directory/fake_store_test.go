package directory_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/routing"
)

// fakeStore answers according to its fields. Watches wait for a change or until their wait time has passed.
type fakeStore struct {
	mu       sync.Mutex
	version  query.Version
	targets  []roster.Entry
	revision directory.Revision
	era      uint64
	oldest   directory.Revision // older history is gone
	down     bool
	silent   bool // waiting watches are not woken by changes, even after silent is reset
	changed  chan struct{}
	calls    int
	delay    time.Duration // added to the wait of watches that find a change
	vanished int           // number of entries a to e that watches report as removed
	saved    []roster.Entry
	saves    int // number of writes of saved
	// quarantined is the list of quarantined requests, and quarantinedAt its revision, 0 if there is none.
	quarantined   []quarantine.Confirmed
	quarantinedAt directory.Revision
}

func (f *fakeStore) SaveTargets(_ context.Context, list []roster.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.call(); err != nil {
		return err
	}
	f.saved = list
	f.saves++
	return nil
}

// lastSaved returns the targets that were saved last and the number of writes.
func (f *fakeStore) lastSaved() ([]roster.Entry, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.saved, f.saves
}

func (f *fakeStore) SavedTargets(context.Context) ([]roster.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.saved, f.call()
}

func (f *fakeStore) Quarantined(context.Context) ([]quarantine.Confirmed, platform.Version, directory.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quarantinedAt == 0 {
		return nil, 0, f.revision, f.call()
	}
	return f.quarantined, platform.Version(f.quarantinedAt), f.revision, f.call()
}

func (f *fakeStore) WatchQuarantined(
	ctx context.Context, after directory.Revision, wait time.Duration,
) ([]quarantine.Confirmed, platform.Version, directory.Revision, error) {
	if err := f.wait(ctx, after, wait); err != nil {
		return nil, 0, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quarantinedAt <= after {
		return nil, 0, f.revision, nil
	}
	return f.quarantined, platform.Version(f.quarantinedAt), f.revision, nil
}

func (f *fakeStore) ReadQuarantined(ctx context.Context) ([]quarantine.Confirmed, platform.Version, error) {
	list, version, _, err := f.Quarantined(ctx)
	return list, version, err
}

func (f *fakeStore) WriteQuarantined(_ context.Context, list []quarantine.Confirmed, expected platform.Version) error {
	f.mu.Lock()
	err := f.call()
	if err == nil && expected != platform.Version(f.quarantinedAt) {
		err = errors.New("conflict")
	}
	f.mu.Unlock()
	if err == nil {
		f.change(func() { f.quarantined, f.quarantinedAt = list, f.revision+1 })
	}
	return err
}

func (f *fakeStore) NoteEra(uint64) {}

func newFakeStore() *fakeStore { return &fakeStore{revision: 1, changed: make(chan struct{})} }

// answerTime is the time to an answer of the store.
const answerTime = 4 * time.Millisecond

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

// restore brings the store back from a copy that was made at the revision.
func (f *fakeStore) restore(revision directory.Revision, apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	f.era++
	f.revision = directory.NewRevision(f.era, revision.Count())
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) set(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
}

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// call counts a call and fails if the store is down. f.mu must be held.
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
	if err == nil && (after < f.oldest || after > f.revision || after.Era() != f.era) {
		err = directory.ErrHistoryGone
	}
	changed := f.changed
	ahead := f.revision > after
	f.mu.Unlock()
	if errors.Is(err, directory.ErrHistoryGone) {
		time.Sleep(answerTime) // Time would not pass in a loop of calls.
	}
	if err != nil || ahead {
		return err
	}
	timer := kernel.NewAlarm(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
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
	if f.delay > 0 && f.revision > after {
		delay := wait + f.delay
		f.mu.Unlock()
		time.Sleep(delay)
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
