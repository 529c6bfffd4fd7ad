// Package scatter decides what one query sends, when, and when it is finished. It does no I/O:
// the caller performs the actions that a Machine returns and reports what came of them.
package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

// ActionKind says what the caller has to do.
type ActionKind uint8

const (
	// Send asks for an attempt to be sent.
	Send ActionKind = iota
	// Cancel asks for an attempt in flight to be cancelled.
	Cancel
	// Finish says that the answer is ready.
	Finish
)

// Action is one step for the caller to perform.
type Action struct {
	Kind    ActionKind
	Attempt query.AttemptID
	Shard   query.Shard
	Target  query.TargetID
}

// Chooser chooses the replica of a shard for an attempt.
type Chooser interface {
	// Choose returns false if no replica may be used now.
	Choose(s query.Shard) (query.TargetID, bool)
}

// Config holds what a Machine needs besides the query.
type Config struct {
	Request query.Request
	Map     query.Map
	Chooser Chooser
	// NextAttempt returns an id that this instance has not used yet.
	NextAttempt func() query.AttemptID
}

type attempt struct {
	shard  query.Shard
	target query.TargetID
}

// Machine is the state of one query at one level. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	merger   *merge.Merger
	inFlight map[query.AttemptID]attempt
	causes   map[query.Shard]query.Cause
	finished bool
	actions  []Action // reused by every call
	dropped  map[string]int64
}

// New returns a Machine that has sent nothing yet.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		merger:   merge.New(cfg.Request.ID, cfg.Map.Version, cfg.Map.Shards, cfg.Request.Limit),
		inFlight: make(map[query.AttemptID]attempt, len(cfg.Map.Shards)),
		causes:   map[query.Shard]query.Cause{},
		dropped:  map[string]int64{},
	}
}

// Start returns the first attempt of every shard. The slice is valid until the next call.
func (m *Machine) Start(_ time.Time) []Action {
	m.actions = m.actions[:0]
	for _, s := range m.cfg.Map.Shards {
		m.send(s)
	}
	m.finishIfDone()
	return m.actions
}

// OnReply takes what became of an attempt. sent is the id that the caller gave the attempt; the
// ids in the reply are what the target claims.
func (m *Machine) OnReply(_ time.Time, sent query.AttemptID, r query.Reply) []Action {
	m.actions = m.actions[:0]
	a, known := m.inFlight[sent]
	if !known || m.finished {
		m.dropped["reply_late"]++
		return m.actions
	}
	delete(m.inFlight, sent)
	if r.Outcome != query.OutcomeAnswered {
		m.causes[a.shard] = causeOf(r.Outcome)
		m.finishIfDone()
		return m.actions
	}
	if r.Attempt != sent || r.Shard != a.shard {
		m.dropped["reply_mismatched"]++
		m.causes[a.shard] = query.CauseUnreachable
	} else if v := m.merger.Offer(r); v != merge.Accepted {
		m.dropped["part_"+v.String()]++
	}
	m.finishIfDone()
	return m.actions
}

// NextWake returns the time at which OnWake has to be called.
func (m *Machine) NextWake() time.Time { return m.cfg.Request.Deadline }

// OnWake is to be called at NextWake or later. At the deadline it cancels what is in flight.
func (m *Machine) OnWake(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.finished || now.Before(m.cfg.Request.Deadline) {
		return m.actions
	}
	for id, a := range m.inFlight {
		m.causes[a.shard] = query.CauseTimeout
		m.actions = append(m.actions, Action{Kind: Cancel, Attempt: id, Shard: a.shard, Target: a.target})
	}
	m.finished = true
	m.actions = append(m.actions, Action{Kind: Finish})
	return m.actions
}

// Answer returns the merged answer. It is to be called once, after Finish.
func (m *Machine) Answer() query.Answer {
	return m.merger.Finish(m.cfg.Request.Index, func(s query.Shard) query.Cause {
		if c, ok := m.causes[s]; ok {
			return c
		}
		return query.CauseTimeout
	})
}

// Dropped returns how many replies were dropped, by reason.
func (m *Machine) Dropped() map[string]int64 { return m.dropped }

func (m *Machine) send(s query.Shard) {
	target, ok := m.cfg.Chooser.Choose(s)
	if !ok {
		m.causes[s] = query.CauseNoReplica
		return
	}
	id := m.cfg.NextAttempt()
	m.inFlight[id] = attempt{shard: s, target: target}
	m.actions = append(m.actions, Action{Kind: Send, Attempt: id, Shard: s, Target: target})
}

func (m *Machine) finishIfDone() {
	if m.finished || len(m.inFlight) > 0 {
		return
	}
	m.finished = true
	m.actions = append(m.actions, Action{Kind: Finish})
}

func causeOf(o query.Outcome) query.Cause {
	switch o {
	case query.OutcomeShed, query.OutcomeDraining:
		return query.CauseShed
	case query.OutcomeSnapshotGone:
		return query.CauseSnapshotGone
	case query.OutcomeCrashed:
		return query.CauseCrashed
	case query.OutcomeAborted:
		return query.CauseTimeout
	}
	return query.CauseUnreachable
}
