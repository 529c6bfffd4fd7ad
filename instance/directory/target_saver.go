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

// savePeriod is the time between two checks whether the targets in use have changed since they were saved. It
// limits the rate of writes, and is below the 3 s after which a draining target gets no new work.
const savePeriod = 2 * time.Second

// saverKey is the rendezvous key that selects the member to save the targets.
const saverKey = "kept_targets"

// Members lists the instances of the fleet.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
}

// TargetSaver saves the targets in use in the store. It does so on one live member only. Target entries lapse during
// an outage of the store and return up to 2 s after it; an instance that lost power during the outage has no other
// source for them.
type TargetSaver struct {
	store   Store
	bus     *kernel.Bus
	members Members
	log     *slog.Logger
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu    sync.Mutex     // guards inUse and era
	inUse []roster.Entry // from the latest complete list
	era   uint64         // of the latest list

	// saved is what this instance saved last, and savedEra the era in which it did; used by the loop only.
	saved    []roster.Entry
	savedEra uint64
}

// NewTargetSaver returns a service that saves targets once it is started.
func NewTargetSaver(store Store, bus *kernel.Bus, m Members, log *slog.Logger) *TargetSaver {
	return &TargetSaver{store: store, bus: bus, members: m, log: log}
}

// Name implements kernel.Service.
func (s *TargetSaver) Name() string { return TargetSaverName }

// Dependencies implements kernel.Service.
func (s *TargetSaver) Dependencies() []string { return nil }

// Start subscribes to the list of targets and starts the loop that saves it.
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

// onTargetsChanged sets the targets in use from a complete list, without those that are draining.
func (s *TargetSaver) onTargetsChanged(ev TargetsChanged) {
	s.store.NoteEra(ev.Era)
	s.mu.Lock()
	s.era = max(s.era, ev.Era)
	s.mu.Unlock()
	if ev.Incomplete {
		return
	}
	var inUse []roster.Entry
	for _, e := range ev.Entries {
		if !e.Draining {
			e.ColdFor, e.Sequence = 0, 0
			inUse = append(inUse, e)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse = inUse
}

// saveIfChanged saves the targets in use if this instance is selected to do so and they have changed.
func (s *TargetSaver) saveIfChanged(ctx context.Context) {
	s.mu.Lock()
	inUse, era := s.inUse, s.era
	s.mu.Unlock()
	if era != s.savedEra {
		s.saved, s.savedEra = nil, era // The copy from which the store came back may be older than what was saved.
	}
	if rendezvous.Choose(saverKey, membership.LiveIDs(s.members.Members())) != s.members.Self().ID {
		s.saved = nil // Another member may save a different list.
		return
	}
	if slices.Equal(inUse, s.saved) {
		return
	}
	if err := s.store.SaveTargets(ctx, inUse); err != nil {
		s.log.Warn("failed to save the targets in use; retrying at the next check", "error", err)
		return
	}
	s.saved = inUse
}
