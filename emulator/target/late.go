package target

import (
	"fmt"
	"strings"
	"time"

	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/query"
)

// lateThreshold is the time from arrival to answer beyond which a search is recorded as late. It is half
// of the time limit within which 99% of answers must reach their callers.
const lateThreshold = 50 * time.Millisecond

// LateSearch is the timeline event of a search that was answered or aborted after lateThreshold.
type LateSearch struct {
	Request query.RequestID
	Attempt query.AttemptID
	Target  query.TargetID
	Shard   query.Shard
	Outcome targetpb.Outcome
	Took    time.Duration
}

// Topic returns the kind of the event.
func (LateSearch) Topic() string { return "target_late" }

// Detail returns a one-line description of the event.
func (e LateSearch) Detail() string {
	return fmt.Sprintf("target=%s shard=%d attempt=%d took=%s outcome=%s", e.Target, e.Shard, e.Attempt,
		e.Took.Round(time.Microsecond), strings.ToLower(strings.TrimPrefix(e.Outcome.String(), "OUTCOME_")))
}

func (s *Searcher) recordIfLate(req *targetpb.SearchRequest, o targetpb.Outcome, took time.Duration) {
	if s.cfg.Ring == nil || took <= lateThreshold {
		return
	}
	e := LateSearch{
		Request: query.RequestID(req.RequestId), Attempt: query.AttemptID(req.AttemptId), Target: s.cfg.Target.ID,
		Shard: query.Shard(req.Shard), Outcome: o, Took: took,
	}
	s.cfg.Ring.Add(e.Topic(), e.Request.String(), e.Detail())
}
