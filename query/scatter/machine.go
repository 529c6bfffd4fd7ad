// Package scatter decides which attempts a query sends and when, and when the query is finished. It does
// no I/O: the caller performs the actions that a Machine returns and reports the results.
package scatter

import (
	"cmp"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/merge"
	"hyssopcroft.example/query/replica"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send asks the caller to send an attempt.
	Send ActionKind = iota
	// Cancel asks the caller to cancel an attempt in flight.
	Cancel
	// Finish reports that the query is finished.
	Finish
)

// Action is one step for the caller to perform.
type Action struct {
	Kind    ActionKind
	Attempt query.AttemptID
	Shard   query.Shard
	Target  query.TargetID
	// TimeLeft is the time that the target has to run the attempt of a Send. The return time of the answer
	// is already deducted.
	TimeLeft time.Duration
}

// Chooser chooses the replica of a shard for an attempt.
type Chooser interface {
	// Choose returns false if no replica can be used at present.
	Choose(s query.Shard) (query.TargetID, bool)
}

// Config holds the query and the dependencies of a Machine.
type Config struct {
	Request query.Request
	Map     query.Map
	// Policy chooses targets and grants hedges and retries. If it is nil, each shard gets one attempt, which
	// goes to the target that Chooser returns.
	Policy  Policy
	Chooser Chooser
	// NextAttempt returns an unused id of this instance, larger than those that it returned before
	// (modulo 2^64).
	NextAttempt func() query.AttemptID
	// Collector receives the parts. If it is nil, the Machine merges the hits and Answer returns them.
	Collector Collector
	// MaxAttempts is the maximum number of attempts for one shard, 0 for no limit. Attempts that did not
	// reach their target are not counted.
	MaxAttempts int
	// AtMostOnce is set if the query may run at most once: it is not hedged, and is retried only if it
	// certainly did not run.
	AtMostOnce bool
	// MaxLimitBackoff bounds the delay after which a shard looks again for a replica below its limit. The
	// delay starts at 1 ms and doubles; if MaxLimitBackoff is 0, it stays at 1 ms. While all replicas are
	// slow, hundreds of shards that look every millisecond use all the processor time of a small instance.
	MaxLimitBackoff time.Duration
	// DistinctTargets is set if a target must not get a second attempt for a shard while the first one is in
	// flight.
	DistinctTargets bool
	// MinShards is the minimum number of shards of a useful answer. From AnswerBy on, the query finishes as
	// soon as it covers MinShards shards; it finishes early if it can no longer reach that number. 0 means
	// that the query waits for all shards until its deadline.
	MinShards int
	AnswerBy  time.Time
	// CrashLimit is the number of targets that crash on the query, before any has answered it, after which
	// the query ends. 0 stands for 2.
	CrashLimit int
	// MaxUnansweredHedges is the maximum number of hedges of all shards together before a target has answered the
	// query, 0 for no limit.
	MaxUnansweredHedges int
	// Canary is set if the query may crash the targets that run it. It runs on one target first, and on the others once
	// that target has answered. It ends if the target may have crashed.
	Canary bool
	// CanaryShard is the index of the shard whose first attempt is sent first, that of the canary if there is one.
	CanaryShard int
}

// Collector receives the parts of one query.
type Collector interface {
	Offer(r query.Reply) merge.Verdict
}

// Machine is the state of one query at one level. It is not safe for concurrent use.
type Machine struct {
	cfg            Config
	policy         Policy
	collector      Collector
	merger         *merge.Merger // nil if Config.Collector is set
	shards         []shardState  // in the order of the map
	attempts       []attempt     // in the order of sending
	timers         timers
	openShards     int
	covered        int  // number of shards whose part was accepted
	answerByPassed bool // AnswerBy has passed
	finished       bool
	latest         int32 // index of the shard that was covered or given up last, -1 before the first
	guard          crashGuard
	mayHaveRun     bool             // a target may have run a part of the query
	actions        []Action         // reused by every call
	tried          []query.TargetID // scratch space
	dropped        map[string]int64
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
		guard:      newCrashGuard(cfg),
	}
	if m.collector == nil {
		m.merger = merge.New(cfg.Request.ID, cfg.Map.Version, cfg.Map.Shards, cfg.Request.Limit)
		m.collector = m.merger
	}
	if m.policy == nil {
		m.policy = singleAttempt{chooser: cfg.Chooser}
	}
	for i := range m.shards {
		m.shards[i] = shardState{open: true, latest: -1, prevRoundEnd: -1}
	}
	return m
}

// Start returns the first attempt of every shard. The slice is valid until the next call.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	for i := range m.shards {
		m.sendFirst(now, int32((i+m.cfg.CanaryShard)%len(m.shards)))
	}
	m.finishIfDone(now)
	return m.actions
}

// OnReply handles the result of an attempt. sent is the id under which the caller sent the attempt; the ids
// in the reply come from the target and may differ.
func (m *Machine) OnReply(now time.Time, sent query.AttemptID, r query.Reply) []Action {
	m.actions = m.actions[:0]
	i, ok := m.findAttempt(sent)
	if !ok || m.finished || m.attempts[i].ended {
		m.drop("reply_late")
		return m.actions
	}
	a := m.attempts[i]
	if r.Attempt != sent || r.Request != m.cfg.Request.ID ||
		r.Shard != m.cfg.Map.Shards[a.shard] || r.Snapshot != m.cfg.Map.Version {
		m.drop("reply_mismatched")
		// The outcome of a reply to another attempt, even a refusal, is no evidence of the outcome of this attempt.
		r.Outcome, r.Cold = query.OutcomeUnknown, false
	}
	m.endAttempt(now, i, replica.Result{Outcome: r.Outcome, Cold: r.Cold})
	if r.Outcome == query.OutcomeAnswered {
		m.onAnswer(now, a, r)
	} else {
		m.onFailure(now, a, r.Outcome)
	}
	m.finishIfDone(now)
	return m.actions
}

func (m *Machine) onAnswer(now time.Time, a attempt, r query.Reply) {
	if v := m.collector.Offer(r); v != merge.Accepted {
		m.drop("part_" + v.String())
		m.onFailure(now, a, query.OutcomeUnknown)
		return
	}
	firstAnswer := !m.guard.answered
	m.guard.recordAnswer()
	m.covered++
	m.closeShard(a.shard)
	if sh := &m.shards[a.shard]; sh.inFlight > 0 {
		m.cancelShard(now, sh)
	}
	if firstAnswer {
		m.unblockShards(now)
	}
}

// unblockShards sends the attempts that waited for the first answer to the query.
func (m *Machine) unblockShards(now time.Time) {
	for i := range m.shards {
		if sh := &m.shards[i]; sh.open && sh.blocked {
			sh.wakeAt, sh.blocked = time.Time{}, false
			m.wakeShard(now, int32(i))
		}
	}
}

func (m *Machine) onFailure(now time.Time, a attempt, o query.Outcome) {
	sh := &m.shards[a.shard]
	sh.cause = causeOf(o)
	if o == query.OutcomeNotRun {
		sh.sends--
	}
	if o == query.OutcomeCrashed || m.guard.isCanaryLost(o) {
		m.guard.recordCrash(a.target)
	}
	sh.mayServe = sh.mayServe || o != query.OutcomeSnapshotGone && o != query.OutcomeWrongShard
	switch {
	case m.cfg.AtMostOnce && !o.CertainlyNotRun():
		m.closeShard(a.shard)
	case sh.inFlight == 0:
		m.retry(now, a.shard, o.CertainlyNotRun())
	case o.CertainlyNotRun():
		m.hedge(now, a.shard, true)
	}
}

// NextWake returns the time at which OnWake must be called. Every call of another method may change it.
func (m *Machine) NextWake() time.Time {
	at := m.nextTimer()
	if m.cfg.MinShards > 0 && !m.answerByPassed && m.cfg.AnswerBy.Before(at) {
		return m.cfg.AnswerBy
	}
	return at
}

// nextTimer returns the time of the next shard timer, or the deadline if there is none.
func (m *Machine) nextTimer() time.Time {
	for len(m.timers) > 0 {
		t := m.timers[0]
		if sh := &m.shards[t.shard]; sh.open && sh.wakeAt.Equal(t.at) {
			return t.at
		}
		m.timers.pop()
	}
	return m.cfg.Request.Deadline
}

// OnWake must be called at NextWake or later. It sends the hedges and retries that are due; at the deadline
// it cancels all attempts in flight.
func (m *Machine) OnWake(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.finished {
		return m.actions
	}
	if !now.Before(m.cfg.Request.Deadline) {
		m.expire(now)
		return m.actions
	}
	m.answerByPassed = !now.Before(m.cfg.AnswerBy)
	for at := m.nextTimer(); !at.After(now); at = m.nextTimer() {
		i := m.timers[0].shard
		m.timers.pop()
		m.shards[i].wakeAt = time.Time{}
		m.wakeShard(now, i)
	}
	m.finishIfDone(now)
	return m.actions
}

// OnCapacity handles the event that a replica of a shard fell below its limit. If the shard waits for that,
// it tries again at once.
func (m *Machine) OnCapacity(now time.Time, s query.Shard) []Action {
	m.actions = m.actions[:0]
	i := slices.Index(m.cfg.Map.Shards, s)
	if m.finished || i < 0 {
		return m.actions
	}
	if sh := &m.shards[i]; sh.open && sh.inFlight == 0 && sh.limitBackoff > 0 {
		sh.wakeAt = time.Time{}
		m.wakeShard(now, int32(i))
		m.finishIfDone(now)
	}
	return m.actions
}

// Abandon ends a query without an answer and cancels all attempts in flight. A caller that stops using a
// Machine before Finish must call it, because the policy counts attempts in flight.
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
		m.endAttempt(now, i, replica.Result{Cancelled: true})
		m.actions = append(m.actions, Action{
			Kind: Cancel, Attempt: a.id, Shard: m.cfg.Map.Shards[a.shard], Target: a.target,
		})
	}
}

// findAttempt returns the index of an attempt. Attempts are in the order of their ids, so that a binary
// search replaces a map.
func (m *Machine) findAttempt(id query.AttemptID) (int32, bool) {
	if len(m.attempts) == 0 {
		return 0, false
	}
	first := m.attempts[0].id
	if i := id - first; i < query.AttemptID(len(m.attempts)) && m.attempts[i].id == id {
		return int32(i), true // No other query was assigned ids in between.
	}
	i, found := slices.BinarySearchFunc(m.attempts, id, func(a attempt, id query.AttemptID) int {
		return cmp.Compare(a.id-first, id-first)
	})
	return int32(i), found
}

// endAttempt marks an attempt as ended and reports it to the policy.
func (m *Machine) endAttempt(now time.Time, i int32, r replica.Result) {
	a := &m.attempts[i]
	sh := &m.shards[a.shard]
	a.ended = true
	sh.inFlight--
	m.guard.inFlight--
	r.Target, r.Elapsed, r.Overdue = a.target, now.Sub(a.sent), a.overdue
	m.mayHaveRun = m.mayHaveRun || r.Cancelled || !r.Outcome.CertainlyNotRun()
	if !r.Cancelled && r.Outcome == query.OutcomeNotRun && sh.extras > 0 {
		// One of the other attempts takes the place of this one, and is no extra attempt any more.
		sh.extras--
		r.RefundExtra = true
	}
	r.HighPriority = m.cfg.Request.Priority == query.PriorityHigh
	m.policy.End(now, r)
}

// MayHaveRun reports whether a target may have run a part of the query. It must be called after Finish. If
// it returns false, every attempt that was sent certainly did not run.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun }

// Answer returns the merged answer. It must be called only once, after Finish, and only if Config.Collector
// is nil.
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

// finishIfDone ends the query when no shard is open, or when the query no longer waits for the open ones.
// Every open shard has an attempt in flight or a timer.
func (m *Machine) finishIfDone(now time.Time) {
	switch {
	case m.finished:
		return
	case m.openShards == 0:
	case m.guard.endsQuery():
		m.giveUp(now, query.CauseCrashed)
	case m.canFinishEarly(now):
		m.giveUp(now, query.CauseTimeout)
	case m.covered+m.openShards < m.cfg.MinShards:
		m.giveUp(now, query.CauseUnreachable)
	default:
		return
	}
	m.finished = true
	m.actions = append(m.actions, Action{Kind: Finish})
}

// canFinishEarly reports whether the answer is due and covers enough shards, so that the query finishes
// without the open ones.
func (m *Machine) canFinishEarly(now time.Time) bool {
	return m.cfg.MinShards > 0 && m.covered >= m.cfg.MinShards && !now.Before(m.cfg.AnswerBy)
}

// IsOverdue reports whether no target has answered although the hedges of several shards are due.
func (m *Machine) IsOverdue() bool { return m.guard.blocksHedges() }

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
