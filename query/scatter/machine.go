// Package scatter decides what one query sends, when, and when it is finished. It does no I/O:
// the caller performs the actions that a Machine returns and reports what came of them.
package scatter

import (
	"cmp"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
	"hyssopcroft.example/query/replica"
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
	// TimeLeft is the time that a Send gives the target. It leaves room for the answer's way back.
	TimeLeft time.Duration
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
	// Policy chooses targets and grants hedges and retries. If it is nil, each shard gets one attempt
	// at the target that Chooser returns.
	Policy  Policy
	Chooser Chooser
	// NextAttempt returns an id that this instance has not used yet, above those that it returned
	// before (modulo 2^64).
	NextAttempt func() query.AttemptID
	// Collector takes the parts. If it is nil, hits are merged and Answer returns them.
	Collector Collector
	// MaxAttempts is the number of targets of one shard that the query may be sent to, 0 for no bound.
	MaxAttempts int
	// Once is set if the query may run at most once: it is not hedged, and not sent again unless it
	// certainly did not run.
	Once bool
	// LongestWait bounds the time after which a shard looks again for a replica below its limit. The time
	// doubles from 1 ms on; at 0 it does not grow. While all replicas are slow, hundreds of shards that
	// look every millisecond take all the processor time of a small instance.
	LongestWait time.Duration
	// Distinct is set if no target gets a second attempt while the first one is in flight.
	Distinct bool
	// Enough is the number of shards that a useful answer needs. From AnswerBy on, the query finishes as
	// soon as it has them; it finishes early if they can no longer be reached. 0 means that the query
	// waits for all shards until its deadline.
	Enough   int
	AnswerBy time.Time
	// Crashes is the number of targets that have to crash on the query, before any has answered it, for
	// the query to end: 0 for 2.
	Crashes int
}

// Collector takes the parts of one query.
type Collector interface {
	Offer(r query.Reply) merge.Verdict
}

// Machine is the state of one query at one level. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	policy     Policy
	collector  Collector
	merger     *merge.Merger // nil if the parts go to another Collector
	shards     []shardState  // in the order of the map
	attempts   []attempt     // in the order of sending
	timers     timers
	openShards int
	covered    int  // number of shards whose part was accepted
	due        bool // AnswerBy has passed
	finished   bool
	latest     int32 // shard that was covered or given up last, -1 before the first
	suspect    suspicion
	ran        bool             // a target may have run a part of the query
	actions    []Action         // reused by every call
	tried      []query.TargetID // scratch space
	dropped    map[string]int64
}

// New returns a Machine that has sent nothing yet.
func New(cfg Config) *Machine {
	n := len(cfg.Map.Shards)
	m := &Machine{
		cfg:        cfg,
		policy:     cfg.Policy,
		collector:  cfg.Collector,
		shards:     make([]shardState, n),
		attempts:   make([]attempt, 0, n+n/16+1),
		timers:     make(timers, 0, n+n/16+1),
		actions:    make([]Action, 0, n+1),
		openShards: n,
		latest:     -1,
		suspect:    newSuspicion(cfg.Request.Cleared, cfg.Crashes),
	}
	if m.collector == nil {
		m.merger = merge.New(cfg.Request.ID, cfg.Map.Version, cfg.Map.Shards, cfg.Request.Limit)
		m.collector = m.merger
	}
	if m.policy == nil {
		m.policy = single{chooser: cfg.Chooser}
	}
	for i := range m.shards {
		m.shards[i] = shardState{open: true, latest: -1, round: -1}
	}
	return m
}

// Start returns the first attempt of every shard. The slice is valid until the next call.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	for i := range m.shards {
		m.first(now, int32(i))
	}
	m.finishIfDone(now)
	return m.actions
}

// OnReply takes what became of an attempt. sent is the id that the caller gave the attempt; the
// ids in the reply are what the target claims.
func (m *Machine) OnReply(now time.Time, sent query.AttemptID, r query.Reply) []Action {
	m.actions = m.actions[:0]
	i, known := m.find(sent)
	if !known || m.finished || m.attempts[i].ended {
		m.drop("reply_late")
		return m.actions
	}
	a := m.attempts[i]
	if r.Attempt != sent || r.Request != m.cfg.Request.ID ||
		r.Shard != m.cfg.Map.Shards[a.shard] || r.Snapshot != m.cfg.Map.Version {
		m.drop("reply_mismatched")
		// What a reply to something else says, a refusal included, proves nothing about this attempt.
		r.Outcome, r.Cold = query.OutcomeUnknown, false
	}
	m.end(now, i, replica.Result{Outcome: r.Outcome, Cold: r.Cold})
	if r.Outcome == query.OutcomeAnswered {
		m.accept(now, a, r)
	} else {
		m.fail(now, a, r.Outcome)
	}
	m.finishIfDone(now)
	return m.actions
}

func (m *Machine) accept(now time.Time, a attempt, r query.Reply) {
	if v := m.collector.Offer(r); v != merge.Accepted {
		m.drop("part_" + v.String())
		m.fail(now, a, query.OutcomeUnknown)
		return
	}
	m.suspect.answer()
	m.covered++
	m.closeShard(a.shard)
	if sh := &m.shards[a.shard]; sh.inFlight > 0 {
		m.cancelShard(now, sh)
	}
}

func (m *Machine) fail(now time.Time, a attempt, o query.Outcome) {
	sh := &m.shards[a.shard]
	sh.cause = causeOf(o)
	if o == query.OutcomeNotRun {
		sh.sends--
	}
	if o == query.OutcomeCrashed {
		m.suspect.crash(a.target)
	}
	sh.holds = sh.holds || o != query.OutcomeSnapshotGone && o != query.OutcomeWrongShard
	switch {
	case m.cfg.Once && !o.CertainlyNotRun():
		m.closeShard(a.shard)
	case sh.inFlight == 0:
		m.retry(now, a.shard, o.CertainlyNotRun())
	case o.CertainlyNotRun():
		m.hedge(now, a.shard, true)
	}
}

// NextWake returns the time at which OnWake has to be called. It changes with every call of the
// other methods.
func (m *Machine) NextWake() time.Time {
	at := m.nextTimer()
	if m.cfg.Enough > 0 && !m.due && m.cfg.AnswerBy.Before(at) {
		return m.cfg.AnswerBy
	}
	return at
}

// nextTimer returns the time of the next timer of a shard, or the deadline.
func (m *Machine) nextTimer() time.Time {
	for len(m.timers) > 0 {
		t := m.timers[0]
		if sh := &m.shards[t.shard]; sh.open && sh.wake.Equal(t.at) {
			return t.at
		}
		m.timers.pop()
	}
	return m.cfg.Request.Deadline
}

// OnWake is to be called at NextWake or later. It sends hedges and retries that are due; at the
// deadline it cancels what is in flight.
func (m *Machine) OnWake(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.finished {
		return m.actions
	}
	if !now.Before(m.cfg.Request.Deadline) {
		m.expire(now)
		return m.actions
	}
	m.due = !now.Before(m.cfg.AnswerBy)
	for at := m.nextTimer(); !at.After(now); at = m.nextTimer() {
		i := m.timers[0].shard
		m.timers.pop()
		m.shards[i].wake = time.Time{}
		m.wakeShard(now, i)
	}
	m.finishIfDone(now)
	return m.actions
}

// OnPlace tells that a replica of a shard fell below its limit. If the shard waits for that it tries again.
func (m *Machine) OnPlace(now time.Time, s query.Shard) []Action {
	m.actions = m.actions[:0]
	i := slices.Index(m.cfg.Map.Shards, s)
	if m.finished || i < 0 {
		return m.actions
	}
	if sh := &m.shards[i]; sh.open && sh.inFlight == 0 && sh.limited > 0 {
		sh.wake = time.Time{}
		m.wakeShard(now, int32(i))
		m.finishIfDone(now)
	}
	return m.actions
}

// Abandon ends a query without an answer: it cancels what is in flight. A caller that stops using a
// Machine before Finish has to call it, because the policy counts attempts in flight.
func (m *Machine) Abandon(now time.Time) []Action {
	m.actions = m.actions[:0]
	if !m.finished {
		m.cancelAll(now)
		m.finished = true
	}
	return m.actions
}

func (m *Machine) expire(now time.Time) {
	for i := range m.shards {
		if m.shards[i].inFlight > 0 {
			m.shards[i].cause = query.CauseTimeout
		}
	}
	m.cancelAll(now)
	m.finished = true
	m.actions = append(m.actions, Action{Kind: Finish})
}

func (m *Machine) cancelAll(now time.Time) {
	for i := range m.shards {
		m.cancelShard(now, &m.shards[i])
	}
}

// cancelShard cancels the attempts of a shard that are in flight.
func (m *Machine) cancelShard(now time.Time, sh *shardState) {
	for i := sh.latest; i >= 0; i = m.attempts[i].previous {
		if m.attempts[i].ended {
			continue
		}
		a := m.attempts[i]
		m.end(now, i, replica.Result{Cancelled: true})
		m.actions = append(m.actions, Action{
			Kind: Cancel, Attempt: a.id, Shard: m.cfg.Map.Shards[a.shard], Target: a.target,
		})
	}
}

// find returns the position of an attempt. Ids ascend, so that a search takes the place of a map.
func (m *Machine) find(id query.AttemptID) (int32, bool) {
	if len(m.attempts) == 0 {
		return 0, false
	}
	first := m.attempts[0].id
	if i := id - first; i < query.AttemptID(len(m.attempts)) && m.attempts[i].id == id {
		return int32(i), true // No other query took ids in between.
	}
	i, found := slices.BinarySearchFunc(m.attempts, id, func(a attempt, id query.AttemptID) int {
		return cmp.Compare(a.id-first, id-first)
	})
	return int32(i), found
}

// end takes an attempt out of those in flight and reports it to the policy.
func (m *Machine) end(now time.Time, i int32, e replica.Result) {
	a := &m.attempts[i]
	sh := &m.shards[a.shard]
	a.ended = true
	sh.inFlight--
	m.suspect.inFlight--
	e.Target, e.Elapsed, e.Overdue = a.target, now.Sub(a.sent), a.overdue
	m.ran = m.ran || e.Cancelled || !e.Outcome.CertainlyNotRun()
	e.HighPriority = m.cfg.Request.Priority == query.PriorityHigh
	m.policy.End(now, e)
}

// MayHaveRun reports whether a target may have run a part of the query. It is to be called after
// Finish. Where it returns false, every attempt that was sent came back as certainly not run.
func (m *Machine) MayHaveRun() bool { return m.ran }

// Answer returns the merged answer. It is to be called once, after Finish, and not if the parts went to
// a Collector of the caller's.
func (m *Machine) Answer() query.Answer {
	return m.merger.Finish(m.cfg.Request.Index, func(s query.Shard) query.Cause {
		for i, shard := range m.cfg.Map.Shards {
			if shard == s && m.shards[i].cause != "" {
				return m.shards[i].cause
			}
		}
		return query.CauseTimeout
	})
}

// Dropped returns how many replies were dropped, by reason.
func (m *Machine) Dropped() map[string]int64 { return m.dropped }

func (m *Machine) drop(reason string) {
	if m.dropped == nil {
		m.dropped = map[string]int64{}
	}
	m.dropped[reason]++
}

// finishIfDone ends the query when no shard is open, or when nothing is gained by waiting for the open
// ones. An open shard is in flight or has a timer.
func (m *Machine) finishIfDone(now time.Time) {
	switch {
	case m.finished:
		return
	case m.openShards == 0:
	case m.suspect.ends():
		m.giveUp(now, query.CauseCrashed)
	case m.enough(now):
		m.giveUp(now, query.CauseTimeout)
	case m.covered+m.openShards < m.cfg.Enough:
		m.giveUp(now, query.CauseUnreachable)
	default:
		return
	}
	m.finished = true
	m.actions = append(m.actions, Action{Kind: Finish})
}

// enough reports whether the query answers without the shards that are still open.
func (m *Machine) enough(now time.Time) bool {
	return m.cfg.Enough > 0 && m.covered >= m.cfg.Enough && !now.Before(m.cfg.AnswerBy)
}

// Covered returns the number of shards whose part was accepted.
func (m *Machine) Covered() int { return m.covered }

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
