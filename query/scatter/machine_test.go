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
	ends    []replica.Result
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

func (p *script) End(_ time.Time, e replica.Result) { p.ends = append(p.ends, e) }

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

// newWide returns a machine over five shards whose policy always grants an attempt.
func newWide(change func(*scatter.Config)) *harness {
	h := &harness{policy: &script{verdict: replica.NoReplica}}
	for range 20 {
		h.policy.next = append(h.policy.next, query.TargetID("t"+string(rune('a'+len(h.policy.next)))))
	}
	h.request = query.Request{ID: 7, Deadline: start.Add(deadline), PreferCoverage: true}
	cfg := scatter.Config{
		Request: h.request, Map: query.Map{Version: 3, Shards: []query.Shard{1, 2, 3, 4, 5}}, Policy: h.policy,
		NextAttempt: func() query.AttemptID { h.last++; return h.last },
	}
	change(&cfg)
	h.Machine = scatter.New(cfg)
	h.take(h.Start(start))
	return h
}

// end reports what became of the n-th attempt.
func (h *harness) end(after time.Duration, n int, o query.Outcome) {
	s := h.sends[n]
	h.take(h.OnReply(start.Add(after), s.Attempt, query.Reply{Attempt: s.Attempt, Request: 7, Shard: s.Shard, Snapshot: 3, Outcome: o}))
}

func (h *harness) finishes() int {
	n := 0
	for _, k := range h.kinds {
		if k == scatter.Finish {
			n++
		}
	}
	return n
}

// Guards against a query that waits for its last shard until it is late although enough shards are in,
// that answers with fewer, or that waits although too many are lost.
func TestEnoughShards(t *testing.T) {
	const answerBy = 60 * time.Millisecond
	enough := func(cfg *scatter.Config) {
		cfg.Enough, cfg.AnswerBy, cfg.MaxAttempts = 4, start.Add(answerBy), 1
	}
	t.Run("at its time", func(t *testing.T) {
		h := newWide(enough)
		for n := range 4 {
			h.end(time.Millisecond, n, query.OutcomeAnswered)
		}
		require.Zero(t, h.finishes())
		for !h.NextWake().After(start.Add(answerBy)) && h.finishes() == 0 {
			h.take(h.OnWake(h.NextWake()))
		}
		require.Equal(t, 1, h.finishes())
		require.Equal(t, 4, h.Covered())
	})
	t.Run("with the part that makes it enough", func(t *testing.T) {
		h := newWide(enough)
		for n := range 3 {
			h.end(time.Millisecond, n, query.OutcomeAnswered)
		}
		h.take(h.OnWake(start.Add(answerBy)))
		require.Zero(t, h.finishes())
		require.True(t, h.NextWake().After(start.Add(answerBy)), "does not wake for the same time again")
		h.end(answerBy+time.Millisecond, 3, query.OutcomeAnswered)
		require.Equal(t, 1, h.finishes())
	})
	t.Run("out of reach", func(t *testing.T) {
		h := newWide(enough)
		h.end(time.Millisecond, 0, query.OutcomeUnknown)
		require.Zero(t, h.finishes())
		h.end(2*time.Millisecond, 1, query.OutcomeUnknown)
		require.Equal(t, 1, h.finishes())
	})
}

// Guards against more attempts at a shard than its route allows; one that was not sent does not count.
func TestMaxAttempts(t *testing.T) {
	h := newWide(func(cfg *scatter.Config) { cfg.MaxAttempts = 2 })
	h.end(time.Millisecond, 0, query.OutcomeNotRun)
	h.end(2*time.Millisecond, 5, query.OutcomeShed)
	h.end(3*time.Millisecond, 6, query.OutcomeUnknown)
	require.Len(t, h.sends, 7)
}

// Guards against a request that runs twice: it is neither hedged nor sent again once it may have run.
func TestOnce(t *testing.T) {
	h := newWide(func(cfg *scatter.Config) { cfg.Once = true })
	h.take(h.OnWake(start.Add(2 * hedgeAfter)))
	require.Len(t, h.sends, 5, "no hedge")
	h.end(25*time.Millisecond, 0, query.OutcomeShed)
	require.Len(t, h.sends, 6, "certainly not run")
	for n, o := range []query.Outcome{query.OutcomeUnknown, query.OutcomeFailed, query.OutcomeAborted, query.OutcomeUnknown} {
		h.end(30*time.Millisecond, n+1, o)
	}
	require.Len(t, h.sends, 6)
}

// Guards against waiting shards that look for a place every millisecond, which took an instance all of
// its processor time while the targets of its routes were gone.
func TestWaitForAPlaceBacksOff(t *testing.T) {
	h := newWide(func(cfg *scatter.Config) {
		cfg.LongestWait = 32 * time.Millisecond
		cfg.Map.Shards = []query.Shard{1}
		cfg.Policy = &script{verdict: replica.Limited}
	})
	looks := 0
	for h.NextWake().Before(start.Add(deadline)) {
		looks++
		h.take(h.OnWake(h.NextWake()))
	}
	require.LessOrEqual(t, looks, 8)
	require.GreaterOrEqual(t, looks, 5)
}

// Guards against a shard that waits out its pause although a place is free, and against a second attempt of
// one that has sent its first.
func TestFreedPlaceEndsTheWait(t *testing.T) {
	policy := &script{verdict: replica.Limited}
	h := newWide(func(cfg *scatter.Config) {
		cfg.LongestWait = 32 * time.Millisecond
		cfg.Map.Shards = []query.Shard{1, 2}
		cfg.Policy = policy
	})
	require.Empty(t, h.sends)
	policy.verdict = replica.Chosen
	at := start.Add(500 * time.Microsecond)
	h.take(h.OnPlace(at, 2))
	require.Len(t, h.sends, 1)
	require.EqualValues(t, 2, h.sends[0].Shard)
	h.take(h.OnPlace(at, 2))
	h.take(h.OnPlace(at, 9))
	require.Len(t, h.sends, 1)
	h.take(h.OnPlace(at, 1))
	require.Len(t, h.sends, 2)
}
