package trace

import (
	"maps"
	"slices"
	"time"

	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// Machine is a recorded scatter.Machine. The query is written as one record once it has been answered or abandoned. A
// Machine without a policy is not recorded.
type Machine struct {
	*scatter.Machine
	recorder *Recorder // nil if the query is not recorded or has been written
	query    *tracepb.Query
	step     *tracepb.QueryStep // record of the current call, nil between calls
	last     *tracepb.QueryStep // record of the latest call that has returned
}

// NewMachine returns a machine that records its calls to r.
func NewMachine(cfg scatter.Config, r *Recorder) *Machine {
	m := &Machine{}
	if r != nil && cfg.Policy != nil {
		m.recorder = r
		m.query = queryOf(r, cfg)
		cfg.Policy = &recordingPolicy{Policy: cfg.Policy, machine: m}
		next := cfg.NextAttempt
		cfg.NextAttempt = func() query.AttemptID {
			id := next()
			if m.step != nil {
				m.step.Attempts = append(m.step.Attempts, uint64(id))
			}
			return id
		}
	}
	m.Machine = scatter.New(cfg)
	return m
}

func queryOf(r *Recorder, cfg scatter.Config) *tracepb.Query {
	req := cfg.Request
	return &tracepb.Query{
		Request: uint64(req.ID), Plan: req.Plan, Index: req.Index, Limit: uint32(req.Limit),
		Deadline: r.offset(req.Deadline), Priority: uint32(req.Priority), PreferCoverage: req.PreferCoverage, Cleared: req.Cleared,
		Snapshot: uint64(cfg.Map.Version), Shards: shardNumbers(cfg.Map.Shards),
	}
}

// Start calls scatter.Machine.Start and records the call.
func (m *Machine) Start(now time.Time) []scatter.Action {
	m.beginStep(now, tracepb.QueryEvent_QUERY_EVENT_START)
	return m.endStep(m.Machine.Start(now))
}

// OnReply calls scatter.Machine.OnReply and records the call.
func (m *Machine) OnReply(now time.Time, sent query.AttemptID, r query.Reply) []scatter.Action {
	m.beginStep(now, tracepb.QueryEvent_QUERY_EVENT_REPLY)
	if m.step != nil {
		m.step.Reply = replyOf(sent, r)
	}
	return m.endStep(m.Machine.OnReply(now, sent, r))
}

// OnWake calls scatter.Machine.OnWake and records the call.
func (m *Machine) OnWake(now time.Time) []scatter.Action {
	m.beginStep(now, tracepb.QueryEvent_QUERY_EVENT_WAKE)
	return m.endStep(m.Machine.OnWake(now))
}

// Abandon calls scatter.Machine.Abandon, records the call and writes the record of the query.
func (m *Machine) Abandon(now time.Time) []scatter.Action {
	m.beginStep(now, tracepb.QueryEvent_QUERY_EVENT_ABANDON)
	actions := m.endStep(m.Machine.Abandon(now))
	m.writeQuery()
	return actions
}

// Answer calls scatter.Machine.Answer and writes the record of the query.
func (m *Machine) Answer() query.Answer {
	a := m.Machine.Answer()
	if m.recorder != nil {
		m.query.Answer = answerOf(a, m.Dropped())
		m.writeQuery()
	}
	return a
}

// LastStep returns the record of the latest call, or nil if there is none.
func (m *Machine) LastStep() *tracepb.QueryStep { return m.last }

func (m *Machine) beginStep(now time.Time, event tracepb.QueryEvent) {
	if m.recorder != nil {
		m.step = &tracepb.QueryStep{At: m.recorder.offset(now), Event: event}
	}
}

func (m *Machine) endStep(actions []scatter.Action) []scatter.Action {
	if m.step == nil {
		return actions
	}
	for _, a := range actions {
		m.step.Actions = append(m.step.Actions, &tracepb.Action{
			Kind: uint32(a.Kind), Attempt: uint64(a.Attempt), Shard: uint32(a.Shard), Target: string(a.Target),
			TimeLeft: int64(a.TimeLeft),
		})
	}
	m.step.NextWake = m.recorder.offset(m.NextWake())
	m.query.Steps = append(m.query.Steps, m.step)
	m.last, m.step = m.step, nil
	return actions
}

// writeQuery writes the record of the query. Later calls are not recorded.
func (m *Machine) writeQuery() {
	if m.recorder == nil {
		return
	}
	m.recorder.write(&tracepb.Record{Record: &tracepb.Record_Query{Query: m.query}})
	m.recorder, m.query = nil, nil
}

// recordingPolicy records the calls of Choose by a machine and their results.
type recordingPolicy struct {
	scatter.Policy
	machine *Machine
}

func (p *recordingPolicy) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	g, v := p.Policy.Choose(now, spec)
	if p.machine.step == nil {
		return g, v
	}
	choice := &tracepb.Choice{
		Shard: uint32(spec.Shard), Use: uint32(spec.Kind), Free: spec.BudgetExempt, From: uint32(spec.OriginClass), TimeLeft: int64(spec.TimeLeft),
		Verdict: uint32(v), Target: string(g.Target), Class: uint32(g.Class), HedgeAfter: int64(g.HedgeAfter),
		WayBack: int64(g.ReturnTime),
	}
	for _, t := range spec.Tried {
		choice.Tried = append(choice.Tried, string(t))
	}
	p.machine.step.Choices = append(p.machine.step.Choices, choice)
	return g, v
}

func replyOf(sent query.AttemptID, r query.Reply) *tracepb.Reply {
	return &tracepb.Reply{
		Sent: uint64(sent), Attempt: uint64(r.Attempt), Request: uint64(r.Request), Shard: uint32(r.Shard),
		Snapshot: uint64(r.Snapshot), Outcome: uint32(r.Outcome), Cold: r.Cold, Hits: hitsOf(r.Hits),
	}
}

func answerOf(a query.Answer, dropped map[string]int64) *tracepb.Answer {
	recorded := &tracepb.Answer{
		Snapshot: uint64(a.Snapshot), Included: shardNumbers(a.Coverage.Included), Hits: hitsOf(a.Hits),
	}
	for _, m := range a.Coverage.Missing {
		recorded.Missing = append(recorded.Missing, &tracepb.Missing{Shard: uint32(m.Shard), Cause: string(m.Cause)})
	}
	for _, reason := range slices.Sorted(maps.Keys(dropped)) {
		recorded.Dropped = append(recorded.Dropped, &tracepb.Dropped{Reason: reason, Replies: dropped[reason]})
	}
	return recorded
}

func hitsOf(hits []query.Hit) []*tracepb.Hit {
	var recorded []*tracepb.Hit
	for _, h := range hits {
		recorded = append(recorded, &tracepb.Hit{Id: h.ID, Score: h.Score})
	}
	return recorded
}

func shardNumbers(shards []query.Shard) []uint32 {
	recorded := make([]uint32, len(shards))
	for i, s := range shards {
		recorded[i] = uint32(s)
	}
	return recorded
}
