package group_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
)

const (
	testRequest  query.RequestID = 5
	testSnapshot query.Version   = 2
	hedgeAfter                   = 20 * time.Millisecond
	deadline                     = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

type fixedBudget int

func (b *fixedBudget) Earn() {}
func (b *fixedBudget) TryTake() bool {
	*b--
	return *b >= 0
}

func newMachine(budget int) *group.Machine {
	b := fixedBudget(budget)
	var last query.AttemptID
	return group.New(group.Config{
		Request: query.Request{ID: testRequest, Index: "ledger", Limit: 10, Deadline: start.Add(deadline)},
		Map:     query.Map{Version: testSnapshot, Shards: []query.Shard{1, 2, 3, 4}},
		Parts: []group.Part{
			{Shards: []query.Shard{1, 2}, Relays: []string{"a", "b", "c"}},
			{Shards: []query.Shard{3}, Relays: []string{"d"}},
			{Shards: []query.Shard{4}},
		},
		HedgeAfter: hedgeAfter, Budget: &b,
		NextAttempt: func() query.AttemptID { last++; return last },
	})
}

func partialReply(sent query.AttemptID, included ...query.Shard) group.Reply {
	return group.Reply{Attempt: sent, Outcome: query.OutcomeAnswered, Answer: query.Answer{
		Request: testRequest, Snapshot: testSnapshot, Coverage: query.Coverage{Included: included},
	}}
}

func failedReply(sent query.AttemptID, o query.Outcome) group.Reply {
	return group.Reply{Attempt: sent, Outcome: o}
}

// relays returns the relays of the Send actions, in order.
func relays(actions []group.Action) []string {
	var out []string
	for _, a := range actions {
		if a.Kind == group.Send {
			out = append(out, a.Relay)
		}
	}
	return out
}

// Guards against a group that is sent again, without budget, although the relay may have run it, and against a
// group that is given up although the relay certainly did not run it.
func TestResend(t *testing.T) {
	cases := []struct {
		outcome query.Outcome
		budget  int
		want    []string
		cause   query.Cause
	}{
		{query.OutcomeNotRun, 0, []string{"b"}, ""},
		{query.OutcomeDraining, 0, []string{"b"}, ""},
		{query.OutcomeWrongShard, 0, []string{"b"}, ""},
		{query.OutcomeUnknown, 0, nil, query.CauseUnreachable},
		{query.OutcomeUnknown, 1, []string{"b"}, ""},
		{query.OutcomeAborted, 0, nil, query.CauseTimeout},
	}
	for _, c := range cases {
		t.Run(c.outcome.String(), func(t *testing.T) {
			m := newMachine(c.budget)
			require.Equal(t, []string{"a", "d"}, relays(m.Start(start)))
			require.Equal(t, c.want, relays(m.OnReply(start, 1, failedReply(1, c.outcome))))
			m.OnReply(start, 2, partialReply(2, 3))
			if c.want != nil {
				m.OnReply(start, 3, partialReply(3, 1, 2))
			}
			a := m.Answer()
			if c.want != nil {
				require.Equal(t, []query.Shard{1, 2, 3}, a.Coverage.Included)
				require.Equal(t, []query.MissingShard{{Shard: 4, Cause: query.CauseNoReplica}}, a.Coverage.Missing)
				return
			}
			require.Equal(t, c.cause, a.Coverage.Missing[0].Cause)
		})
	}
}

// Guards against a query that waits until the deadline for a relay that does not reply, and against hedges
// beyond the budget.
func TestHedge(t *testing.T) {
	for budget, want := range [][]string{nil, {"b"}, {"b"}} {
		m := newMachine(budget)
		m.Start(start)
		require.Equal(t, start.Add(hedgeAfter), m.NextWake())
		require.Empty(t, m.OnWake(start.Add(hedgeAfter-1)))
		require.Equal(t, want, relays(m.OnWake(start.Add(hedgeAfter))))
		require.Equal(t, start.Add(deadline), m.NextWake(), "at most one hedge")
	}
	m := newMachine(1)
	m.Start(start)
	m.OnWake(start.Add(hedgeAfter))
	actions := slices.Clone(m.OnReply(start, 3, partialReply(3, 1, 2)))
	require.Equal(t, []group.Action{{Kind: group.Cancel, Attempt: 1, Relay: "a"}}, actions)
	require.Empty(t, m.OnReply(start, 1, partialReply(1, 1, 2)))
	require.Equal(t, int64(1), m.Dropped()["reply_late"])
}

// Guards against answers that include a partial answer for other shards than the requested ones, for another
// snapshot or for another attempt.
func TestInvalidPartialAnswersAreRejected(t *testing.T) {
	otherSnapshot := partialReply(1, 1, 2)
	otherSnapshot.Answer.Snapshot++
	otherAttempt := partialReply(7, 1, 2)
	cases := map[string]group.Reply{
		"partial_wrong_snapshot": otherSnapshot, "reply_mismatched": otherAttempt, "partial_unaccounted": partialReply(1, 1),
		"partial_not_asked": partialReply(1, 1, 3), "partial_unknown_shard": partialReply(1, 1, 21), "partial_duplicate": partialReply(1, 1, 1),
	}
	for reason, r := range cases {
		t.Run(reason, func(t *testing.T) {
			m := newMachine(0)
			m.Start(start)
			m.OnReply(start, 1, r)
			require.Equal(t, map[string]int64{reason: 1}, m.Dropped())
			actions := m.OnReply(start, 2, partialReply(2, 3))
			require.Equal(t, group.Finish, actions[len(actions)-1].Kind)
			require.Equal(t, []query.Shard{3}, m.Answer().Coverage.Included)
		})
	}
}

// Guards against a query that never ends and against attempts that stay in flight after the deadline.
func TestDeadlineEndsTheQuery(t *testing.T) {
	m := newMachine(0)
	m.Start(start)
	actions := m.OnWake(start.Add(deadline))
	require.Len(t, actions, 3)
	require.Equal(t, group.Finish, actions[2].Kind)
	for _, missing := range m.Answer().Coverage.Missing[:3] {
		require.Equal(t, query.CauseTimeout, missing.Cause)
	}
}

// Guards against a refusal that reports "not run" although a relay may have sent the query to a target.
func TestMayHaveRun(t *testing.T) {
	replyFromAll := func(o query.Outcome) func(m *group.Machine) {
		return func(m *group.Machine) {
			for id := range query.AttemptID(4) { // a, d, b and c
				m.OnReply(start, id+1, failedReply(id+1, o))
			}
		}
	}
	cases := []struct {
		name string
		do   func(m *group.Machine)
		want bool
	}{
		{"all relays refuse", replyFromAll(query.OutcomeShed), false},
		{"all relays are draining", replyFromAll(query.OutcomeDraining), false},
		{"no relay replies", replyFromAll(query.OutcomeUnknown), true},
		{"a refusal of another attempt", func(m *group.Machine) { m.OnReply(start, 2, failedReply(9, query.OutcomeShed)) }, true},
		{"a relay answers", func(m *group.Machine) { m.OnReply(start, 2, partialReply(2, 3)) }, true},
		{"deadline", func(m *group.Machine) { m.OnWake(start.Add(deadline)) }, true},
		{"caller gone", func(*group.Machine) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(0)
			m.Start(start)
			c.do(m)
			require.Equal(t, c.want, m.MayHaveRun())
		})
	}
}
