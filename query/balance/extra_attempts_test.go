package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/scatter"
)

// outcomes returns the outcome of the nth attempt of a request.
type outcomes func(n int) query.Outcome

// arrivals runs a request over one shard to its end, one attempt after the other. It returns the number of its attempts that
// reached a target.
func arrivals(p scatter.Policy, now time.Time, of outcomes) int {
	const id query.RequestID = 7
	var last query.AttemptID
	m := scatter.New(scatter.Config{
		Request: query.Request{ID: id, Limit: 1, Deadline: now.Add(time.Second), PreferCoverage: true}, MaxAttempts: 3,
		Map: query.Map{Version: 1, Shards: []query.Shard{1}}, Policy: p, NextAttempt: func() query.AttemptID { last++; return last },
		DistinctTargets: true,
	})
	reached, sent := 0, 0
	pending := m.Start(now)
	for {
		var next []scatter.Action
		for _, a := range pending {
			switch a.Kind {
			case scatter.Finish:
				return reached
			case scatter.Send:
				o := of(sent)
				sent++
				if o != query.OutcomeNotRun {
					reached++
				}
				next = append(next, m.OnReply(now, a.Attempt, query.Reply{Attempt: a.Attempt, Request: id, Shard: 1, Snapshot: 1, Outcome: o})...)
			}
		}
		if len(next) == 0 {
			now = now.Add(50 * time.Millisecond)
			next = append(next, m.OnWake(now)...)
		}
		pending = next
	}
}

// Guards against a budget that grows with each request that reaches no target, so that extra attempts exceed their bound once
// the targets are back. Load: all targets refuse connections, then fail each request. Nothing is allowed beyond first arrivals.
func TestRequestsThatReachNoTargetDoNotRaiseBudget(t *testing.T) {
	const requests = 200
	lb := balance.NewBalancer("i", hedge.BudgetLimits{Span: 10 * time.Second})
	lb.SetTargets(targetsOf(11))
	p := lb.RoutePolicy("r", objective)
	now, extra, arrived := start, 0, 0
	for n := range 2 * requests {
		now = now.Add(15 * time.Millisecond)
		o := query.OutcomeNotRun
		if n >= requests {
			o = query.OutcomeFailed
		}
		reached := arrivals(p, now, func(int) query.Outcome { return o })
		arrived += reached
		extra += max(0, reached-1)
	}
	require.Zero(t, extra)
	require.Positive(t, arrived)
}

// Guards against extra attempts beyond their bound, whichever attempts of a request reach a target.
func TestOnlyAttemptsBeyondFirstArrivalAreExtra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lb := balance.NewBalancer("i", hedge.BudgetLimits{Span: 10 * time.Second})
		lb.SetTargets(targetsOf(11))
		p := lb.RoutePolicy("r", objective)
		unreachable := rapid.IntRange(0, 10).Draw(t, "tenths unreachable")
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(15 * time.Millisecond)
			require.LessOrEqual(t, arrivals(p, now, func(int) query.Outcome {
				if rapid.IntRange(0, 9).Draw(t, "attempt") < unreachable {
					return query.OutcomeNotRun
				}
				return query.OutcomeFailed
			}), 1)
		}
	})
}

// targetsOf returns targets of one shard.
func targetsOf(n int) []balance.Target {
	var list []balance.Target
	for i := range n {
		list = append(list, balance.Target{ID: query.TargetID(fmt.Sprint(i)), Shard: 1, Limit: 2})
	}
	return list
}
