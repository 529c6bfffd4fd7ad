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
	returnTime = 4 * time.Millisecond
)

var start = time.Unix(1000, 0)

// scriptedPolicy grants the remaining targets in order and then refuses with a fixed verdict.
type scriptedPolicy struct {
	remaining []query.TargetID
	verdict   replica.Verdict // once no target remains
	specs     []scatter.AttemptSpec
	ends      []replica.Result
	chosen    int
}

func (p *scriptedPolicy) Choose(_ time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	spec.Tried = append([]query.TargetID(nil), spec.Tried...)
	p.specs = append(p.specs, spec)
	if len(p.remaining) == 0 {
		return scatter.Grant{}, p.verdict
	}
	target := p.remaining[0]
	p.remaining = p.remaining[1:]
	p.chosen++
	return scatter.Grant{Target: target, HedgeAfter: hedgeAfter, ReturnTime: returnTime}, replica.Chosen
}

func (p *scriptedPolicy) Overdue(query.TargetID, time.Time) {}

func (p *scriptedPolicy) End(_ time.Time, r replica.Result) { p.ends = append(p.ends, r) }

// harness drives a machine and records its actions.
type harness struct {
	*scatter.Machine
	policy  *scriptedPolicy
	request query.Request
	last    query.AttemptID
	kinds   []scatter.ActionKind
	sends   []scatter.Action
}

func newHarness(coverage bool, verdict replica.Verdict, targets ...query.TargetID) *harness {
	h := &harness{policy: &scriptedPolicy{remaining: targets, verdict: verdict}}
	h.request = query.Request{
		ID: 7, Plan: "p", Index: "x", Limit: 10, Deadline: start.Add(deadline), PreferCoverage: coverage,
	}
	h.Machine = scatter.New(scatter.Config{
		Request: h.request, Map: query.Map{Version: 3, Shards: []query.Shard{5}}, Policy: h.policy,
		NextAttempt: func() query.AttemptID { h.last++; return h.last },
	})
	h.record(h.Start(start))
	return h
}

func (h *harness) record(actions []scatter.Action) {
	for _, a := range actions {
		h.kinds = append(h.kinds, a.Kind)
		if a.Kind == scatter.Send {
			h.sends = append(h.sends, a)
		}
	}
}

func (h *harness) reply(after time.Duration, attempt query.AttemptID, o query.Outcome) {
	h.record(h.OnReply(start.Add(after), attempt, query.Reply{
		Attempt: attempt, Request: 7, Shard: 5, Snapshot: 3, Outcome: o, Hits: []query.Hit{{ID: "h"}},
	}))
}

func (h *harness) wake(after time.Duration) { h.record(h.OnWake(start.Add(after))) }

const (
	send   = scatter.Send
	cancel = scatter.Cancel
	finish = scatter.Finish
)

// Guards against missing retries and hedges, against retries that are not due, and against attempts that are
// not cancelled after another one of the shard was answered.
func TestFaultCases(t *testing.T) {
	type step func(h *harness)
	reply := func(after time.Duration, id query.AttemptID, o query.Outcome) step {
		return func(h *harness) { h.reply(after*time.Millisecond, id, o) }
	}
	wake := func(after time.Duration) step { return func(h *harness) { h.wake(after * time.Millisecond) } }
	const answered, shed, draining, unknown = query.OutcomeAnswered, query.OutcomeShed, query.OutcomeDraining, query.OutcomeUnknown
	cases := []struct {
		name         string
		coverage     bool
		verdict      replica.Verdict
		targets      []query.TargetID
		steps        []step
		want         []scatter.ActionKind
		missing      query.Cause // "" if covered
		budgetExempt []bool      // of each AttemptSpec after the first
	}{
		{"answered", false, replica.NoReplica, targets("a"), []step{reply(5, 1, answered)}, kinds(send, finish), "", nil},
		{"hedge wins", false, replica.NoReplica, targets("a", "b"), []step{wake(10), reply(15, 2, answered)}, kinds(send, send, cancel, finish), "", []bool{false}},
		{"first wins", false, replica.NoReplica, targets("a", "b"), []step{wake(10), reply(15, 1, answered)}, kinds(send, send, cancel, finish), "", []bool{false}},
		{"shed is retried without a token", false, replica.NoReplica, targets("a", "b"), []step{reply(5, 1, shed), reply(9, 2, answered)}, kinds(send, send, finish), "", []bool{true}},
		{"draining is retried without a token", false, replica.NoReplica, targets("a", "b"), []step{reply(5, 1, draining), reply(9, 2, answered)}, kinds(send, send, finish), "", []bool{true}},
		{"retry after unknown needs a token", false, replica.NoReplica, targets("a", "b"), []step{reply(5, 1, unknown), reply(9, 2, answered)}, kinds(send, send, finish), "", []bool{false}},
		{"tail plan without another replica", false, replica.NoReplica, targets("a"), []step{reply(5, 1, unknown)}, kinds(send, finish), query.CauseUnreachable, []bool{false}},
		{"tail plan without token", false, replica.NoToken, targets("a"), []step{reply(5, 1, unknown)}, kinds(send, finish), query.CauseUnreachable, []bool{false}},
		{"no replica", false, replica.NoReplica, nil, nil, kinds(finish), query.CauseNoReplica, nil},
		{"coverage plan waits", true, replica.NoToken, targets("a"), []step{reply(5, 1, unknown), wake(50), wake(100)}, kinds(send, finish), query.CauseUnreachable, []bool{false, false}},
		{"snapshot gone everywhere", true, replica.NoReplica, targets("a"), []step{reply(5, 1, query.OutcomeSnapshotGone)}, kinds(send, finish), query.CauseSnapshotGone, []bool{true}},
		{"no replica serves the shard", true, replica.NoReplica, targets("a"), []step{reply(5, 1, query.OutcomeWrongShard)}, kinds(send, finish), query.CauseUnreachable, []bool{true}},
		{"rounds after shedding", true, replica.NoReplica, targets("a"), []step{reply(5, 1, shed), wake(7), wake(11), wake(19), wake(100)}, kinds(send, finish), query.CauseShed, []bool{true, true, true, true}},
		{"no reply until the deadline", false, replica.NoToken, targets("a"), []step{wake(10), wake(100)}, kinds(send, cancel, finish), query.CauseTimeout, []bool{false}},
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
			for i, budgetExempt := range c.budgetExempt {
				require.Equal(t, budgetExempt, h.policy.specs[i+1].BudgetExempt, "attempt spec %d", i+1)
			}
		})
	}
}

func targets(ids ...query.TargetID) []query.TargetID     { return ids }
func kinds(k ...scatter.ActionKind) []scatter.ActionKind { return k }

// Guards against a reply to another attempt, part or refusal, that counts for this attempt.
func TestMismatchedReplyCountsAsUnknown(t *testing.T) {
	matching := query.Reply{Attempt: 1, Request: 7, Shard: 5, Snapshot: 3, Hits: []query.Hit{{ID: "other"}}}
	for name, mutate := range map[string]func(*query.Reply){
		"attempt":  func(r *query.Reply) { r.Attempt = 2 },
		"request":  func(r *query.Reply) { r.Request = 8 },
		"shard":    func(r *query.Reply) { r.Shard = 6 },
		"snapshot": func(r *query.Reply) { r.Snapshot = 4 },
	} {
		for _, o := range []query.Outcome{query.OutcomeAnswered, query.OutcomeShed, query.OutcomeDraining} {
			t.Run(name+" "+o.String(), func(t *testing.T) {
				h := newHarness(false, replica.NoReplica, "a", "b")
				r := matching
				r.Outcome = o
				mutate(&r)
				h.record(h.OnReply(start, 1, r))
				require.EqualValues(t, 1, h.Dropped()["reply_mismatched"])
				require.Equal(t, query.OutcomeUnknown, h.policy.ends[0].Outcome)
				require.False(t, h.policy.specs[1].BudgetExempt)
				h.reply(time.Millisecond, 2, query.OutcomeAnswered)
				require.Equal(t, []query.Hit{{ID: "h"}}, h.Answer().Hits)
			})
		}
	}
}

// Guards against targets that run an attempt for so long that the answer cannot return before the deadline.
func TestTimeLeftExcludesReturnTime(t *testing.T) {
	h := newHarness(false, replica.NoReplica, "a", "b")
	h.wake(hedgeAfter)
	require.Equal(t, deadline-returnTime, h.sends[0].TimeLeft)
	require.Equal(t, deadline-returnTime-hedgeAfter, h.sends[1].TimeLeft)
}

// Guards against attempts that stay counted as in flight after the query was abandoned.
func TestAbandonEndsAttempts(t *testing.T) {
	h := newHarness(false, replica.NoReplica, "a", "b")
	h.wake(hedgeAfter)
	h.record(h.Abandon(start.Add(hedgeAfter)))
	require.Equal(t, kinds(send, send, cancel, cancel), h.kinds)
	require.Len(t, h.policy.ends, 2)
	h.reply(20*time.Millisecond, 1, query.OutcomeAnswered)
	require.Empty(t, h.Abandon(start.Add(deadline)))
}

// newMultiShardHarness returns a harness with five shards and a policy that grants the first 20 attempts.
func newMultiShardHarness(configure func(*scatter.Config)) *harness {
	h := &harness{policy: &scriptedPolicy{verdict: replica.NoReplica}}
	for range 20 {
		h.policy.remaining = append(h.policy.remaining, query.TargetID("t"+string(rune('a'+len(h.policy.remaining)))))
	}
	h.request = query.Request{ID: 7, Deadline: start.Add(deadline), PreferCoverage: true}
	cfg := scatter.Config{
		Request: h.request, Map: query.Map{Version: 3, Shards: []query.Shard{1, 2, 3, 4, 5}}, Policy: h.policy,
		NextAttempt: func() query.AttemptID { h.last++; return h.last },
	}
	configure(&cfg)
	h.Machine = scatter.New(cfg)
	h.record(h.Start(start))
	return h
}

// endAttempt reports the outcome of the attempt with index n.
func (h *harness) endAttempt(after time.Duration, n int, o query.Outcome) {
	s := h.sends[n]
	h.record(h.OnReply(start.Add(after), s.Attempt, query.Reply{Attempt: s.Attempt, Request: 7, Shard: s.Shard, Snapshot: 3, Outcome: o}))
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

// Guards against a query that waits for its last shards after AnswerBy although MinShards are covered, that
// answers with fewer, or that waits although too many shards have failed.
func TestMinShards(t *testing.T) {
	const answerBy = 60 * time.Millisecond
	fourOfFive := func(cfg *scatter.Config) {
		cfg.MinShards, cfg.AnswerBy, cfg.MaxAttempts = 4, start.Add(answerBy), 1
	}
	t.Run("at AnswerBy", func(t *testing.T) {
		h := newMultiShardHarness(fourOfFive)
		for n := range 4 {
			h.endAttempt(time.Millisecond, n, query.OutcomeAnswered)
		}
		require.Zero(t, h.finishes())
		for !h.NextWake().After(start.Add(answerBy)) && h.finishes() == 0 {
			h.record(h.OnWake(h.NextWake()))
		}
		require.Equal(t, 1, h.finishes())
		require.Equal(t, 4, h.Covered())
	})
	t.Run("when the last required part arrives", func(t *testing.T) {
		h := newMultiShardHarness(fourOfFive)
		for n := range 3 {
			h.endAttempt(time.Millisecond, n, query.OutcomeAnswered)
		}
		h.record(h.OnWake(start.Add(answerBy)))
		require.Zero(t, h.finishes())
		require.True(t, h.NextWake().After(start.Add(answerBy)), "no second wake for AnswerBy")
		h.endAttempt(answerBy+time.Millisecond, 3, query.OutcomeAnswered)
		require.Equal(t, 1, h.finishes())
	})
	t.Run("too many failed shards", func(t *testing.T) {
		h := newMultiShardHarness(fourOfFive)
		h.endAttempt(time.Millisecond, 0, query.OutcomeUnknown)
		require.Zero(t, h.finishes())
		h.endAttempt(2*time.Millisecond, 1, query.OutcomeUnknown)
		require.Equal(t, 1, h.finishes())
	})
}

// Guards against more attempts for a shard than MaxAttempts. An attempt that did not reach its target does not
// count.
func TestMaxAttempts(t *testing.T) {
	h := newMultiShardHarness(func(cfg *scatter.Config) { cfg.MaxAttempts = 2 })
	h.endAttempt(time.Millisecond, 0, query.OutcomeNotRun)
	h.endAttempt(2*time.Millisecond, 5, query.OutcomeShed)
	h.endAttempt(3*time.Millisecond, 6, query.OutcomeUnknown)
	require.Len(t, h.sends, 7)
}

// Guards against a request that runs twice: it must not be hedged, nor retried once it may have run.
func TestAtMostOnce(t *testing.T) {
	h := newMultiShardHarness(func(cfg *scatter.Config) { cfg.AtMostOnce = true })
	h.record(h.OnWake(start.Add(2 * hedgeAfter)))
	require.Len(t, h.sends, 5, "no hedge")
	h.endAttempt(25*time.Millisecond, 0, query.OutcomeShed)
	require.Len(t, h.sends, 6, "certainly not run")
	for n, o := range []query.Outcome{query.OutcomeUnknown, query.OutcomeFailed, query.OutcomeAborted, query.OutcomeUnknown} {
		h.endAttempt(30*time.Millisecond, n+1, o)
	}
	require.Len(t, h.sends, 6)
}

// Guards against shards that look for a replica below its limit every millisecond. That used all processor
// time of an instance while the targets of its routes were gone.
func TestLimitedShardBacksOff(t *testing.T) {
	h := newMultiShardHarness(func(cfg *scatter.Config) {
		cfg.MaxLimitBackoff = 32 * time.Millisecond
		cfg.Map.Shards = []query.Shard{1}
		cfg.Policy = &scriptedPolicy{verdict: replica.Limited}
	})
	wakes := 0
	for h.NextWake().Before(start.Add(deadline)) {
		wakes++
		h.record(h.OnWake(h.NextWake()))
	}
	require.LessOrEqual(t, wakes, 8)
	require.GreaterOrEqual(t, wakes, 5)
}

// Guards against a shard that waits for its backoff to end although a replica has capacity, and against a
// second attempt of a shard that has already sent its first.
func TestFreedCapacityEndsBackoff(t *testing.T) {
	policy := &scriptedPolicy{verdict: replica.Limited}
	h := newMultiShardHarness(func(cfg *scatter.Config) {
		cfg.MaxLimitBackoff = 32 * time.Millisecond
		cfg.Map.Shards = []query.Shard{1, 2}
		cfg.Policy = policy
	})
	require.Empty(t, h.sends)
	policy.verdict = replica.Chosen
	at := start.Add(500 * time.Microsecond)
	h.record(h.OnCapacity(at, 2))
	require.Len(t, h.sends, 1)
	require.EqualValues(t, 2, h.sends[0].Shard)
	h.record(h.OnCapacity(at, 2))
	h.record(h.OnCapacity(at, 9))
	require.Len(t, h.sends, 1)
	h.record(h.OnCapacity(at, 1))
	require.Len(t, h.sends, 2)
}
