package entry

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/query"
)

// drainHops is the number of times that the news of a draining target is passed on. With the peers
// that each instance tells, it reaches a fleet of today's size within two round trips.
const drainHops = 4

// drained takes a target's own word that it is leaving, and tells the peers if it is news.
func (s *Service) drained(ix *index, id query.TargetID) {
	if ix.drain(id) {
		s.tellDraining(peer.Draining{Index: ix.name, Target: id, Hops: drainHops})
	}
}

// Draining implements relay.Backend. News are passed on, because the platform's list of targets lags
// and an instance that sends a target little would find out late.
func (s *Service) Draining(d peer.Draining) {
	ix, known := s.lookup(d.Index)
	if !known || !ix.drain(d.Target) {
		return
	}
	s.counters.Counter("draining_targets_told").Add(1)
	if d.Hops = min(d.Hops, drainHops) - 1; d.Hops >= 0 {
		s.tellDraining(d)
	}
}

func (s *Service) tellDraining(d peer.Draining) {
	s.tellPeers("draining_news_lost", func(ctx context.Context, address string) error {
		return s.relays.Draining(ctx, address, d)
	})
}

func (ix *index) drain(id query.TargetID) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.pool.Drain(time.Now(), id)
}
