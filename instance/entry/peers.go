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
	// minPlacementInterval is the minimum time between two placements, so that the loss of many members at once
	// causes only a few computations. One takes several milliseconds for an index of the target size.
	minPlacementInterval = time.Second
	// sweepInterval is the interval between two sweeps of released connections.
	sweepInterval = time.Second
	// connectTimeout bounds the time to open one connection ahead of queries.
	connectTimeout = 5 * time.Second
	// maxConcurrentConnects bounds the connections that are being opened ahead of queries.
	maxConcurrentConnects = 8
)

// Members lists the known members of the fleet, including this instance.
type Members interface {
	Members() []membership.Member
}

// UseMembers sets the members among which the connections to targets are divided. It must be called before Start.
// Without it the instance connects to all targets.
func (s *Service) UseMembers(m Members) { s.members = m }

// Connected reports whether, since the first list of targets arrived, the service has tried to open the connections to
// the targets that this instance holds.
func (s *Service) Connected() bool { return s.connected.Load() }

// requestPlacement makes placementLoop compute a new placement.
func (s *Service) requestPlacement() {
	select {
	case s.placementRequested <- struct{}{}:
	default: // A request is already pending.
	}
}

// placementLoop computes placements on request, opens connections ahead of queries and releases unused ones.
func (s *Service) placementLoop(ctx context.Context) {
	sweep := kernel.NewAlarm(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			sweep.Set(sweepInterval)
			s.pool.Sweep()
		case <-s.placementRequested:
			hadTargets := s.hasTargets() // read before updatePlacements
			s.updatePlacements()
			s.updateConnections(ctx)
			if hadTargets {
				s.connected.Store(true)
			}
			kernel.Sleep(ctx, minPlacementInterval)
		}
	}
}

// updatePlacements computes the placement of every index among the members that are not dead.
func (s *Service) updatePlacements() {
	if s.members == nil {
		return
	}
	byID := map[string]membership.Member{}
	var instances []placement.Instance
	for _, m := range s.members.Members() {
		byID[m.ID] = m
		if m.State != membership.Dead {
			instances = append(instances, placement.Instance{
				ID: m.ID, FailureDomain: m.FailureDomain, Leaving: m.State == membership.Leaving,
			})
		}
	}
	s.mu.Lock()
	s.peers = byID
	s.mu.Unlock()
	for _, ix := range s.allIndexes() {
		ix.setPlacement(s.instance, instances)
	}
}

// updateConnections opens missing connections to the held targets and releases the connections to all others.
func (s *Service) updateConnections(ctx context.Context) {
	held := map[string]bool{}
	for _, ix := range s.allIndexes() {
		for _, address := range ix.heldAddresses() {
			held[address] = true
		}
	}
	s.pool.Retain(func(address string) bool { return held[address] })
	var connects errgroup.Group
	connects.SetLimit(maxConcurrentConnects)
	for address := range held {
		if s.opened[address] || s.isLeaving() {
			continue
		}
		connects.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			if _, err := s.targetClient.Info(ctx, address); err != nil {
				s.counters.Counter("connects_failed").Add(1)
			}
			return nil
		})
	}
	_ = connects.Wait() // Failures are counted; the first query opens the connection.
	s.opened = held
}

// hasTargets reports whether any index has targets, whether or not this instance holds them.
func (s *Service) hasTargets() bool {
	return slices.ContainsFunc(s.allIndexes(), func(ix *index) bool { return ix.targetCount() > 0 })
}

// isLeaving reports whether this instance is shutting down. It then opens no connections ahead of queries.
func (s *Service) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[s.instance].State == membership.Leaving
}

func (s *Service) peerAddress(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.peers[id]
	return m.Address, ok
}

// relaysOf returns up to maxRelays holders of a group in order of preference: this instance, live holders of its
// failure domain, other live holders, and then the rest. Holders of equal rank are in random order.
func (s *Service) relaysOf(groupPlacement *placement.Index, id placement.GroupID) []string {
	holders := slices.Clone(groupPlacement.HoldersOf(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	rank := func(i placement.Instance) int {
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
	slices.SortStableFunc(holders, func(a, b placement.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	relays := make([]string, 0, maxRelays)
	for _, h := range holders[:min(maxRelays, len(holders))] {
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
