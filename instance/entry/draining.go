package entry

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/query"
)

// maxDrainHops bounds the number of times that the report of a draining target is forwarded. With notifyFanOut
// receivers at each hop, the report reaches a fleet of 8 instances within two round trips.
const maxDrainHops = 4

// onDraining marks a target as draining after it refused an attempt for that reason, and notifies the peers if this
// is new.
func (s *Service) onDraining(ix *index, id query.TargetID) {
	if ix.markDraining(id) {
		s.reportDraining(peer.DrainingReport{Index: ix.name, Target: id, Hops: maxDrainHops})
	}
}

// Draining implements relay.Backend. A report that is new to this instance is forwarded, because the platform's list
// of targets lags, and an instance that rarely uses the target would detect the draining late.
func (s *Service) OnDrainingReport(d peer.DrainingReport) {
	ix, ok := s.lookup(d.Index)
	if !ok || !ix.markDraining(d.Target) {
		return
	}
	s.counters.Counter("draining_reports_taken").Add(1)
	if d.Hops = min(d.Hops, maxDrainHops) - 1; d.Hops >= 0 {
		s.reportDraining(d)
	}
}

func (s *Service) reportDraining(d peer.DrainingReport) {
	s.notifyPeers("draining_reports_lost", func(ctx context.Context, address string) error {
		return s.relayClient.ReportDraining(ctx, address, d)
	})
}

// markDraining returns false if the target is unknown or already marked.
func (ix *index) markDraining(id query.TargetID) bool {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	return ix.pool.MarkDraining(time.Now(), id)
}

// RunForwarded implements relay.Backend. Instances that interpret queries forward groups of shards and no whole requests.
func (s *Service) RunForwarded(context.Context, peer.ForwardedRequest) peer.ForwardedResponse {
	return peer.ForwardedResponse{Outcome: peer.ForwardUnavailable, Reason: "the instance runs no opaque requests"}
}
