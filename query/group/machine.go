// Package group decides what the upper level of a fan-out over two levels sends: one message for each
// group of targets, to an instance that holds connections to them. It does no I/O, in the manner of
// package scatter.
package group

import (
	"cmp"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

// ActionKind says what the caller has to do.
type ActionKind uint8

const (
	// Send asks for a group to be sent to a relay.
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
	// Relay is the id of an instance.
	Relay  string
	Shards []query.Shard
}

// Part is the share of one group in a query.
type Part struct {
	Shards []query.Shard
	// Relays lists instances that hold the group, the best first. An empty list means that no target
	// serves the shards.
	Relays []string
}

// Reply is what an attempt at a group brought back.
type Reply struct {
	// Attempt is echoed by the relay.
	Attempt query.AttemptID
	Outcome query.Outcome
	// Answer is the partial answer if the outcome is query.OutcomeAnswered.
	Answer query.Answer
}

// Budget bounds the messages that are sent to a second relay although the first may have run them.
type Budget interface {
	// Earn is called for each first message.
	Earn()
	// Take spends what one extra message costs. It returns false if there is too little.
	TryTake() bool
}

// Config holds what a Machine needs besides the query.
type Config struct {
	Request query.Request
	Map     query.Map
	// Parts has each shard of the map in exactly one part.
	Parts []Part
	// HedgeAfter is the silence after which a group is sent to a second relay.
	HedgeAfter time.Duration
	Budget     Budget
	// NextAttempt returns an id that this instance has not used yet.
	NextAttempt func() query.AttemptID
}

type part struct {
	Part
	next     int // position in Relays of the next one to try
	inFlight int
	hedgeAt  time.Time
	hedged   bool // set if a second attempt was sent or refused by the budget
	done     bool
	cause    query.Cause
}

type attempt struct {
	part  *part
	relay string
}

// Machine is the upper level of one query. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	merger   *merge.Merger
	parts    []*part
	open     int // number of parts that are not done
	inFlight map[query.AttemptID]attempt
	finished bool
	ran      bool     // a relay may have sent a part of the query to a target
	actions  []Action // reused by every call
	dropped  map[string]int64
}

// New returns a Machine that has sent nothing yet.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg:      cfg,
		merger:   merge.New(cfg.Request.ID, cfg.Map.Version, cfg.Map.Shards, cfg.Request.Limit),
		inFlight: make(map[query.AttemptID]attempt, len(cfg.Parts)),
		open:     len(cfg.Parts),
		dropped:  map[string]int64{},
	}
	for _, p := range cfg.Parts {
		m.parts = append(m.parts, &part{Part: p})
	}
	return m
}

// Start returns the first attempt of every group. The slice is valid until the next call.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	for _, p := range m.parts {
		if len(p.Relays) == 0 {
			m.giveUp(p, query.CauseNoReplica)
			continue
		}
		m.cfg.Budget.Earn()
		m.send(now, p)
	}
	m.finishIfDone()
	return m.actions
}

// OnReply takes what became of the attempt that was sent under the id.
func (m *Machine) OnReply(now time.Time, sent query.AttemptID, r Reply) []Action {
	m.actions = m.actions[:0]
	a, known := m.inFlight[sent]
	if !known || m.finished {
		m.dropped["reply_late"]++
		return m.actions
	}
	delete(m.inFlight, sent)
	a.part.inFlight--
	m.ran = m.ran || r.Attempt != sent || !r.Outcome.CertainlyNotRun()
	if r.Outcome == query.OutcomeAnswered {
		m.take(a.part, sent, r)
	} else {
		m.onFailure(now, a.part, r.Outcome)
	}
	m.finishIfDone()
	return m.actions
}

func (m *Machine) take(p *part, sent query.AttemptID, r Reply) {
	if r.Attempt != sent {
		m.dropped["reply_mismatched"]++
	} else if v := m.merger.OfferPartial(r.Answer, p.Shards); v != merge.Accepted {
		m.dropped["partial_"+v.String()]++
	} else {
		m.close(p)
		return
	}
	p.cause = query.CauseUnreachable
	m.closeIfIdle(p)
}

// onFailure sends the group again if the relay certainly did not run it, and otherwise only within
// the budget.
func (m *Machine) onFailure(now time.Time, p *part, o query.Outcome) {
	p.cause = causeOf(o)
	if p.next < len(p.Relays) {
		if o.CertainlyNotRun() {
			m.send(now, p)
		} else if p.inFlight == 0 && !p.hedged {
			m.hedge(now, p)
		}
	}
	m.closeIfIdle(p)
}

// hedge sends a second attempt if the budget allows it. A refusal is final for the group.
func (m *Machine) hedge(now time.Time, p *part) {
	p.hedged = true
	if m.cfg.Budget.TryTake() {
		m.send(now, p)
	}
}

// NextWake returns the time at which OnWake has to be called.
func (m *Machine) NextWake() time.Time {
	next := m.cfg.Request.Deadline
	for _, p := range m.parts {
		if p.mayHedge() && p.hedgeAt.Before(next) {
			next = p.hedgeAt
		}
	}
	return next
}

func (p *part) mayHedge() bool {
	return !p.done && !p.hedged && p.inFlight > 0 && p.next < len(p.Relays)
}

// OnWake is to be called at NextWake or later. It hedges silent relays; at the deadline it cancels
// what is in flight.
func (m *Machine) OnWake(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.finished {
		return m.actions
	}
	if !now.Before(m.cfg.Request.Deadline) {
		for _, p := range m.parts {
			if !p.done {
				p.cause = query.CauseTimeout
				m.close(p)
			}
		}
		m.finishIfDone()
		return m.actions
	}
	for _, p := range m.parts {
		if p.mayHedge() && !now.Before(p.hedgeAt) {
			m.hedge(now, p)
		}
	}
	return m.actions
}

// Answer returns the merged answer. It is to be called once, after Finish.
func (m *Machine) Answer() query.Answer {
	causes := map[query.Shard]query.Cause{}
	for _, p := range m.parts {
		for _, s := range p.Shards {
			causes[s] = cmp.Or(p.cause, query.CauseTimeout)
		}
	}
	return m.merger.Finish(m.cfg.Request.Index, func(s query.Shard) query.Cause {
		return cmp.Or(causes[s], query.CauseNoReplica)
	})
}

// MayHaveRun reports whether a target may have run a part of the query. It is to be called after
// Finish. Where it returns false, every relay that was asked certainly sent nothing to a target.
func (m *Machine) MayHaveRun() bool { return m.ran || len(m.inFlight) > 0 }

// Dropped returns how many replies were dropped, by reason.
func (m *Machine) Dropped() map[string]int64 { return m.dropped }

func (m *Machine) send(now time.Time, p *part) {
	id := m.cfg.NextAttempt()
	relay := p.Relays[p.next]
	p.next++
	p.inFlight++
	p.hedgeAt = now.Add(m.cfg.HedgeAfter)
	m.inFlight[id] = attempt{part: p, relay: relay}
	m.actions = append(m.actions, Action{Kind: Send, Attempt: id, Relay: relay, Shards: p.Shards})
}

func (m *Machine) giveUp(p *part, c query.Cause) {
	p.cause = c
	m.close(p)
}

func (m *Machine) closeIfIdle(p *part) {
	if !p.done && p.inFlight == 0 {
		m.close(p)
	}
}

// close ends a group and cancels its attempts in flight.
func (m *Machine) close(p *part) {
	p.done = true
	m.open--
	if p.inFlight == 0 {
		return
	}
	first := len(m.actions)
	for id, a := range m.inFlight {
		if a.part == p {
			m.actions = append(m.actions, Action{Kind: Cancel, Attempt: id, Relay: a.relay})
			delete(m.inFlight, id)
			m.ran = true
		}
	}
	p.inFlight = 0
	slices.SortFunc(m.actions[first:], func(a, b Action) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

func (m *Machine) finishIfDone() {
	if m.finished || m.open > 0 {
		return
	}
	m.finished = true
	m.actions = append(m.actions, Action{Kind: Finish})
}

func causeOf(o query.Outcome) query.Cause {
	switch o {
	case query.OutcomeShed, query.OutcomeDraining:
		return query.CauseShed
	case query.OutcomeAborted:
		return query.CauseTimeout
	}
	return query.CauseUnreachable
}
