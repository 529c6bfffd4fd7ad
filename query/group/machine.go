// Package group decides what the upper level of a two-level fan-out sends: one message for each group of
// targets, to an instance that has connections to them. Like package scatter, it does no I/O.
package group

import (
	"cmp"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send asks the caller to send a group to a relay.
	Send ActionKind = iota
	// Cancel asks the caller to cancel an attempt in flight.
	Cancel
	// Finish reports that the answer is ready.
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

// Part is the part of a query that goes to one group.
type Part struct {
	Shards []query.Shard
	// Relays lists instances with connections to the group in order of preference. An empty list means that
	// no target serves the shards.
	Relays []string
}

// Reply is the result of an attempt at a group.
type Reply struct {
	// Attempt is echoed by the relay.
	Attempt query.AttemptID
	Outcome query.Outcome
	// Answer is the partial answer if the outcome is query.OutcomeAnswered.
	Answer query.Answer
}

// Budget bounds the messages that are sent to another relay although the first one may have run them.
type Budget interface {
	// Earn is called for each first message.
	Earn()
	// TryTake takes the cost of one extra message. It returns false if the budget is too low.
	TryTake() bool
}

// Config holds the query and the dependencies of a Machine.
type Config struct {
	Request query.Request
	Map     query.Map
	// Parts has each shard of the map in exactly one part.
	Parts []Part
	// HedgeAfter is the time without a reply after which a group is sent to a second relay.
	HedgeAfter time.Duration
	Budget     Budget
	// NextAttempt returns an unused id of this instance.
	NextAttempt func() query.AttemptID
}

type part struct {
	Part
	nextRelay  int // index in Relays of the next one to try
	inFlight   int
	hedgeAt    time.Time
	hedgeTried bool // a hedge was sent, or refused by the budget
	done       bool
	cause      query.Cause
}

type attempt struct {
	part  *part
	relay string
}

// Machine is the upper level of one query. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	merger     *merge.Merger
	parts      []*part
	openParts  int // number of parts that are not done
	inFlight   map[query.AttemptID]attempt
	finished   bool
	mayHaveRun bool     // a relay may have sent a part of the query to a target
	actions    []Action // reused by every call
	dropped    map[string]int64
}

// New returns a Machine that has sent nothing yet.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg:       cfg,
		merger:    merge.New(cfg.Request.ID, cfg.Map.Version, cfg.Map.Shards, cfg.Request.Limit),
		inFlight:  make(map[query.AttemptID]attempt, len(cfg.Parts)),
		openParts: len(cfg.Parts),
		dropped:   map[string]int64{},
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

// OnReply handles the result of the attempt that was sent with the id sent.
func (m *Machine) OnReply(now time.Time, sent query.AttemptID, r Reply) []Action {
	m.actions = m.actions[:0]
	a, ok := m.inFlight[sent]
	if !ok || m.finished {
		m.dropped["reply_late"]++
		return m.actions
	}
	delete(m.inFlight, sent)
	a.part.inFlight--
	m.mayHaveRun = m.mayHaveRun || r.Attempt != sent || !r.Outcome.CertainlyNotRun()
	if r.Outcome == query.OutcomeAnswered {
		m.onAnswer(a.part, sent, r)
	} else {
		m.onFailure(now, a.part, r.Outcome)
	}
	m.finishIfDone()
	return m.actions
}

func (m *Machine) onAnswer(p *part, sent query.AttemptID, r Reply) {
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

// onFailure sends the group to the next relay if this one certainly did not run it, and otherwise only within
// the budget.
func (m *Machine) onFailure(now time.Time, p *part, o query.Outcome) {
	p.cause = causeOf(o)
	if p.nextRelay < len(p.Relays) {
		if o.CertainlyNotRun() {
			m.send(now, p)
		} else if p.inFlight == 0 && !p.hedgeTried {
			m.hedge(now, p)
		}
	}
	m.closeIfIdle(p)
}

// hedge sends a second attempt if the budget allows it. A group that the budget refused is not hedged later.
func (m *Machine) hedge(now time.Time, p *part) {
	p.hedgeTried = true
	if m.cfg.Budget.TryTake() {
		m.send(now, p)
	}
}

// NextWake returns the time at which OnWake must be called.
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
	return !p.done && !p.hedgeTried && p.inFlight > 0 && p.nextRelay < len(p.Relays)
}

// OnWake must be called at NextWake or later. It hedges groups whose relay has not replied; at the deadline it
// cancels all attempts in flight.
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

// Answer returns the merged answer. It must be called only once, after Finish.
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

// MayHaveRun reports whether a target may have run a part of the query. It must be called after Finish. If it
// returns false, every relay that got an attempt certainly sent nothing to a target.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun || len(m.inFlight) > 0 }

// Dropped returns how many replies were dropped, by reason.
func (m *Machine) Dropped() map[string]int64 { return m.dropped }

func (m *Machine) send(now time.Time, p *part) {
	id := m.cfg.NextAttempt()
	relay := p.Relays[p.nextRelay]
	p.nextRelay++
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

// close closes a part and cancels its attempts in flight.
func (m *Machine) close(p *part) {
	p.done = true
	m.openParts--
	if p.inFlight == 0 {
		return
	}
	first := len(m.actions)
	for id, a := range m.inFlight {
		if a.part == p {
			m.actions = append(m.actions, Action{Kind: Cancel, Attempt: id, Relay: a.relay})
			delete(m.inFlight, id)
			m.mayHaveRun = true
		}
	}
	p.inFlight = 0
	slices.SortFunc(m.actions[first:], func(a, b Action) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

func (m *Machine) finishIfDone() {
	if m.finished || m.openParts > 0 {
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
