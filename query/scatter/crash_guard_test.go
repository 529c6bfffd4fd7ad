package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// Guards against a request that crashes the replicas of a shard one after the other, and against a request
// that is not retried although another target has answered it.
func TestCrashBlocksFurtherAttempts(t *testing.T) {
	type event struct {
		attempt query.AttemptID
		outcome query.Outcome
	}
	const crashed, answered, unknown = query.OutcomeCrashed, query.OutcomeAnswered, query.OutcomeUnknown
	for name, c := range map[string]struct {
		cleared  bool
		events   []event
		sent     int // within 5 ms
		finished bool
		missing  int
	}{
		"one crash, others in flight":           {events: []event{{1, crashed}}, sent: 3},
		"no hedge of another shard":             {events: []event{{1, crashed}, {2, unknown}}, sent: 3},
		"answer of another shard unblocks":      {events: []event{{1, crashed}, {2, answered}}, sent: 4},
		"answered before the crash":             {events: []event{{2, answered}, {1, crashed}}, sent: 4},
		"cleared before the query":              {cleared: true, events: []event{{1, crashed}}, sent: 4},
		"second crash ends the query":           {events: []event{{1, crashed}, {2, crashed}}, sent: 3, finished: true, missing: 3},
		"nothing left in flight ends the query": {events: []event{{1, crashed}, {2, unknown}, {3, unknown}}, sent: 3, finished: true, missing: 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{policy: &scriptedPolicy{remaining: []query.TargetID{"a", "b", "c", "d"}, verdict: replica.Limited}}
			h.Machine = scatter.New(scatter.Config{
				Request: query.Request{ID: 7, Limit: 10, Deadline: start.Add(deadline), Cleared: c.cleared},
				Map:     query.Map{Version: 3, Shards: []query.Shard{1, 2, 3}}, Policy: h.policy,
				NextAttempt: func() query.AttemptID { h.last++; return h.last },
			})
			h.record(h.Start(start))
			for _, e := range c.events {
				h.record(h.OnReply(start.Add(time.Millisecond), e.attempt, query.Reply{
					Attempt: e.attempt, Request: 7, Shard: query.Shard(e.attempt), Snapshot: 3, Outcome: e.outcome,
				}))
			}
			h.wake(5 * time.Millisecond)
			require.Len(t, h.sends, c.sent)
			finished := h.kinds[len(h.kinds)-1] == finish
			require.Equal(t, c.finished, finished)
			if finished {
				require.Len(t, h.Answer().Coverage.Missing, c.missing)
			}
		})
	}
}
