package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/placement"
)

const (
	// placementPause is the least time between two placements, so that the loss of many members at
	// once costs few of them. One takes several milliseconds for an index of the target size.
	placementPause = time.Second
	// sweepPeriod is the time between two looks at released connections.
	sweepPeriod = time.Second
	// connectTimeout bounds the opening of one connection ahead of queries.
	connectTimeout = 5 * time.Second
	// connectsInFlight is the number of connections that are being opened ahead of queries.
	connectsInFlight = 8
)

// Members lists the known members of the fleet, the instance itself included.
type Members interface {
	Members() []membership.Member
}

// UseMembers makes the service place its connections among the members. It is to be called before
// Start. Without it the instance connects to all targets.
func (s *Service) UseMembers(m Members) { s.members = m }

// Connected reports whether the connections to the targets that this instance holds were opened, or
// tried, since it first knew of targets.
func (s *Service) Connected() bool { return s.connected.Load() }

// placeAgain asks for a new placement.
func (s *Service) placeAgain() {
	select {
	case s.placeWanted <- struct{}{}:
	default: // One is wanted already.
	}
}

// placeLoop computes placements, opens connections ahead of queries and releases others.
func (s *Service) placeLoop(ctx context.Context) {
	sweep := kernel.NewAlarm(sweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			sweep.Set(sweepPeriod)
			s.pool.Sweep()
		case <-s.placeWanted:
			known := s.knowsTargets() // before they are placed
			s.place()
			s.connect(ctx)
			if known {
				s.connected.Store(true)
			}
			kernel.Sleep(ctx, placementPause)
		}
	}
}

func (s *Service) place() {
	if s.members == nil {
		return
	}
	known := map[string]membership.Member{}
	var instances []placement.Instance
	for _, m := range s.members.Members() {
		known[m.ID] = m
		if m.State != membership.Dead {
			instances = append(instances, placement.Instance{
				ID: m.ID, FailureDomain: m.FailureDomain, Leaving: m.State == membership.Leaving,
			})
		}
	}
	s.mu.Lock()
	s.peers = known
	s.mu.Unlock()
	for _, ix := range s.allIndexes() {
		ix.setPlace(s.instance, instances)
	}
}

// connect opens the connections to the held targets that are not open, and releases all others.
func (s *Service) connect(ctx context.Context) {
	held := map[string]bool{}
	for _, ix := range s.allIndexes() {
		for _, address := range ix.heldAddresses() {
			held[address] = true
		}
	}
	s.pool.Retain(func(address string) bool { return held[address] })
	var wait errgroup.Group
	wait.SetLimit(connectsInFlight)
	for address := range held {
		if s.opened[address] || s.leaving() {
			continue
		}
		wait.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			if _, err := s.targets.Info(ctx, address); err != nil {
				s.counters.Counter("connects_failed").Add(1)
			}
			return nil
		})
	}
	_ = wait.Wait() // Failures are counted; the first query tries again.
	s.opened = held
}

// knowsTargets reports whether any index has targets. An instance may hold none of them.
func (s *Service) knowsTargets() bool {
	return slices.ContainsFunc(s.allIndexes(), func(ix *index) bool { return ix.size() > 0 })
}

// leaving reports whether this instance shuts down. It opens no connection ahead of queries then.
func (s *Service) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[s.instance].State == membership.Leaving
}

func (s *Service) peerAddress(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, known := s.peers[id]
	return m.Address, known
}

// relaysOf returns holders of a group, the best first: this instance, live ones, those of this
// failure domain, and otherwise in random order.
func (s *Service) relaysOf(place *placement.Index, id placement.GroupID) []string {
	holders := slices.Clone(place.HoldersOf(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	cost := func(i placement.Instance) int {
		switch {
		case i.ID == s.instance:
			return 0
		case s.peers[i.ID].State != membership.Live:
			return 3
		case i.FailureDomain != s.failureDomain:
			return 2
		}
		return 1
	}
	slices.SortStableFunc(holders, func(a, b placement.Instance) int { return cmp.Compare(cost(a), cost(b)) })
	relays := make([]string, 0, mostRelays)
	for _, h := range holders[:min(mostRelays, len(holders))] {
		relays = append(relays, h.ID)
	}
	return relays
}

func (s *Service) allIndexes() []*index {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*index, 0, len(s.indexes))
	for _, ix := range s.indexes {
		all = append(all, ix)
	}
	return all
}
