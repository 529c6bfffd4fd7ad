package target

import (
	"context"
	"slices"
	"time"

	api "hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/kernel"
)

// lastAnswers holds the latest answers, which take the place of others when answers cross.
type lastAnswers struct {
	search  *targetpb.SearchResponse
	execute *targetpb.ExecuteResponse
}

// holdBack delays an answer that is to be late.
func (s *Searcher) holdBack(ctx context.Context) {
	f := s.currentFaults()
	if !s.faults.Happens(f.LateShare) {
		return
	}
	kernel.Sleep(ctx, time.Duration(f.LateBy))
}

func (s *Searcher) crossSearch(resp *targetpb.SearchResponse) *targetpb.SearchResponse {
	cross := s.faults.Happens(s.currentFaults().CrossedShare)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last.search
	s.last.search = resp
	if cross && last != nil {
		return last
	}
	return resp
}

func (s *Searcher) crossExecute(resp *targetpb.ExecuteResponse) *targetpb.ExecuteResponse {
	cross := s.faults.Happens(s.currentFaults().CrossedShare)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last.execute
	s.last.execute = resp
	if cross && last != nil {
		return last
	}
	return resp
}

// cachedInfo is what GET /v1/info returned last.
type cachedInfo struct {
	info  api.Info
	taken time.Time // zero if it was never taken
}

// Info returns the searcher's account of itself, which lags and misleads as its faults ask for.
func (s *Searcher) Info() api.Info {
	f := s.currentFaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.info.taken.IsZero() || now.Sub(s.info.taken) >= time.Duration(f.InfoLag) {
		s.info = cachedInfo{info: s.trueInfo(), taken: now}
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

// trueInfo must be called with s.mu held.
func (s *Searcher) trueInfo() api.Info {
	return api.Info{
		Target: s.cfg.Target.ID, Healthy: !s.draining, Draining: s.draining, Cold: s.coldLeft > 0,
		Load:         float64(len(s.slots)+s.waiting) / float64(max(1, s.cfg.Slots)),
		HeldVersions: slices.Clone(s.snapshots),
	}
}
