package directory

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/rendezvous"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
)

// TargetSaverName is the name of the service.
const TargetSaverName = "keeper"

// savePeriod is the time between two looks at whether the targets in use have changed since they were written. It
// bounds the writes, and is below the 3 s after which a target that drains gets no new work.
const savePeriod = 2 * time.Second

// saverKey is what the keeper is chosen by among the live members.
const saverKey = "kept_targets"

// Members are the instances of the fleet.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
}

// TargetSaver writes the targets in use into the store, at one live member. Entries of targets lapse while the store is
// away and come back up to 2 s after its return; instances that lost power meanwhile have no other way to know them.
type TargetSaver struct {
	store   Store
	bus     *kernel.Bus
	members Members
	log     *slog.Logger
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu    sync.Mutex     // guards inUse
	inUse []roster.Entry // of the newest list
	saved []roster.Entry // used by the loop only
}

// NewTargetSaver returns a service that has written nothing.
func NewTargetSaver(store Store, bus *kernel.Bus, m Members, log *slog.Logger) *TargetSaver {
	return &TargetSaver{store: store, bus: bus, members: m, log: log}
}

// Name implements kernel.Service.
func (s *TargetSaver) Name() string { return TargetSaverName }

// Needs implements kernel.Service.
func (s *TargetSaver) Needs() []string { return nil }

// Start begins to follow the list of targets.
func (s *TargetSaver) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() {
		for kernel.Sleep(ctx, savePeriod) {
			s.saveIfChanged(ctx)
		}
	})
	return kernel.Subscribe(ctx, s.bus, s.onTargetsChanged)
}

// Stop implements kernel.Service.
func (s *TargetSaver) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// onTargetsChanged follows lists that do not lack entries which have lapsed.
func (s *TargetSaver) onTargetsChanged(ev TargetsChanged) {
	if ev.Incomplete {
		return
	}
	var inUse []roster.Entry
	for _, e := range ev.Entries {
		if !e.Draining {
			e.ColdFor = 0
			inUse = append(inUse, e)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse = inUse
}

// saveIfChanged writes the targets in use if this instance is to do so and they have changed.
func (s *TargetSaver) saveIfChanged(ctx context.Context) {
	s.mu.Lock()
	inUse := s.inUse
	s.mu.Unlock()
	if rendezvous.Choose(saverKey, membership.LiveIDs(s.members.Members())) != s.members.Self().ID {
		s.saved = nil // Another member writes now.
		return
	}
	if slices.Equal(inUse, s.saved) {
		return
	}
	if err := s.store.SaveTargets(ctx, inUse); err != nil {
		s.log.Warn("targets in use not written; they are written at the next look", "error", err)
		return
	}
	s.saved = inUse
}
