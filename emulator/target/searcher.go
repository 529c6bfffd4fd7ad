// Package target is an in-memory stand-in for targets. Its searchers serve shards of an index from a
// small set of rows and run a limited number of requests at a time.
package target

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/emulator/fault"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
	"hyssopcroft.example/query"
)

// Row is one record of an index.
type Row struct {
	Shard query.Shard `json:"shard"`
	ID    string      `json:"id"`
	Text  string      `json:"text"`
}

// Config describes one searcher.
type Config struct {
	Target query.Target
	// Slots is the number of requests that run at a time.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot before further ones are shed;
	// 0 means no limit.
	QueueLimit int
	// ServiceTime returns the service time of the next request.
	ServiceTime func() time.Duration
	// ColdRequests is the number of requests after a start whose service time is multiplied by
	// ColdFactor and whose replies are marked cold.
	ColdRequests int
	ColdFactor   float64
	// Snapshots lists the versions available at the start, in ascending order.
	Snapshots []query.Version
	Rows      []Row
	// Ring records state changes and late searches; nil records nothing.
	Ring *timeline.Ring
}

// Searcher runs search and execute requests. It is safe for concurrent use.
type Searcher struct {
	cfg    Config
	slots  chan struct{}
	faults *fault.Switch[Faults]
	vars   *counters.Set

	mu              sync.Mutex // guards the fields below
	snapshots       []query.Version
	shardsByVersion map[query.Version][]query.Shard // only versions added by AddSnapshot
	rows            []Row
	draining        bool
	coldRemaining   int            // cold requests until the searcher is warm
	waiting         int            // number of requests waiting for a slot
	executions      map[string]int // number of executions of each key
	crash           func()         // crashes the Host; nil without one
	info            cachedInfo
	latest          latestAnswers
}

// NewSearcher returns a searcher in the state that cfg describes.
func NewSearcher(cfg Config) *Searcher {
	return &Searcher{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots),
		faults: fault.NewSwitch[Faults](), vars: counters.NewSet(),
		snapshots: slices.Clone(cfg.Snapshots), shardsByVersion: map[query.Version][]query.Shard{},
		rows: slices.Clone(cfg.Rows), coldRemaining: cfg.ColdRequests, executions: map[string]int{},
	}
}

// SetFaults replaces the faults in force. It returns an error and changes nothing if a value is
// invalid.
func (s *Searcher) SetFaults(f Faults) error { return s.faults.Set(f) }

// SetSnapshots replaces the available versions.
func (s *Searcher) SetSnapshots(versions []query.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = slices.Clone(versions)
	s.record("snapshots_held", fmt.Sprint(versions))
}

// AddSnapshot adds a repartitioned version. At this version the searcher serves the given shards
// instead of those of its Config. The rows are added to the existing ones.
func (s *Searcher) AddSnapshot(v query.Version, shards []query.Shard, rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.snapshots, v) {
		s.snapshots = append(s.snapshots, v)
		slices.Sort(s.snapshots)
	}
	s.shardsByVersion[v] = slices.Clone(shards)
	s.rows = append(s.rows, rows...)
	s.record("snapshots_held", fmt.Sprint(s.snapshots))
}

// SetDraining starts or ends draining. Requests in progress continue.
func (s *Searcher) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.record("target_draining", fmt.Sprint(draining))
}

// Executions returns the number of times that the execute request with the key ran.
func (s *Searcher) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Counter returns the value of a counter: requests, answered, shed, aborted, crashes,
// connections_opened or connections_refused.
func (s *Searcher) Counter(name string) int64 { return s.vars.Value(name) }

// Search runs one sub-request. It returns once the request has run, was refused or was aborted.
func (s *Searcher) Search(ctx context.Context, req *targetpb.SearchRequest) *targetpb.SearchResponse {
	start := time.Now()
	s.vars.Counter("requests").Add(1)
	resp := &targetpb.SearchResponse{
		RequestId: req.RequestId, AttemptId: req.AttemptId, Shard: req.Shard, Snapshot: req.Snapshot,
	}
	resp.Outcome, resp.Held = s.admit(req)
	if resp.Outcome != targetpb.Outcome_OUTCOME_ANSWERED {
		return resp
	}
	r := s.run(ctx, time.Duration(req.TimeLeftUs)*time.Microsecond, s.crashesOn(req.Query))
	resp.Outcome, resp.Cold = r.outcome, r.cold
	if resp.Outcome == targetpb.Outcome_OUTCOME_ANSWERED {
		resp.Hits = s.match(req)
		s.delayAnswer(ctx)
		resp = s.crossSearch(resp)
	}
	s.recordIfLate(req, r.outcome, time.Since(start))
	return resp
}

// Execute runs a request that may not be repeated. The searcher does not detect duplicates; it counts
// the executions of each key.
func (s *Searcher) Execute(ctx context.Context, req *targetpb.ExecuteRequest) *targetpb.ExecuteResponse {
	s.vars.Counter("requests").Add(1)
	resp := &targetpb.ExecuteResponse{Key: req.Key, AttemptId: req.AttemptId}
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		resp.Outcome = targetpb.Outcome_OUTCOME_DRAINING
		return resp
	}
	resp.Outcome = s.run(ctx, time.Duration(req.TimeLeftUs)*time.Microsecond, false).outcome
	if resp.Outcome != targetpb.Outcome_OUTCOME_ANSWERED {
		return resp
	}
	s.mu.Lock()
	s.executions[req.Key]++
	s.mu.Unlock()
	if s.crashesOn(string(req.Body)) {
		s.crashHost()
		resp.Outcome = targetpb.Outcome_OUTCOME_ABORTED
		return resp
	}
	resp.Result = fmt.Appendf(nil, "%s recorded at %s", req.Key, s.cfg.Target.ID)
	s.delayAnswer(ctx)
	return s.crossExecute(resp)
}

// admit returns OUTCOME_ANSWERED if the request may run, otherwise the reason for the refusal. The
// second result lists the available versions.
func (s *Searcher) admit(req *targetpb.SearchRequest) (targetpb.Outcome, []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]uint64, 0, len(s.snapshots))
	for _, v := range s.snapshots {
		versions = append(versions, uint64(v))
	}
	version, shard := query.Version(req.Snapshot), query.Shard(req.Shard)
	switch {
	case s.draining:
		return targetpb.Outcome_OUTCOME_DRAINING, versions
	case !s.serves(shard):
		return targetpb.Outcome_OUTCOME_WRONG_SHARD, versions
	case !slices.Contains(s.snapshots, version):
		return targetpb.Outcome_OUTCOME_SNAPSHOT_GONE, versions
	case !slices.Contains(s.shardsAt(version), shard):
		return targetpb.Outcome_OUTCOME_WRONG_SHARD, versions
	}
	return targetpb.Outcome_OUTCOME_ANSWERED, versions
}

// serves reports whether the searcher serves the shard at any version. s.mu must be held.
func (s *Searcher) serves(shard query.Shard) bool {
	for _, shards := range s.shardsByVersion {
		if slices.Contains(shards, shard) {
			return true
		}
	}
	return slices.Contains(s.cfg.Target.Shards, shard)
}

// shardsAt returns the shards that the searcher serves at a version. s.mu must be held.
func (s *Searcher) shardsAt(v query.Version) []query.Shard {
	if shards, ok := s.shardsByVersion[v]; ok {
		return shards
	}
	return s.cfg.Target.Shards
}

// match returns up to req.Limit rows of the shard that contain every word of the query.
func (s *Searcher) match(req *targetpb.SearchRequest) []*targetpb.Hit {
	words := strings.Fields(strings.ToLower(req.Query))
	s.mu.Lock()
	rows := s.rows
	s.mu.Unlock()
	var hits []*targetpb.Hit
	for _, row := range rows {
		if row.Shard != query.Shard(req.Shard) || len(hits) >= int(req.Limit) {
			continue
		}
		if score, ok := scoreOf(strings.ToLower(row.Text), words); ok {
			hits = append(hits, &targetpb.Hit{Id: row.ID, Score: score, Text: row.Text})
		}
	}
	return hits
}

// scoreOf returns the total length of the words divided by the length of the text. It returns false
// if the text does not contain all words.
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

func (s *Searcher) record(kind, detail string) {
	if s.cfg.Ring != nil {
		s.cfg.Ring.Add(kind, string(s.cfg.Target.ID), detail)
	}
}
