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
	// listPeriod is the time between two reads of the platform's list by an instance that watches
	// the store or knows no other instance.
	listPeriod = 10 * time.Second
	// listTimeout bounds a read of the list by an instance that knows others already.
	listTimeout = 3 * time.Second
	// callsPerList is the number of calls of a read of the list where the entry of the instance is in it.
	callsPerList = 1
)

// Registry is a platform's list that instances write themselves. A Lister implements it if that is so.
type Registry interface {
	// FreshInstances returns the list as it is now; that of Instances may be old.
	FreshInstances(ctx context.Context) ([]platform.Instance, error)
	// WriteInstance adds an entry, or replaces the one of the same id. It fails if there is one, or none.
	WriteInstance(ctx context.Context, i platform.Instance, replace bool) error
	// RemoveInstance removes an entry that was not written since it was read.
	RemoveInstance(ctx context.Context, id string) error
}

// listLoop reads the platform's list on joining, and again while the instance watches the store, knows no other
// one, or has not been able to read it: an instance may write its own entry with the first read.
func (s *Service) listLoop(ctx context.Context) {
	listed := s.readList(ctx, config.ColdTimeout(0))
	if !listed {
		listed = s.join(ctx)
	}
	for kernel.Sleep(ctx, listPeriod) {
		if !listed || s.config.Watching() || len(s.Members()) == 1 {
			listed = s.readList(ctx, listTimeout) || listed
		}
	}
}

// join tries to read the list and asks each seed for all members, side by side, until one of them answers or ctx
// is done. It reports whether the list was read.
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
		if ctx.Err() == nil { // Otherwise a seed was faster, or the service stops.
			s.log.Warn("list of instances not read", "error", err)
		}
		return false
	}
	var records []membership.Member
	for _, i := range list {
		state := membership.Starting
		if i.State == platform.InstanceLeaving {
			state = membership.Leaving
		}
		records = append(records, membership.Member{ID: i.ID, Address: i.Address, FailureDomain: i.FailureDomain, State: state})
	}
	s.update(func(now time.Time) { s.node.OnInstanceList(records, now) })
	s.removeReaped(ctx, list)
	return true
}

// listInstances reads the list. Until the list has the instance's own entry, the entry is written and the list is read
// again: of two instances that write at the same time, one at least sees the other.
func (s *Service) listInstances(ctx context.Context) ([]platform.Instance, error) {
	registry, ok := s.lister.(Registry)
	if !ok || s.registered {
		// Instances that came since are known from their peers, so that an old list will do.
		return s.lister.Instances(ctx, "list_instances")
	}
	list, err := registry.FreshInstances(ctx)
	if err != nil {
		return nil, err
	}
	self := s.Self()
	entry := platform.Instance{ID: self.ID, Address: self.Address, FailureDomain: self.FailureDomain, State: platform.InstanceLive}
	ownIndex := slices.IndexFunc(list, func(i platform.Instance) bool { return i.ID == entry.ID })
	if ownIndex < 0 || list[ownIndex] != entry {
		if err := registry.WriteInstance(ctx, entry, ownIndex >= 0); err != nil {
			return nil, err
		}
		if list, err = registry.FreshInstances(ctx); err != nil {
			return nil, err
		}
	}
	s.registered = true
	return list, nil
}

// removeReaped removes the entries of members that have been dead for so long that they are forgotten. One
// live member removes each.
func (s *Service) removeReaped(ctx context.Context, list []platform.Instance) {
	registry, ok := s.lister.(Registry)
	if !ok {
		return
	}
	for _, id := range s.reapedInstances(list) {
		if err := registry.RemoveInstance(ctx, id); err != nil {
			s.log.Warn("entry of a lost instance not removed", "member", id, "error", err)
			continue
		}
		s.log.Info("entry of a lost instance removed", "member", id)
	}
}

// reapedInstances returns the forgotten members of a list that this instance is to remove.
func (s *Service) reapedInstances(list []platform.Instance) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := membership.LiveIDs(s.node.Members())
	var ids []string
	for _, i := range list {
		if s.node.Reaped(i.ID) && rendezvous.Choose(i.ID, live) == s.node.Self().ID {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
