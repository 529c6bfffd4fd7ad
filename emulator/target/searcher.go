// Package target is a small stand-in for targets: searchers that serve shards of an index from a
// few rows in memory, with a limited number of slots.
package target

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/query"
)

// Row is one record of an index.
type Row struct {
	Shard query.Shard
	ID    string
	Text  string
}

// Config describes one searcher.
type Config struct {
	Target query.Target
	// Slots is the number of requests that run at a time.
	Slots int
	// ServiceTime returns how long the next request runs.
	ServiceTime func() time.Duration
	// Snapshots lists the versions held at the start, in ascending order.
	Snapshots []query.Version
	Rows      []Row
}

// Searcher runs searches and executes. It is safe for concurrent use.
type Searcher struct {
	cfg   Config
	slots chan struct{}

	mu        sync.Mutex // guards the fields below
	snapshots []query.Version
	draining  bool
	executed  map[string]int // number of times each key ran
}

// NewSearcher returns a searcher that is ready to run requests.
func NewSearcher(cfg Config) *Searcher {
	return &Searcher{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots),
		snapshots: slices.Clone(cfg.Snapshots), executed: map[string]int{},
	}
}

// SetSnapshots replaces the versions that the searcher holds.
func (s *Searcher) SetSnapshots(held []query.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = slices.Clone(held)
}

// SetDraining starts or ends draining. Requests that run go on.
func (s *Searcher) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Executed returns how often the request with the key ran.
func (s *Searcher) Executed(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[key]
}

// Search runs one sub-request. It returns when the request has run or was refused.
func (s *Searcher) Search(ctx context.Context, req *targetpb.SearchRequest) *targetpb.SearchResponse {
	resp := &targetpb.SearchResponse{
		RequestId: req.RequestId, AttemptId: req.AttemptId, Shard: req.Shard, Snapshot: req.Snapshot,
	}
	resp.Outcome, resp.Held = s.admit(req)
	if resp.Outcome != targetpb.Outcome_OUTCOME_ANSWERED {
		return resp
	}
	if !s.run(ctx, time.Duration(req.TimeLeftUs)*time.Microsecond) {
		resp.Outcome = targetpb.Outcome_OUTCOME_ABORTED
		return resp
	}
	resp.Hits = s.match(req)
	return resp
}

// Execute runs a request that may not be repeated. The searcher does not protect itself against
// repetition; it only counts.
func (s *Searcher) Execute(ctx context.Context, req *targetpb.ExecuteRequest) *targetpb.ExecuteResponse {
	resp := &targetpb.ExecuteResponse{Key: req.Key, AttemptId: req.AttemptId}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		resp.Outcome = targetpb.Outcome_OUTCOME_DRAINING
		return resp
	}
	if !s.run(ctx, time.Duration(req.TimeLeftUs)*time.Microsecond) {
		resp.Outcome = targetpb.Outcome_OUTCOME_ABORTED
		return resp
	}
	s.mu.Lock()
	s.executed[req.Key]++
	s.mu.Unlock()
	resp.Outcome = targetpb.Outcome_OUTCOME_ANSWERED
	resp.Result = fmt.Appendf(nil, "%s recorded at %s", req.Key, s.cfg.Target.ID)
	return resp
}

// admit returns OUTCOME_ANSWERED if the request may run.
func (s *Searcher) admit(req *targetpb.SearchRequest) (targetpb.Outcome, []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]uint64, 0, len(s.snapshots))
	for _, v := range s.snapshots {
		held = append(held, uint64(v))
	}
	switch {
	case s.draining:
		return targetpb.Outcome_OUTCOME_DRAINING, held
	case !slices.Contains(s.cfg.Target.Shards, query.Shard(req.Shard)):
		return targetpb.Outcome_OUTCOME_WRONG_SHARD, held
	case !slices.Contains(s.snapshots, query.Version(req.Snapshot)):
		return targetpb.Outcome_OUTCOME_SNAPSHOT_GONE, held
	}
	return targetpb.Outcome_OUTCOME_ANSWERED, held
}

// run waits for a slot and holds it for the service time. It returns false if the time left or
// the context ended first.
func (s *Searcher) run(ctx context.Context, timeLeft time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.slots }()
	timer := time.NewTimer(s.cfg.ServiceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// match returns the rows of the shard that contain every word of the query.
func (s *Searcher) match(req *targetpb.SearchRequest) []*targetpb.Hit {
	words := strings.Fields(strings.ToLower(req.Query))
	var hits []*targetpb.Hit
	for _, row := range s.cfg.Rows {
		if row.Shard != query.Shard(req.Shard) || len(hits) >= int(req.Limit) {
			continue
		}
		if score, ok := scoreOf(strings.ToLower(row.Text), words); ok {
			hits = append(hits, &targetpb.Hit{Id: row.ID, Score: score, Text: row.Text})
		}
	}
	return hits
}

// scoreOf returns the share of the text's bytes that the words take, and whether all occur.
func scoreOf(text string, words []string) (float64, bool) {
	matched := 0
	for _, w := range words {
		if !strings.Contains(text, w) {
			return 0, false
		}
		matched += len(w)
	}
	return float64(matched) / float64(max(1, len(text))), true
}
