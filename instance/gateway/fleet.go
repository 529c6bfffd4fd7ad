package gateway

import (
	"context"
	"time"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/forward"
	"hyssopcroft.example/query/placement"
	"hyssopcroft.example/query/routing"
)

const (
	// maxDirectInstances is the largest number of instances of which each sends to every shard. In a larger fleet an
	// instance sends to a given target so seldom that the connection has timed out meanwhile.
	maxDirectInstances = 12
	// relayBudgetShare is the share of the budget of extra attempts that relays use for hedges and retries at targets
	// which only relays send to. The rest is for requests that are sent to a second relay, each of which may cost one
	// extra attempt at every shard.
	relayBudgetShare = 0.6
)

// fleet is what the decisions on connections, budgets and relays need to know of the instances.
type fleet struct {
	// all are the instances that may send attempts.
	all share
	// relayed are the services that get attempts from relays only.
	relayed map[string]bool
	// relays are the instances that send to the targets of these services.
	relays share
	// isRelay is set if this instance is one of them.
	isRelay bool
	// others are the relays except this instance.
	others []forward.Relay
}

// connections returns the number of connections that this instance may open to a target of the service. An instance
// that is not a relay opens them to targets of relayed services only for requests that no relay takes.
func (f fleet) connections(v routing.Service, local bool) int {
	switch {
	case !f.relayed[v.Name]:
		return f.all.connections(v.Connections, local)
	case f.isRelay:
		return f.relays.connections(v.Connections, local)
	}
	return 1
}

// allowsExtra reports whether a target of the service can hold two connections of each instance that sends to it.
func (f fleet) allowsExtra(v routing.Service) bool {
	if f.relayed[v.Name] {
		return f.isRelay && f.relays.allowsExtra(v.Connections)
	}
	return f.all.allowsExtra(v.Connections)
}

// gathered are the shards of gathered answers. They get attempts from relays only, once there are too many instances for
// each to send to every shard.
type gathered struct {
	services map[string]bool
	// connections is the lowest number of connections that a target of one of them accepts.
	connections int
}

func gatheredServices(t *routing.Table) gathered {
	g := gathered{services: map[string]bool{}}
	for _, r := range t.Routes {
		if !r.Gather {
			continue
		}
		for _, name := range r.Services {
			v, ok := t.Service(name)
			if ok && v.Connections > 0 && !g.services[name] {
				g.services[name] = true
				if g.connections == 0 || v.Connections < g.connections {
					g.connections = v.Connections
				}
			}
		}
	}
	return g
}

// fleetOf describes the fleet to this instance. Relays are chosen among all members that may be alive, so that a short
// doubt about one does not move connections; a doubtful relay is only chosen for a request if there is no other.
func (s *Service) fleetOf(members []membership.Member, shards gathered, entries []roster.Entry) fleet {
	f := fleet{all: shareOf(members, s.cfg.FailureDomain, len(s.cfg.Regions))}
	if f.all.instances <= maxDirectInstances || len(shards.services) == 0 {
		return f
	}
	f.relayed = shards.services
	targetsByDomain := map[string]int{}
	for _, e := range entries {
		if f.relayed[e.Service] {
			targetsByDomain[e.FailureDomain]++
		}
	}
	var candidates []placement.Candidate
	byID := map[string]membership.Member{}
	for _, m := range members {
		if m.State == membership.Dead || m.State == membership.Leaving {
			continue
		}
		byID[m.ID] = m
		candidates = append(candidates, placement.Candidate{
			ID: m.ID, FailureDomain: m.FailureDomain, Region: s.cfg.Regions[m.FailureDomain], Capacity: m.Capacity,
		})
	}
	sameRegion := 0
	for _, c := range placement.Relays(candidates, int(connectionShare*float64(shards.connections)), targetsByDomain) {
		f.relays.instances++
		if c.FailureDomain == s.cfg.FailureDomain {
			f.relays.sameDomain++
		}
		if c.Region == s.cfg.Region {
			sameRegion++
		}
		if c.ID == s.cfg.Instance {
			f.isRelay = true
			continue
		}
		f.others = append(f.others, forward.Relay{
			ID: c.ID, Address: byID[c.ID].Address, Distance: forward.Distance(s.distance(c.FailureDomain)),
			Doubtful: byID[c.ID].State == membership.Suspect,
		})
	}
	f.relays.sameDomain = max(f.relays.sameDomain, 1)
	// Requests go to a relay of their own region.
	f.relays.ratePart = 1 / float64(s.regionCount()*max(sameRegion, 1))
	return f
}

// regionCount returns the number of regions.
func (s *Service) regionCount() int {
	regions := map[string]bool{s.cfg.Region: true}
	for _, r := range s.cfg.Regions {
		regions[r] = true
	}
	return len(regions)
}

// fleetLoop applies changes of the members. Changes in quick succession, as when the whole fleet starts, are applied
// together.
func (s *Service) fleetLoop(ctx context.Context, membersChanged <-chan struct{}) {
	for {
		select {
		case <-membersChanged:
		case <-ctx.Done():
			return
		}
		s.updateFleet()
		s.sendSuspectsToJoined()
		if !kernel.Sleep(ctx, fleetUpdatePause) {
			return
		}
	}
}

// updateFleet applies the current members to connection limits, budgets and the choice of relays.
func (s *Service) updateFleet() {
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refreshFleet() {
		s.applyTargets()
	}
}

// refreshFleet describes the fleet by the current members, routes and targets. It reports whether the connections or
// budgets of this instance changed. It must be called with relayMu and mu held.
func (s *Service) refreshFleet() bool {
	previous := s.fleet
	s.fleet = s.fleetOf(s.cfg.Members.Members(), s.gathered, s.roster.Entries(time.Now()))
	s.relayChooser.SetRelays(s.fleet.others)
	if s.fleet.all == previous.all && s.fleet.relays == previous.relays && s.fleet.isRelay == previous.isRelay {
		return false
	}
	s.cfg.Log.Info("share of connections and budgets changed", "instances", s.fleet.all.instances, "in_domain", s.fleet.all.sameDomain,
		"relays", s.fleet.relays.instances, "is_relay", s.fleet.isRelay)
	s.balancer.SetInstances(s.fleet.all.instances, s.fleet.all.ratePart)
	return true
}
