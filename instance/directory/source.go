package directory

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/routing"
)

const (
	// lateAnswerMargin is the time beyond its wait after which the answer to a watch shows that the store was
	// away meanwhile. A slow store takes 60 times 4 ms.
	lateAnswerMargin = 300 * time.Millisecond
	// massLapseShare is the share of the entries that vanish with one answer above which they have lapsed
	// together. An outage of 2.4 s is enough for that, and may lie within one watch. Targets that are
	// replaced or lost are fewer at a time.
	massLapseShare = 0.25
)

// targetWatchPause is the least time between two watches that found changes of the list, so that changes in
// quick succession share a call and a push. Draining targets get new work for 3 s at most.
const targetWatchPause = 250 * time.Millisecond

// Source is the configsync.Source over a Store. Routes are one object whose version is theirs; the
// targets are one object with all entries in use.
type Source struct {
	store Store
	log   *slog.Logger

	mu        sync.Mutex     // guards the fields below
	roster    *roster.Roster // the list as the store has it
	storeDown bool
	// recheckAt is when the list has to be read again because entries had lapsed while the store was away,
	// the zero time if that is not so.
	recheckAt time.Time
	// beforeOutage are the targets that were in use before the outage, if this instance started in it.
	beforeOutage []roster.Entry
}

// NewSource returns a source that has read nothing.
func NewSource(store Store, log *slog.Logger) *Source {
	return &Source{store: store, log: log, roster: roster.New()}
}

// Watch implements configsync.Source. A history that is gone is read again as a whole.
func (s *Source) Watch(ctx context.Context, _ platform.Purpose, kind string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	watch, list := s.watchRoutes, s.listRoutes
	if kind == KindTargets {
		watch, list = s.watchTargets, s.listTargets
	}
	if after == 0 {
		return list(ctx)
	}
	changes, err := watch(ctx, Revision(after), wait)
	if errors.Is(err, ErrHistoryGone) {
		s.log.Warn("history is gone; the list is read again", "kind", kind, "after", after)
		return list(ctx)
	}
	return changes, err
}

func (s *Source) listRoutes(ctx context.Context) (platform.Changes, error) {
	t, at, err := s.store.Routes(ctx)
	return routesChanges(t, at, err)
}

func (s *Source) watchRoutes(ctx context.Context, after Revision, wait time.Duration) (platform.Changes, error) {
	t, at, err := s.store.WatchRoutes(ctx, after, wait)
	return routesChanges(t, at, err)
}

func routesChanges(t *routing.Table, at Revision, err error) (platform.Changes, error) {
	if err != nil || t == nil {
		return platform.Changes{Revision: platform.Version(at)}, err
	}
	return encodeChanges(KindRoutes, at, platform.Version(t.Version), t)
}

func encodeChanges(kind string, at Revision, v platform.Version, value any) (platform.Changes, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Changes{}, errors.Wrap(err, "encode "+kind)
	}
	o := platform.Object{Kind: kind, Name: NameCurrent, Version: v, Data: data}
	return platform.Changes{Revision: platform.Version(at), Objects: []platform.Object{o}}, nil
}

func (s *Source) listTargets(ctx context.Context) (platform.Changes, error) {
	var beforeOutage []roster.Entry
	var reads sync.WaitGroup
	if s.startedWithoutStore() {
		reads.Go(func() { beforeOutage = s.savedTargets(ctx) })
	}
	list, at, err := s.store.Targets(ctx)
	reads.Wait()
	if err != nil {
		return platform.Changes{}, s.onStoreError(err)
	}
	return s.update(at, func(now time.Time) bool {
		s.beforeOutage = beforeOutage
		s.roster.Replace(now, list, false)
		return true
	})
}

// startedWithoutStore reports whether the store was away since the start, so that no earlier list is known here.
// Entries may have lapsed meanwhile.
func (s *Source) startedWithoutStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown && s.roster.ReadyCount() == 0
}

// savedTargets returns the targets that were in use before the outage.
func (s *Source) savedTargets(ctx context.Context) []roster.Entry {
	saved, err := s.store.SavedTargets(ctx)
	if err != nil {
		s.log.Warn("targets of the time before the outage not read", "error", err)
		return nil
	}
	s.log.Info("targets of the time before the outage read", "targets", len(saved))
	return saved
}

func (s *Source) watchTargets(ctx context.Context, after Revision, wait time.Duration) (platform.Changes, error) {
	wait, recheck := s.untilRecheck(wait)
	if recheck {
		return s.listTargets(ctx)
	}
	sentAt := time.Now()
	changes, at, err := s.store.WatchTargets(ctx, after, wait)
	if err != nil {
		return platform.Changes{}, s.onStoreError(err)
	}
	if time.Since(sentAt) > wait+lateAnswerMargin {
		s.log.Warn("the store answered a watch late; it was away", "took", time.Since(sentAt).String(), "wait", wait.String())
		s.markStoreDown()
	}
	for _, c := range changes {
		s.logChange(c)
	}
	if len(changes) > 0 {
		defer kernel.Sleep(ctx, targetWatchPause)
	}
	return s.update(at, func(now time.Time) bool {
		before := s.roster.ReadyCount()
		s.roster.Apply(now, changes)
		if after := s.roster.ReadyCount(); float64(before-after) > massLapseShare*float64(before) {
			s.log.Warn("many entries vanished at once; they are taken to have lapsed", "before", before, "after", after)
			s.recheckAt = now.Add(lapseGrace)
		}
		return len(changes) > 0
	})
}

func (s *Source) logChange(c roster.Change) {
	if c.Entry == nil {
		s.log.Info("target left the list", "target", c.ID)
		return
	}
	s.log.Info("target changed", "target", c.ID, "service", c.Entry.Service, "address", c.Entry.Address, "draining", c.Entry.Draining)
}

// untilRecheck shortens a wait to the time at which the list has to be read again, and reports whether
// that time has come.
func (s *Source) untilRecheck(wait time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown || s.recheckAt.IsZero() {
		return wait, false
	}
	left := time.Until(s.recheckAt)
	return min(wait, left), left <= 0
}

func (s *Source) markStoreDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = true
}

// onStoreError notes that the store does not answer, unless the history is all that it lacks.
func (s *Source) onStoreError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = s.storeDown || !errors.Is(err, ErrHistoryGone)
	return err
}

// update changes the roster and returns it as an object if change reports that it did. Of two objects of
// one revision, the one that is not lapsed is the newer one.
func (s *Source) update(at Revision, change func(now time.Time) bool) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.storeDown {
		s.storeDown, s.recheckAt = false, now.Add(lapseGrace)
	}
	if !change(now) {
		return platform.Changes{Revision: platform.Version(at)}, nil
	}
	ev, v := TargetsChanged{Entries: s.roster.Entries(now)}, 2*platform.Version(at)+1
	if !s.recheckAt.IsZero() && now.Before(s.recheckAt) {
		ev.Incomplete, ev.BeforeOutage = true, s.beforeOutage
		v--
	} else {
		s.recheckAt, s.beforeOutage = time.Time{}, nil
	}
	return encodeChanges(KindTargets, at, v, ev)
}
