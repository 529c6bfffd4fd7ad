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
	// lateAnswerMargin is the delay beyond the wait of a watch above which its answer shows that the store was
	// unavailable in between. A slow store delays an answer by 60 times 4 ms only.
	lateAnswerMargin = 300 * time.Millisecond
	// massLapseShare is the share of the entries removed by one answer above which they are assumed to have
	// lapsed in an outage. An outage of 2.4 s suffices for that and can fall within one watch. Replacement and
	// loss of targets remove fewer entries at a time.
	massLapseShare = 0.25
)

// targetWatchPause is the pause after a watch that reported changes, so that changes in quick succession share a
// call and a push. It is well below the 3 s for which a draining target may still get new work.
const targetWatchPause = 250 * time.Millisecond

// Source implements configsync.Source over a Store. The routes are one object with the version of the routing
// table; the targets are one object with all entries in use.
type Source struct {
	store Store
	log   *slog.Logger

	mu        sync.Mutex     // guards the fields below
	roster    *roster.Roster // the list of targets in the store
	storeDown bool
	// recheckAt is when the list has to be read again because entries may have lapsed in an outage of the store,
	// or the zero time.
	recheckAt time.Time
	// beforeOutage are the targets that were in use before the outage, if this instance started during it.
	beforeOutage []roster.Entry
}

// NewSource returns a source over the given store.
func NewSource(store Store, log *slog.Logger) *Source {
	return &Source{store: store, log: log, roster: roster.New()}
}

// Watch implements configsync.Source. It reads the whole list if the store no longer has the history.
func (s *Source) Watch(ctx context.Context, _ platform.Purpose, kind string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	watch, list := s.watchRoutes, s.listRoutes
	switch kind {
	case KindTargets:
		watch, list = s.watchTargets, s.listTargets
	case KindQuarantine:
		watch, list = s.watchQuarantined, s.listQuarantined
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

func (s *Source) listQuarantined(ctx context.Context) (platform.Changes, error) {
	list, version, at, err := s.store.Quarantined(ctx)
	if err != nil {
		return platform.Changes{}, err
	}
	return encodeChanges(KindQuarantine, at, version, list)
}

func (s *Source) watchQuarantined(ctx context.Context, after Revision, wait time.Duration) (platform.Changes, error) {
	list, version, at, err := s.store.WatchQuarantined(ctx, after, wait)
	if err != nil || version == 0 {
		return platform.Changes{Revision: platform.Version(at)}, err
	}
	return encodeChanges(KindQuarantine, at, version, list)
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

// startedWithoutStore reports whether the store has been unavailable since the start of the instance. There is then
// no earlier list, and entries may have lapsed in the outage.
func (s *Source) startedWithoutStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown && s.roster.ReadyCount() == 0
}

// savedTargets returns the targets that were in use before the outage, nil if they cannot be read.
func (s *Source) savedTargets(ctx context.Context) []roster.Entry {
	saved, err := s.store.SavedTargets(ctx)
	if err != nil {
		s.log.Warn("failed to read the targets saved before the outage", "error", err)
		return nil
	}
	s.log.Info("read the targets saved before the outage", "targets", len(saved))
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
		s.log.Warn("store answered a watch late; assuming an outage", "took", time.Since(sentAt).String(), "wait", wait.String())
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
			s.log.Warn("many target entries disappeared at once; assuming that they lapsed in an outage", "before", before, "after", after)
			if s.recheckAt.IsZero() { // Otherwise the list is read soon: targets that live are back lapseGrace after the outage.
				s.recheckAt = now.Add(lapseGrace)
			}
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

// untilRecheck limits a wait to the time until recheckAt, and reports whether the list has to be read again
// now.
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

// onStoreError marks the store as unavailable, unless only the history is gone, and returns the error.
func (s *Source) onStoreError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = s.storeDown || !errors.Is(err, ErrHistoryGone)
	return err
}

// update applies change to the roster and, if change returns true, returns the roster as an object. An object's
// version is odd if the list is complete, so that it replaces an incomplete list of the same revision.
func (s *Source) update(at Revision, change func(now time.Time) bool) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	restored := s.roster.BeginEra(now, at.Era())
	if s.storeDown || restored {
		s.storeDown, s.recheckAt = false, now.Add(lapseGrace)
	}
	if !change(now) {
		return platform.Changes{Revision: platform.Version(at)}, nil
	}
	ev, v := TargetsChanged{Entries: s.roster.Entries(now), Era: at.Era()}, 2*platform.Version(at)+1
	if !s.recheckAt.IsZero() && now.Before(s.recheckAt) {
		ev.Incomplete, ev.BeforeOutage = true, s.beforeOutage
		v--
	} else {
		s.recheckAt, s.beforeOutage = time.Time{}, nil
	}
	return encodeChanges(KindTargets, at, v, ev)
}
