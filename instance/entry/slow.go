package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/stamp"
	"hyssopcroft.example/kernel/timeline"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
)

// DefaultSlowQuery is the default latency above which a query counts as slow. The latency target is that 99 of 100
// queries take less.
const DefaultSlowQuery = 99 * time.Millisecond

// SlowQuery is the timeline event of a query, or of a relay's part of one, that took longer than the
// threshold or whose answer lacks shards.
type SlowQuery struct {
	Request query.RequestID
	Plan    string
	Index   string
	Took    time.Duration
	// Relayed is true for the part of a query that this instance runs for another one.
	Relayed  bool
	Included int
	Missing  []query.MissingShard
	Slowest  slowest
}

// slowest describes the slowest part of a query: a shard at a target, or a group at a relay.
type slowest struct {
	shard    query.Shard
	target   query.TargetID // empty if relay is set
	relay    string
	attempts int
	hedged   bool
	cause    query.Cause
}

// Topic is the kind of the event.
func (e SlowQuery) Topic() string {
	switch {
	case e.Relayed && len(e.Missing) > 0:
		return "relay_incomplete"
	case e.Relayed:
		return "relay_slow"
	case len(e.Missing) > 0:
		return "query_incomplete"
	}
	return "query_slow"
}

// Detail describes the event in one line.
func (e SlowQuery) Detail() string {
	s := e.Slowest
	location := "target=" + string(s.target)
	if s.relay != "" {
		location = "relay=" + s.relay
	}
	text := fmt.Sprintf("plan=%s index=%s took=%s shard=%d %s attempts=%d hedged=%t", e.Plan, e.Index,
		e.Took.Round(time.Microsecond), s.shard, location, s.attempts, s.hedged)
	if len(e.Missing) > 0 {
		return fmt.Sprintf("%s missing=%d of %d cause=%s", text, len(e.Missing), len(e.Missing)+e.Included, e.Missing[0].Cause)
	}
	if s.cause != "" {
		text += " cause=" + string(s.cause)
	}
	return text
}

// UseTimeline sets the ring in which slow queries are recorded and the latency above which a query is slow. Messages
// to targets and relays then carry stamps. It must be called before Start.
func (s *Service) UseTimeline(ring *timeline.Ring, stamps *stamp.Propagator, slowAfter time.Duration) {
	s.ring, s.slowAfter = ring, slowAfter
	s.targetClient.UseStamps(stamps)
	s.relayClient = peer.NewRelayClient(stamps.Transport(s.peerTransport))
}

// recordIfSlow records a query that was slow or whose answer is incomplete; it calls findSlowest only then. A query
// that its caller cancelled is incomplete for that reason alone, so it is recorded only if it was slow.
func (s *Service) recordIfSlow(ctx context.Context, req query.Request, start time.Time, relayed bool, c query.Coverage, findSlowest func() slowest) {
	took := time.Since(start)
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	if s.ring == nil || took <= s.slowAfter && (c.Complete() || cancelled) {
		return
	}
	e := SlowQuery{
		Request: req.ID, Plan: req.Plan, Index: req.Index, Took: took, Relayed: relayed, Included: len(c.Included),
		Missing: c.Missing, Slowest: findSlowest(),
	}
	s.ring.Add(e.Topic(), e.Request.String(), e.Detail())
}

// slowest returns the slowest shard of the query.
func (r *shardRun) slowest() slowest {
	m := r.machine.SlowestShard()
	return slowest{shard: m.Shard, target: m.Target, attempts: m.Attempts, hedged: m.Hedges > 0, cause: m.Cause}
}

// slowest returns the slowest group of the query: the group of the first missing shard or, if the answer is
// complete, the group that was answered last.
func (r *groupRun) slowest(c query.Coverage) slowest {
	shard := r.lastShard
	if len(c.Missing) > 0 {
		shard = c.Missing[0].Shard
	}
	found := slowest{shard: shard}
	for _, a := range r.sent {
		if !containsShard(a, shard) {
			continue
		}
		if found.attempts == 0 {
			found.relay = a.Relay
		}
		found.attempts++
	}
	found.hedged = found.attempts > 1
	return found
}

func containsShard(a group.Action, s query.Shard) bool {
	for _, shard := range a.Shards {
		if shard == s {
			return true
		}
	}
	return false
}
