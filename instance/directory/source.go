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

// targetsPause is the least time between two watches that found changes of the list, so that changes in
// quick succession share a call and a push. Draining targets get new work for 3 s at most.
const targetsPause = 250 * time.Millisecond

// Source is the configsync.Source over a Store. Routes are one object whose version is theirs; the
// targets are one object with all entries in use.
type Source struct {
	store Store
	log   *slog.Logger

	mu     sync.Mutex     // guards the fields below
	roster *roster.Roster // the list as the store has it
	away   bool
	backAt time.Time // when the store answered again after it was away
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
	return changesOf(KindRoutes, at, platform.Version(t.Version), t)
}

func changesOf(kind string, at Revision, v platform.Version, value any) (platform.Changes, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Changes{}, errors.Wrap(err, "encode "+kind)
	}
	o := platform.Object{Kind: kind, Name: NameCurrent, Version: v, Data: data}
	return platform.Changes{Revision: platform.Version(at), Objects: []platform.Object{o}}, nil
}

func (s *Source) listTargets(ctx context.Context) (platform.Changes, error) {
	list, at, err := s.store.Targets(ctx)
	if err != nil {
		return platform.Changes{}, s.lost(err)
	}
	return s.update(at, func(now time.Time) bool {
		s.roster.Replace(now, list)
		return true
	})
}

func (s *Source) watchTargets(ctx context.Context, after Revision, wait time.Duration) (platform.Changes, error) {
	changes, at, err := s.store.WatchTargets(ctx, after, wait)
	if err != nil {
		return platform.Changes{}, s.lost(err)
	}
	for _, c := range changes {
		s.logChange(c)
	}
	if len(changes) > 0 {
		defer kernel.Sleep(ctx, targetsPause)
	}
	return s.update(at, func(now time.Time) bool {
		s.roster.Apply(now, changes)
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

// lost notes that the store does not answer, unless the history is all that it lacks.
func (s *Source) lost(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = s.away || !errors.Is(err, ErrHistoryGone)
	return err
}

// update changes the roster and returns it as an object if change reports that it did.
func (s *Source) update(at Revision, change func(now time.Time) bool) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.away {
		s.away, s.backAt = false, now
	}
	if !change(now) {
		return platform.Changes{Revision: platform.Version(at)}, nil
	}
	ev := TargetsChanged{Entries: s.roster.Entries(now)}
	if back := now.Sub(s.backAt); !s.backAt.IsZero() && back < roster.LapseGrace {
		ev.BackFor = max(back, 1)
	}
	return changesOf(KindTargets, at, platform.Version(at), ev)
}
