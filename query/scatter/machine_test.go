package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

const (
	deadline   = 100 * time.Millisecond
	hedgeAfter = 10 * time.Millisecond
	wayBack    = 4 * time.Millisecond
)

var start = time.Unix(1000, 0)

// script is a policy that hands out targets in order and refuses with the verdict that a case sets.
type script struct {
	next    []query.TargetID
	verdict replica.Verdict // once next is used up
	asked   []scatter.Want
	ends    []replica.End
	chosen  int
}

func (p *script) Choose(_ time.Time, w scatter.Want) (scatter.Grant, replica.Verdict) {
	w.Tried = append([]query.TargetID(nil), w.Tried...)
	p.asked = append(p.asked, w)
	if len(p.next) == 0 {
		return scatter.Grant{}, p.verdict
	}
	target := p.next[0]
	p.next = p.next[1:]
	p.chosen++
	return scatter.Grant{Target: target, HedgeAfter: hedgeAfter, Return: wayBack}, replica.Chosen
}

func (p *script) Overdue(query.TargetID, time.Time) {}

func (p *script) End(_ time.Time, e replica.End) { p.ends = append(p.ends, e) }

// harness drives one machine with one shard and keeps the actions.
type harness struct {
	*scatter.Machine
	policy  *script
	request query.Request
	last    query.AttemptID
	kinds   []scatter.ActionKind
	sends   []scatter.Action
}

func newHarness(coverage bool, verdict replica.Verdict, targets ...query.TargetID) *harness {
	h := &harness{policy: &script{next: targets, verdict: verdict}}
	h.request = query.Request{
		ID: 7, Plan: "p", Index: "x", Limit: 10, Deadline: start.Add(deadline), PreferCoverage: coverage,
	}
	h.Machine = scatter.New(scatter.Config{
		Request: h.request, Map: query.Map{Version: 3, Shards: []query.Shard{5}}, Policy: h.policy,
		NextAttempt: func() query.AttemptID { h.last++; return h.last },
	})
	h.take(h.Start(start))
	return h
}

func (h *harness) take(actions []scatter.Action) {
	for _, a := range actions {
		h.kinds = append(h.kinds, a.Kind)
		if a.Kind == scatter.Send {
			h.sends = append(h.sends, a)
		}
	}
}

func (h *harness) reply(after time.Duration, attempt query.AttemptID, o query.Outcome) {
	h.take(h.OnReply(start.Add(after), attempt, query.Reply{
		Attempt: attempt, Request: 7, Shard: 5, Snapshot: 3, Outcome: o, Hits: []query.Hit{{ID: "h"}},
	}))
}

func (h *harness) wake(after time.Duration) { h.take(h.OnWake(start.Add(after))) }

const (
	send   = scatter.Send
	cancel = scatter.Cancel
	finish = scatter.Finish
)

// Guards against lost retries and hedges, against retries that nobody asked for, and against losers
// that are not cancelled.
func TestFaultCases(t *testing.T) {
	type step func(h *harness)
	reply := func(after time.Duration, id query.AttemptID, o query.Outcome) step {
		return func(h *harness) { h.reply(after*time.Millisecond, id, o) }
	}
	wake := func(after time.Duration) step { return func(h *harness) { h.wake(after * time.Millisecond) } }
	const answered, shed, draining, unknown = query.OutcomeAnswered, query.OutcomeShed, query.OutcomeDraining, query.OutcomeUnknown
	cases := []struct {
		name     string
		coverage bool
		verdict  replica.Verdict
		targets  []query.TargetID
		steps    []step
		want     []scatter.ActionKind
		missing  query.Cause // "" if covered
		free     []bool      // of the requests after the first attempt
	}{
		{"answered", false, replica.NoReplica, targets("a"), []step{reply(5, 1, answered)}, kinds(send, finish), "", nil},
		{"hedge wins", false, replica.NoReplica, targets("a", "b"), []step{wake(10), reply(15, 2, answered)}, kinds(send, send, cancel, finish), "", []bool{false}},
		{"first wins", false, replica.NoReplica, targets("a", "b"), []step{wake(10), reply(15, 1, answered)}, kinds(send, send, cancel, finish), "", []bool{false}},
		{"shed is retried free", false, replica.NoReplica, targets("a", "b"), []step{reply(5, 1, shed), reply(9, 2, answered)}, kinds(send, send, finish), "", []bool{true}},
		{"draining is retried free", false, replica.NoReplica, targets("a", "b"), []step{reply(5, 1, draining), reply(9, 2, answered)}, kinds(send, send, finish), "", []bool{true}},
		{"unknown costs a token", false, replica.NoReplica, targets("a", "b"), []step{reply(5, 1, unknown), reply(9, 2, answered)}, kinds(send, send, finish), "", []bool{false}},
		{"tail plan answers short", false, replica.NoReplica, targets("a"), []step{reply(5, 1, unknown)}, kinds(send, finish), query.CauseUnreachable, []bool{false}},
		{"tail plan without token", false, replica.NoToken, targets("a"), []step{reply(5, 1, unknown)}, kinds(send, finish), query.CauseUnreachable, []bool{false}},
		{"no replica", false, replica.NoReplica, nil, nil, kinds(finish), query.CauseNoReplica, nil},
		{"coverage plan waits", true, replica.NoToken, targets("a"), []step{reply(5, 1, unknown), wake(50), wake(100)}, kinds(send, finish), query.CauseUnreachable, []bool{false, false}},
		{"snapshot gone everywhere", true, replica.NoReplica, targets("a"), []step{reply(5, 1, query.OutcomeSnapshotGone)}, kinds(send, finish), query.CauseSnapshotGone, []bool{true}},
		{"no replica serves the shard", true, replica.NoReplica, targets("a"), []step{reply(5, 1, query.OutcomeWrongShard)}, kinds(send, finish), query.CauseUnreachable, []bool{true}},
		{"rounds after shedding", true, replica.NoReplica, targets("a"), []step{reply(5, 1, shed), wake(7), wake(11), wake(19), wake(100)}, kinds(send, finish), query.CauseShed, []bool{true, true, true, true}},
		{"silence until the deadline", false, replica.NoToken, targets("a"), []step{wake(10), wake(100)}, kinds(send, cancel, finish), query.CauseTimeout, []bool{false}},
		{"hedge refused", false, replica.NoReplica, targets("a", "b", "c"), []step{wake(10), reply(12, 2, shed), reply(15, 1, answered)}, kinds(send, send, send, cancel, finish), "", []bool{false, true}},
		{"first fails, hedge answers", false, replica.NoReplica, targets("a", "b"), []step{wake(10), reply(12, 1, unknown), reply(15, 2, answered)}, kinds(send, send, finish), "", []bool{false}},
		{"late answer", false, replica.NoReplica, targets("a"), []step{wake(100), reply(110, 1, answered)}, kinds(send, cancel, finish), query.CauseTimeout, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(c.coverage, c.verdict, c.targets...)
			for _, s := range c.steps {
				s(h)
			}
			require.Equal(t, c.want, h.kinds)
			require.Len(t, h.policy.ends, h.policy.chosen, "each attempt ends once")
			got := h.Answer().Coverage
			if c.missing == "" {
				require.True(t, got.Complete())
			} else {
				require.Equal(t, []query.MissingShard{{Shard: 5, Cause: c.missing}}, got.Missing)
			}
			for i, free := range c.free {
				require.Equal(t, free, h.policy.asked[i+1].Free, "request %d", i+1)
			}
		})
	}
}

func targets(ids ...query.TargetID) []query.TargetID     { return ids }
func kinds(k ...scatter.ActionKind) []scatter.ActionKind { return k }

// Guards against a part, or a refusal, of another attempt that is taken for this one's.
func TestMismatchedReplyProvesNothing(t *testing.T) {
	right := query.Reply{Attempt: 1, Request: 7, Shard: 5, Snapshot: 3, Hits: []query.Hit{{ID: "other"}}}
	for name, change := range map[string]func(*query.Reply){
		"attempt":  func(r *query.Reply) { r.Attempt = 2 },
		"request":  func(r *query.Reply) { r.Request = 8 },
		"shard":    func(r *query.Reply) { r.Shard = 6 },
		"snapshot": func(r *query.Reply) { r.Snapshot = 4 },
	} {
		for _, o := range []query.Outcome{query.OutcomeAnswered, query.OutcomeShed, query.OutcomeDraining} {
			t.Run(name+" "+o.String(), func(t *testing.T) {
				h := newHarness(false, replica.NoReplica, "a", "b")
				r := right
				r.Outcome = o
				change(&r)
				h.take(h.OnReply(start, 1, r))
				require.EqualValues(t, 1, h.Dropped()["reply_mismatched"])
				require.Equal(t, query.OutcomeUnknown, h.policy.ends[0].Outcome)
				require.False(t, h.policy.asked[1].Free)
				h.reply(time.Millisecond, 2, query.OutcomeAnswered)
				require.Equal(t, []query.Hit{{ID: "h"}}, h.Answer().Hits)
			})
		}
	}
}

// Guards against targets that compute until an answer cannot be back in time.
func TestTimeLeftLeavesRoomForTheWayBack(t *testing.T) {
	h := newHarness(false, replica.NoReplica, "a", "b")
	h.wake(hedgeAfter)
	require.Equal(t, deadline-wayBack, h.sends[0].TimeLeft)
	require.Equal(t, deadline-wayBack-hedgeAfter, h.sends[1].TimeLeft)
}

// Guards against attempts that stay counted as in flight after a query was given up.
func TestAbandonEndsAttempts(t *testing.T) {
	h := newHarness(false, replica.NoReplica, "a", "b")
	h.wake(hedgeAfter)
	h.take(h.Abandon(start.Add(hedgeAfter)))
	require.Equal(t, kinds(send, send, cancel, cancel), h.kinds)
	require.Len(t, h.policy.ends, 2)
	h.reply(20*time.Millisecond, 1, query.OutcomeAnswered)
	require.Empty(t, h.Abandon(start.Add(deadline)))
}
