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

// KeeperName is the name of the service.
const KeeperName = "keeper"

// keepPeriod is the time between two looks at whether the targets in use have changed since they were written. It
// bounds the writes, and is below the 3 s after which a target that drains gets no new work.
const keepPeriod = 2 * time.Second

// keptObject is what the keeper is chosen by among the live members.
const keptObject = "kept_targets"

// Members are the instances of the fleet.
type Members interface {
	Members() []membership.Member
	Self() membership.Member
}

// Keeper writes the targets in use into the store, at one live member. Entries of targets lapse while the store is
// away and come back up to 2 s after its return; instances that lost power meanwhile have no other way to know them.
type Keeper struct {
	store   Store
	bus     *kernel.Bus
	members Members
	log     *slog.Logger
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex     // guards inUse
	inUse   []roster.Entry // of the newest list
	written []roster.Entry // used by the loop only
}

// NewKeeper returns a service that has written nothing.
func NewKeeper(store Store, bus *kernel.Bus, m Members, log *slog.Logger) *Keeper {
	return &Keeper{store: store, bus: bus, members: m, log: log}
}

// Name implements kernel.Service.
func (k *Keeper) Name() string { return KeeperName }

// Dependencies implements kernel.Service.
func (k *Keeper) Dependencies() []string { return nil }

// Start begins to follow the list of targets.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.done.Go(func() {
		for kernel.Sleep(ctx, keepPeriod) {
			k.keep(ctx)
		}
	})
	return kernel.Subscribe(ctx, k.bus, k.take)
}

// Stop implements kernel.Service.
func (k *Keeper) Stop(context.Context) error {
	k.cancel()
	k.done.Wait()
	return nil
}

// take follows lists that do not lack entries which have lapsed.
func (k *Keeper) take(ev TargetsChanged) {
	if ev.Lapsed {
		return
	}
	var inUse []roster.Entry
	for _, e := range ev.Entries {
		if !e.Draining {
			e.ColdFor = 0
			inUse = append(inUse, e)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inUse = inUse
}

// keep writes the targets in use if this instance is to do so and they have changed.
func (k *Keeper) keep(ctx context.Context) {
	k.mu.Lock()
	inUse := k.inUse
	k.mu.Unlock()
	if rendezvous.Choose(keptObject, membership.LiveIDs(k.members.Members())) != k.members.Self().ID {
		k.written = nil // Another member writes now.
		return
	}
	if slices.Equal(inUse, k.written) {
		return
	}
	if err := k.store.KeepTargets(ctx, inUse); err != nil {
		k.log.Warn("targets in use not written; they are written at the next look", "error", err)
		return
	}
	k.written = inUse
}
