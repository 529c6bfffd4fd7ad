package gateway

import (
	"maps"
	"slices"
	"time"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/routing"
)

// SetTargets applies a new list of targets.
func (s *Service) SetTargets(ev directory.TargetsChanged) {
	if s.applyList(ev) {
		s.suspects.signalTargetsLost()
	}
	s.probeLostTargets()
}

// applyList applies a new list, and reports whether targets have left it that were not draining.
func (s *Service) applyList(ev directory.TargetsChanged) (lost bool) {
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.roster.BeginEra(now, ev.Era) {
		s.cfg.Log.Warn("the list of targets comes from a restored store; entries that its copy brings back are ignored", "era", ev.Era)
	}
	if s.roster.ReadyCount() == 0 {
		s.roster.Replace(now, ev.BeforeOutage, false)
	}
	s.roster.Replace(now, ev.Entries, ev.Incomplete)
	s.targetsRead = true
	s.signalReady()
	s.refreshFleet()
	before := maps.Clone(s.targets)
	s.applyTargets()
	for id, e := range before {
		if now, ok := s.targets[id]; (!ok || now.Incarnation != e.Incarnation) && !s.roster.IsDraining(e) {
			return true
		}
	}
	return false
}

// applyTargets passes the usable targets to the balancer, and their connection limits to the sender. It must be called
// with mu held.
func (s *Service) applyTargets() {
	s.connectExtra = s.table != nil && !slices.ContainsFunc(s.table.Services, func(v routing.Service) bool {
		return !s.fleet.allowsExtra(v)
	})
	s.balancer.SetSenders(s.senders())
	now := time.Now()
	entries := s.roster.Entries(now)
	limits := make(map[string]int, len(entries))
	list := make([]balance.Target, 0, len(entries))
	clear(s.targets)
	for _, e := range entries {
		if e.Draining {
			continue
		}
		connections := s.connections(e)
		limits[e.Address] = connections
		id := query.TargetID(e.ID)
		s.targets[id] = e
		list = append(list, balance.Target{
			ID: id, Shard: s.shardID(e.Service), Incarnation: e.Incarnation, Distance: s.distance(e.FailureDomain),
			Limit: connections, ColdUntil: now.Add(e.ColdFor),
		})
	}
	s.balancer.SetTargets(list)
	s.cfg.Sender.SetConnections(limits)
}

// connections returns this instance's share of a target's connections.
func (s *Service) connections(e roster.Entry) int {
	if s.table == nil {
		return 1
	}
	service, ok := s.table.Service(e.Service)
	if !ok || service.Connections <= 0 {
		return 1
	}
	return s.fleet.connections(service, e.FailureDomain == s.cfg.FailureDomain)
}

// senders returns the instances that send to the shards which not all instances send to. It must be called with mu
// held.
func (s *Service) senders() map[query.Shard]balance.Senders {
	out := map[query.Shard]balance.Senders{}
	senders := balance.Senders{Count: s.fleet.all.instances, BudgetShare: relayBudgetShare, RatePart: s.fleet.all.ratePart}
	if s.fleet.isRelay {
		senders.Count, senders.RatePart = s.fleet.relays.instances, s.fleet.relays.ratePart
	}
	for name := range s.fleet.relayed {
		out[s.shardID(name)] = senders
	}
	return out
}

func (s *Service) distance(domain string) balance.Distance {
	switch {
	case domain == s.cfg.FailureDomain:
		return balance.SameDomain
	case s.cfg.Regions[domain] == s.cfg.Region:
		return balance.SameRegion
	}
	return balance.OtherRegion
}

// shardID returns the shard id of a service, and assigns one if it has none. It must be called with mu held.
func (s *Service) shardID(service string) query.Shard {
	id, ok := s.shardIDs[service]
	if !ok {
		id = query.Shard(len(s.shardIDs) + 1)
		s.shardIDs[service] = id
	}
	return id
}

// target returns the entry of a target, or false if the target has been removed.
func (s *Service) target(id query.TargetID) (roster.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.targets[id]
	return e, ok
}

// observeRateLimit records the rate limit that a target stated in a reply.
func (s *Service) observeRateLimit(id query.TargetID, r query.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.balancer.ObserveRateLimit(time.Now(), id, r) {
		return
	}
	s.cfg.Metrics.rateLimits.Inc()
	s.cfg.Log.Info("target changed its rate limit", "target", id, "limited", r.RateLimit.Stated, "per_second", r.RateLimit.PerSecond)
}

// observeTarget acts on what a target says of itself in a reply. It must be called for each reply, also if the request has
// ended meanwhile.
func (s *Service) observeTarget(e roster.Entry, r query.Reply) {
	if isAnswer(r) {
		s.suspects.onAnswer(time.Now(), e)
	}
	if r.TurnedAwayFor > 0 {
		s.onTurnedAway(e, r.TurnedAwayFor)
	}
	if r.Leaving {
		s.onLeaving(e)
	}
}

// onLeaving ends new attempts at a target that has said that it is leaving. The list may say so only seconds later.
func (s *Service) onLeaving(e roster.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.OnLeaving(time.Now(), e) {
		s.cfg.Log.Info("target says that it is leaving; it gets no new requests", "target", e.ID, "service", e.Service)
		s.applyTargets()
	}
}

// onTurnedAway excludes a target that wants no requests from this instance for a time.
func (s *Service) onTurnedAway(e roster.Entry, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balancer.Hold(time.Now(), query.TargetID(e.ID), e.Incarnation, d) {
		s.cfg.Log.Info("target turned requests away for a time", "target", e.ID, "service", e.Service, "for_ms", d.Milliseconds())
	}
}

// onAddressReused removes the entry of a target whose address now belongs to another target.
func (s *Service) onAddressReused(id query.TargetID) {
	if e, known := s.removeReused(id); known {
		s.probeLost(startOf(e))
	}
}

func (s *Service) removeReused(id query.TargetID) (e roster.Entry, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known = s.targets[id]
	if !known {
		return e, false
	}
	s.cfg.Log.Warn("another target has this address; the entry is left out", "target", id, "address", e.Address)
	s.roster.OnAddressReused(e)
	s.applyTargets()
	return e, true
}
