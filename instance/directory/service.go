package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/routing"
)

// Name is the name of the service.
const Name = "directory"

const (
	// watchWait is how long one watch waits for a change. A watch that is cut off says nothing, so that
	// this bounds the time for which a change stays unknown: it is below the 4 s after which a fleet
	// counts as calm again. Each call is charged for, so that it is not much below.
	watchWait = 3500 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call. A configuration has to be in
	// force within 3 s, and each call is charged for.
	firstRetry   = 200 * time.Millisecond
	longestRetry = time.Second
	// routesPause and targetsPause are the least times between two watches that found changes, so that
	// changes in quick succession share a call. Draining targets get new work for 3 s at most.
	routesPause  = 50 * time.Millisecond
	targetsPause = 250 * time.Millisecond
)

// Service watches the store. It is safe for concurrent use.
type Service struct {
	store    Store
	consumer Consumer
	log      *slog.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	table  *routing.Table
	roster *roster.Roster
	lapse  *time.Timer // removes entries that have lapsed
}

// New returns a service that hands what the store holds to consumer.
func New(store Store, consumer Consumer, log *slog.Logger) *Service {
	return &Service{store: store, consumer: consumer, log: log, roster: roster.New()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start begins to read and to watch.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	routes := follower{
		name: "routes", pause: routesPause, log: s.log,
		list: s.listRoutes, watch: s.watchRoutes, lost: func() {},
	}
	targets := follower{
		name: "targets", pause: targetsPause, log: s.log,
		list: s.listTargets, watch: s.watchTargets, lost: s.targetsLost,
	}
	s.done.Go(func() { routes.run(ctx) })
	s.done.Go(func() { targets.run(ctx) })
	return nil
}

// Stop ends all reading.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lapse != nil {
		s.lapse.Stop()
	}
	return nil
}

// Version returns the version of the routes in force, 0 if there are none.
func (s *Service) Version() query.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

func (s *Service) listRoutes(ctx context.Context) (Revision, error) {
	t, at, err := s.store.Routes(ctx)
	if err == nil {
		s.offer(t)
	}
	return at, err
}

func (s *Service) watchRoutes(ctx context.Context, after Revision) (Revision, bool, error) {
	t, at, err := s.store.WatchRoutes(ctx, after, watchWait)
	if err == nil {
		s.offer(t)
	}
	return at, t != nil, err
}

// offer puts routes in force if they are newer than those in force. Versions never go back.
func (s *Service) offer(t *routing.Table) {
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.Version <= s.table.Version {
		return
	}
	t.Index()
	var before query.Version
	if s.table != nil {
		before = s.table.Version
	}
	s.table = t
	s.log.Info("routes in force", "version", t.Version, "before", before, "routes", len(t.Routes))
	s.consumer.SetTable(t)
}

func (s *Service) listTargets(ctx context.Context) (Revision, error) {
	list, at, err := s.store.Targets(ctx)
	if err != nil {
		return at, err
	}
	s.update(func(now time.Time) { s.roster.Replace(now, list) })
	return at, nil
}

func (s *Service) watchTargets(ctx context.Context, after Revision) (Revision, bool, error) {
	changes, at, err := s.store.WatchTargets(ctx, after, watchWait)
	if err != nil {
		return at, false, err
	}
	s.update(func(now time.Time) { s.roster.Apply(now, changes) })
	for _, c := range changes {
		s.logChange(c)
	}
	return at, len(changes) > 0, nil
}

func (s *Service) logChange(c roster.Change) {
	if c.Entry == nil {
		s.log.Info("target left the list", "target", c.ID)
		return
	}
	s.log.Info("target changed", "target", c.ID, "service", c.Entry.Service, "address", c.Entry.Address, "draining", c.Entry.Draining)
}

func (s *Service) targetsLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.Away()
}

// update changes the roster and hands its entries on.
func (s *Service) update(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now)
	s.consumer.SetTargets(s.roster.Entries())
	if next := s.roster.NextWake(); !next.IsZero() {
		if s.lapse != nil {
			s.lapse.Stop()
		}
		s.lapse = time.AfterFunc(next.Sub(now), func() { s.update(func(now time.Time) { s.roster.OnWake(now) }) })
	}
}

// follower reads one list and then watches it, for as long as it runs.
type follower struct {
	name  string
	pause time.Duration
	log   *slog.Logger
	list  func(ctx context.Context) (Revision, error)
	// watch reports whether anything changed.
	watch func(ctx context.Context, after Revision) (Revision, bool, error)
	lost  func() // called when the store does not answer
}

func (f follower) run(ctx context.Context) {
	var at Revision
	listed, reached := false, true
	retry := firstRetry
	for ctx.Err() == nil {
		next, changed, err := f.call(ctx, at, listed)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			f.log.Warn("history is gone; the list is read again", "list", f.name)
			listed = false
		case err != nil:
			if reached {
				f.log.Warn("platform store lost", "list", f.name, "error", err)
				f.lost()
			}
			reached = false
			kernel.Sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, longestRetry)
		default:
			if !reached {
				f.log.Info("platform store regained", "list", f.name)
			}
			at, reached, listed, retry = next, true, true, firstRetry
			if changed {
				kernel.Sleep(ctx, f.pause)
			}
		}
	}
}

// call reads the list, or waits for changes of one that was read.
func (f follower) call(ctx context.Context, at Revision, listed bool) (Revision, bool, error) {
	if listed {
		return f.watch(ctx, at)
	}
	next, err := f.list(ctx)
	return next, true, err
}
