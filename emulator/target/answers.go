package target

import (
	"context"
	"slices"
	"time"

	api "hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/kernel"
)

// latestAnswers holds the latest answer of each kind. A crossed answer is replaced by the one stored
// here.
type latestAnswers struct {
	search  *targetpb.SearchResponse
	execute *targetpb.ExecuteResponse
}

// delayAnswer waits for LateBy if the late fault applies to the answer.
func (s *Searcher) delayAnswer(ctx context.Context) {
	f := s.currentFaults()
	if !s.faults.Happens(f.LateShare) {
		return
	}
	kernel.Sleep(ctx, time.Duration(f.LateBy))
}

// crossSearch returns the previous answer instead of resp if the crossed fault applies to it.
func (s *Searcher) crossSearch(resp *targetpb.SearchResponse) *targetpb.SearchResponse {
	cross := s.faults.Happens(s.currentFaults().CrossedShare)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.latest.search
	s.latest.search = resp
	if cross && previous != nil {
		return previous
	}
	return resp
}

// crossExecute is crossSearch for execute requests.
func (s *Searcher) crossExecute(resp *targetpb.ExecuteResponse) *targetpb.ExecuteResponse {
	cross := s.faults.Happens(s.currentFaults().CrossedShare)
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.latest.execute
	s.latest.execute = resp
	if cross && previous != nil {
		return previous
	}
	return resp
}

// cachedInfo is the info that GET /v1/info reports until it is older than InfoLag.
type cachedInfo struct {
	info   api.Info
	readAt time.Time // zero before the first read
}

// Info returns the searcher's status, which is stale or wrong if the info faults are set.
func (s *Searcher) Info() api.Info {
	f := s.currentFaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.info.readAt.IsZero() || now.Sub(s.info.readAt) >= time.Duration(f.InfoLag) {
		s.info = cachedInfo{info: s.trueInfo(), readAt: now}
	}
	info := s.info.info
	if f.InfoHealthy != nil {
		info.Healthy = *f.InfoHealthy
	}
	if f.InfoLoad != nil {
		info.Load = *f.InfoLoad
	}
	return info
}

// trueInfo returns the current status without faults. s.mu must be held.
func (s *Searcher) trueInfo() api.Info {
	return api.Info{
		Target: s.cfg.Target.ID, Healthy: !s.draining, Draining: s.draining, Cold: s.coldRemaining > 0,
		Load:         float64(len(s.slots)+s.waiting) / float64(max(1, s.cfg.Slots)),
		HeldVersions: slices.Clone(s.snapshots),
	}
}
