package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/rendezvous"
	"hyssopcroft.example/kernel"
)

const (
	// listPeriod is the time between two reads of the platform's list by an instance that watches the store,
	// has found no other instance or has not read the list yet.
	listPeriod = 10 * time.Second
	// listTimeout bounds a read of the list after the instance has joined.
	listTimeout = 3 * time.Second
	// callsPerList is the number of store calls of a read of the list if the instance is registered in it.
	callsPerList = 1
)

// Registry is a list that instances write themselves. A Lister implements it if the platform does not
// maintain the list.
type Registry interface {
	// FreshInstances returns the current list and its era. The list that Instances returns may be stale.
	FreshInstances(ctx context.Context) (list []platform.Instance, era uint64, err error)
	// WriteInstance adds an entry, or replaces the one of the same id if replace is set. It fails if an entry
	// to add exists already, or one to replace does not exist.
	WriteInstance(ctx context.Context, i platform.Instance, replace bool) error
	// RemoveInstance removes an entry, unless it has been written since it was read.
	RemoveInstance(ctx context.Context, id string) error
	// Era returns the latest known era. It rises when the list is restored from a copy, which may lack what was written.
	Era() uint64
}

// listLoop reads the platform's list on joining. It then reads the list periodically while the instance watches
// the store, has found no other instance or has not read the list yet, because the first read may also write the
// entry of this instance.
func (s *Service) listLoop(ctx context.Context) {
	listed := s.readList(ctx, config.ColdTimeout(0))
	if !listed {
		listed = s.join(ctx)
	}
	for kernel.Sleep(ctx, listPeriod) {
		if !listed || s.config.Watching() || len(s.Members()) == 1 || s.lostRegistration() {
			listed = s.readList(ctx, listTimeout) || listed
		}
	}
}

// lostRegistration reports whether the list has been restored from a copy since this instance wrote its entry.
func (s *Service) lostRegistration() bool {
	registry, ok := s.lister.(Registry)
	return ok && s.registered && registry.Era() != s.registeredEra
}

// join reads the list and requests the full state of each seed, in parallel and repeatedly, until one of them
// answers or ctx is done. It reports whether the list was read.
func (s *Service) join(ctx context.Context) (listed bool) {
	attempt := 0
	tries := []func(ctx context.Context) bool{func(ctx context.Context) bool {
		attempt++
		listed = s.readList(ctx, config.ColdTimeout(attempt))
		return listed
	}}
	for _, address := range s.seeds {
		if address == s.Self().Address {
			continue
		}
		seed := membership.RequestFullState{From: membership.Member{Address: address}}
		tries = append(tries, func(ctx context.Context) bool { return s.requestFullState(ctx, seed) })
	}
	kernel.RetryAny(ctx, func() time.Duration {
		mean := config.ColdPause(len(s.Members()), callsPerList)
		return mean/2 + rand.N(mean)
	}, tries...)
	return listed
}

// readList reports whether the list was read.
func (s *Service) readList(ctx context.Context, timeout time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := s.listInstances(callCtx)
	if err != nil {
		s.counters.Counter("instance_list_failures").Add(1)
		if ctx.Err() == nil { // Otherwise a seed answered first, or the service is stopping.
			s.log.Warn("cannot read the list of instances", "error", err)
		}
		return false
	}
	var records []membership.Member
	for _, i := range list {
		state := membership.Starting
		if i.State == platform.InstanceLeaving {
			state = membership.Leaving
		}
		records = append(records, membership.Member{ID: i.ID, Address: i.Address, FailureDomain: i.FailureDomain, State: state, Capacity: i.Capacity})
	}
	s.update(func(now time.Time) { s.node.OnInstanceList(records, now) })
	s.removeReaped(ctx, list)
	return true
}

// listInstances reads the list. If the list lacks an up-to-date entry of the instance itself, it writes the entry
// and reads the list again: of two instances that write at the same time, at least one sees the other.
func (s *Service) listInstances(ctx context.Context) ([]platform.Instance, error) {
	registry, ok := s.lister.(Registry)
	if !ok || s.registered && !s.lostRegistration() {
		// A stale list suffices: instances that joined since then are known from exchanges with peers.
		return s.lister.Instances(ctx, "list_instances")
	}
	self := s.Self()
	entry := platform.Instance{ID: self.ID, Address: self.Address, FailureDomain: self.FailureDomain, State: platform.InstanceLive, Capacity: self.Capacity}
	if s.firstStart {
		s.firstStart = false
		if err := registry.WriteInstance(ctx, entry, false); err != nil {
			s.log.Info("no entry added to the list of instances at the first start", "error", err)
		}
	}
	list, era, err := registry.FreshInstances(ctx)
	if err != nil {
		return nil, err
	}
	ownIndex := slices.IndexFunc(list, func(i platform.Instance) bool { return i.ID == entry.ID })
	if ownIndex < 0 || list[ownIndex] != entry {
		if err := registry.WriteInstance(ctx, entry, ownIndex >= 0); err != nil {
			return nil, err
		}
		if list, era, err = registry.FreshInstances(ctx); err != nil {
			return nil, err
		}
	}
	s.registered, s.registeredEra = true, era
	return list, nil
}

// removeReaped removes the list's entries of members that have been dead for so long that the membership table
// has reaped them. Each entry is removed by one live member.
func (s *Service) removeReaped(ctx context.Context, list []platform.Instance) {
	registry, ok := s.lister.(Registry)
	if !ok {
		return
	}
	for _, id := range s.reapedInstances(list) {
		if err := registry.RemoveInstance(ctx, id); err != nil {
			s.log.Warn("cannot remove the list entry of a dead instance", "member", id, "error", err)
			continue
		}
		s.log.Info("list entry of a dead instance removed", "member", id)
	}
}

// reapedInstances returns the ids of the reaped members in a list whose entries this instance has to remove.
func (s *Service) reapedInstances(list []platform.Instance) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	liveIDs := membership.LiveIDs(s.node.Members())
	var ids []string
	for _, i := range list {
		if s.node.Reaped(i.ID) && rendezvous.Choose(i.ID, liveIDs) == s.node.Self().ID {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
