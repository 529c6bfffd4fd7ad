package replay

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// scriptedPolicy is a policy that returns the recorded choices.
type scriptedPolicy struct {
	choices     []*tracepb.Choice // of the current step
	attempts    []uint64
	lastAttempt uint64
}

// Choose implements scatter.Policy. It refuses calls beyond the recorded ones; they appear as a difference
// of the step's choices.
func (s *scriptedPolicy) Choose(time.Time, scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	if len(s.choices) == 0 {
		return scatter.Grant{}, replica.Final
	}
	c := s.choices[0]
	s.choices = s.choices[1:]
	return scatter.Grant{
		Target: query.TargetID(c.GetTarget()), Class: replica.Class(c.GetClass()),
		HedgeAfter: time.Duration(c.GetHedgeAfter()), ReturnTime: time.Duration(c.GetWayBack()),
	}, replica.Verdict(c.GetVerdict())
}

// Overdue implements scatter.Policy.
func (*scriptedPolicy) Overdue(query.TargetID, time.Time) {}

// End implements scatter.Policy.
func (*scriptedPolicy) End(time.Time, replica.Result) {}

func (s *scriptedPolicy) nextAttempt() query.AttemptID {
	s.lastAttempt++
	if len(s.attempts) > 0 {
		s.lastAttempt, s.attempts = s.attempts[0], s.attempts[1:]
	}
	return query.AttemptID(s.lastAttempt)
}

func (r *replayer) replayQuery(want *tracepb.Query) {
	name := "query " + query.RequestID(want.GetRequest()).String()
	policy := &scriptedPolicy{}
	machine := trace.NewMachine(scatter.Config{
		Request: r.request(want), Map: query.Map{Version: query.Version(want.GetSnapshot()), Shards: shards(want.GetShards())},
		Policy: policy, NextAttempt: policy.nextAttempt,
	}, r.recorder)
	r.got = nil
	for i, step := range want.GetSteps() {
		policy.choices, policy.attempts = step.GetChoices(), step.GetAttempts()
		panicked := catchPanic(func() { r.feedQuery(machine, step) })
		desc := describeEvent(strings.ToLower(strings.TrimPrefix(step.GetEvent().String(), "QUERY_EVENT_")), step.GetAt())
		var got proto.Message = (*tracepb.QueryStep)(nil)
		if panicked == "" {
			got = machine.LastStep()
		}
		if !r.compare(name, i, desc, panicked, step, got) {
			return
		}
	}
	if want.GetAnswer() != nil {
		panicked := catchPanic(func() { machine.Answer() })
		if panicked == "" && r.got == nil {
			panicked = "the answer was not recorded"
		}
		if !r.compare(name, len(want.GetSteps()), "answer", panicked, want.GetAnswer(), r.got.GetQuery().GetAnswer()) {
			return
		}
	}
	r.checkQuery(name, want)
	r.report.Found.Queries = append(r.report.Found.Queries, queryOutcome(want))
}

func (r *replayer) feedQuery(m *trace.Machine, step *tracepb.QueryStep) {
	now := r.advanceTo(step.GetAt())
	switch step.GetEvent() {
	case tracepb.QueryEvent_QUERY_EVENT_START:
		m.Start(now)
	case tracepb.QueryEvent_QUERY_EVENT_REPLY:
		m.OnReply(now, query.AttemptID(step.GetReply().GetSent()), replyOf(step.GetReply()))
	case tracepb.QueryEvent_QUERY_EVENT_WAKE:
		m.OnWake(now)
	case tracepb.QueryEvent_QUERY_EVENT_ABANDON:
		m.Abandon(now)
	}
}

func (r *replayer) request(q *tracepb.Query) query.Request {
	return query.Request{
		ID: query.RequestID(q.GetRequest()), Plan: q.GetPlan(), Index: q.GetIndex(), Limit: int(q.GetLimit()),
		Deadline: r.start.Add(time.Duration(q.GetDeadline())), Priority: query.Priority(q.GetPriority()),
		PreferCoverage: q.GetPreferCoverage(), Cleared: q.GetCleared(),
	}
}

// checkQuery checks the invariants of a query whose replay agrees with the trace: the coverage of the answer
// lists each shard of the map exactly once, and every included shard and hit comes from a reply to this request
// at this snapshot (I1 to I3).
func (r *replayer) checkQuery(name string, q *tracepb.Query) {
	a := q.GetAnswer()
	if a == nil {
		return
	}
	covered := slices.Clone(a.GetIncluded())
	for _, m := range a.GetMissing() {
		covered = append(covered, m.GetShard())
	}
	slices.Sort(covered)
	all := slices.Clone(q.GetShards())
	slices.Sort(all)
	if !slices.Equal(covered, all) {
		r.addViolation("%s: the coverage lists shards %v, the map has %v", name, covered, all)
	}
	if a.GetSnapshot() != q.GetSnapshot() {
		r.addViolation("%s: the answer has snapshot %d, the query has %d", name, a.GetSnapshot(), q.GetSnapshot())
	}
	answered, hits := matchingReplies(q)
	for _, shard := range a.GetIncluded() {
		if !answered[shard] {
			r.addViolation("%s: mixed answer: no reply to the query covers shard %d", name, shard)
		}
	}
	for _, h := range a.GetHits() {
		if !hits[h.GetId()] {
			r.addViolation("%s: mixed answer: no reply to the query contains hit %q", name, h.GetId())
		}
	}
}

// matchingReplies returns the answered shards and the ids of their hits. It ignores replies that are no answers
// and replies whose attempt, request, shard or snapshot is not that of the attempt sent.
func matchingReplies(q *tracepb.Query) (answered map[uint32]bool, hits map[string]bool) {
	answered, hits = map[uint32]bool{}, map[string]bool{}
	shardByAttempt := map[uint64]uint32{}
	for _, step := range q.GetSteps() {
		for _, a := range step.GetActions() {
			if scatter.ActionKind(a.GetKind()) == scatter.Send {
				shardByAttempt[a.GetAttempt()] = a.GetShard()
			}
		}
		reply := step.GetReply()
		shard, sent := shardByAttempt[reply.GetSent()]
		if !sent || query.Outcome(reply.GetOutcome()) != query.OutcomeAnswered || reply.GetAttempt() != reply.GetSent() ||
			reply.GetRequest() != q.GetRequest() || reply.GetSnapshot() != q.GetSnapshot() || reply.GetShard() != shard {
			continue
		}
		answered[shard] = true
		for _, h := range reply.GetHits() {
			hits[h.GetId()] = true
		}
	}
	return answered, hits
}

func replyOf(p *tracepb.Reply) query.Reply {
	r := query.Reply{
		Attempt: query.AttemptID(p.GetAttempt()), Request: query.RequestID(p.GetRequest()), Shard: query.Shard(p.GetShard()),
		Snapshot: query.Version(p.GetSnapshot()), Outcome: query.Outcome(p.GetOutcome()), Cold: p.GetCold(),
	}
	for _, h := range p.GetHits() {
		r.Hits = append(r.Hits, query.Hit{ID: h.GetId(), Score: h.GetScore()})
	}
	return r
}

func shards(numbers []uint32) []query.Shard {
	list := make([]query.Shard, len(numbers))
	for i, n := range numbers {
		list[i] = query.Shard(n)
	}
	return list
}
