package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

const (
	// minLimitBackoff is the first delay after which a shard whose replicas are all at their limits is tried
	// again. It is below the mean service time, so that freed capacity is soon used.
	minLimitBackoff = time.Millisecond
	// tokenRetryInterval is the time after which a plan that prefers coverage tries to get a token again.
	tokenRetryInterval = 5 * time.Millisecond
	// minRoundBackoff and maxRoundBackoff bound the delay before all replicas of a shard are tried again. It
	// doubles, so that replicas that shed get about ten attempts in a second.
	minRoundBackoff = 2 * time.Millisecond
	maxRoundBackoff = 250 * time.Millisecond
	// defaultHedgeDivisor divides the time left. The result is the hedge delay while the latency of the class
	// is not known.
	defaultHedgeDivisor = 4
	// stragglerFactor is the multiple of the hedge delay after which an attempt is a straggler. If there is no
	// hedge token, or no replica that accepts a hedge, a straggler may use a retry token.
	stragglerFactor = 3
	// maxHedges is the maximum number of attempts of one shard in flight besides another one.
	maxHedges = 2
)

// shardState is the state of one shard of the query.
type shardState struct {
	open          bool // not covered and not given up
	inFlight      int32
	latest        int32 // index of the latest attempt, -1 before the first
	prevRoundEnd  int32 // index of the last attempt of the earlier rounds, -1 in the first round
	mayServe      bool  // an attempt of this round ended otherwise than with snapshot_gone or wrong_shard
	hedges        int32 // attempts sent while another one was in flight
	sends         int32 // attempts that a target may have received
	extras        int32 // of these, the ones that were sent as extra ones
	budgetExempt  bool  // the next retry replaces an attempt that certainly did not run
	blocked       bool  // an attempt is due and waits for the first answer to the query
	roundBackoff  time.Duration
	limitBackoff  time.Duration // latest delay while all replicas were at their limits, 0 after an attempt was sent
	wakeAt        time.Time     // time of the current timer; other timers of the shard are stale
	inFlightSince time.Time     // when the first attempt was sent since none was in flight
	hedgeDelay    time.Duration // time after which the latest attempt is overdue
	originClass   replica.Class // class of the first attempt
	cause         query.Cause
}

// attempt is one sub-request.
type attempt struct {
	id       query.AttemptID
	target   query.TargetID
	sent     time.Time
	shard    int32
	previous int32 // earlier attempt of the same shard, -1 if none
	overdue  bool
	ended    bool
}

// send sends an attempt if the policy grants it.
func (m *Machine) send(now time.Time, i int32, use replica.AttemptKind, budgetExempt bool) replica.Verdict {
	grant, verdict := m.choose(now, i, use, budgetExempt)
	if verdict == replica.Chosen {
		m.dispatch(now, i, grant)
	}
	return verdict
}

func (m *Machine) choose(now time.Time, i int32, use replica.AttemptKind, budgetExempt bool) (Grant, replica.Verdict) {
	if m.guard.blocksSends() {
		m.shards[i].blocked = m.guard.canaries > 0
		return Grant{}, replica.Limited
	}
	if m.cfg.MaxAttempts > 0 && int(m.shards[i].sends) >= m.cfg.MaxAttempts {
		return Grant{}, replica.Final
	}
	return m.policy.Choose(now, AttemptSpec{
		Plan: m.cfg.Request.Plan, Priority: m.cfg.Request.Priority, Overloaded: m.cfg.Request.Overloaded,
		Shard: m.cfg.Map.Shards[i], Kind: use, BudgetExempt: budgetExempt, Extra: m.shards[i].sends > 0,
		OriginClass: m.shards[i].originClass,
		Tried:       m.triedTargets(&m.shards[i]), TimeLeft: m.cfg.Request.Deadline.Sub(now),
	})
}

func (m *Machine) dispatch(now time.Time, i int32, grant Grant) {
	sh := &m.shards[i]
	id := m.cfg.NextAttempt()
	m.attempts = append(m.attempts, attempt{
		id: id, target: grant.Target, sent: now, shard: i, previous: sh.latest,
	})
	if sh.latest < 0 {
		sh.originClass = grant.Class
	}
	sh.latest = int32(len(m.attempts) - 1)
	if sh.inFlight == 0 {
		sh.inFlightSince = now
	} else {
		sh.hedges++
		m.guard.hedges++
	}
	sh.limitBackoff, sh.blocked = 0, false
	if sh.sends > 0 {
		sh.extras++
	}
	sh.sends++
	sh.inFlight++
	m.guard.inFlight++
	m.actions = append(m.actions, Action{
		Kind: Send, Attempt: id, Shard: m.cfg.Map.Shards[i], Target: grant.Target,
		TimeLeft: m.cfg.Request.Deadline.Sub(now) - grant.ReturnTime,
	})
	m.setHedgeTimer(now, i, grant.HedgeAfter)
}

// triedTargets returns the targets of the shard's attempts in this round and of those in flight.
func (m *Machine) triedTargets(sh *shardState) []query.TargetID {
	m.tried = m.tried[:0]
	for i := sh.latest; i >= 0; i = m.attempts[i].previous {
		if i > sh.prevRoundEnd || !m.attempts[i].ended {
			m.tried = append(m.tried, m.attempts[i].target)
		}
	}
	return m.tried
}

func (m *Machine) setHedgeTimer(now time.Time, i int32, after time.Duration) {
	if after == noHedge || m.cfg.AtMostOnce {
		return
	}
	if after == 0 {
		after = m.cfg.Request.Deadline.Sub(now) / defaultHedgeDivisor
	}
	sh := &m.shards[i]
	sh.hedgeDelay = after
	m.setTimer(now.Add(after), i)
}

// setTimer sets the timer of a shard and replaces an earlier one.
func (m *Machine) setTimer(at time.Time, i int32) {
	m.shards[i].wakeAt = at
	if at.Before(m.cfg.Request.Deadline) {
		m.timers.push(timer{at: at, shard: i})
	}
}

// sendFirst sends the first attempt of a shard.
func (m *Machine) sendFirst(now time.Time, i int32) {
	sh := &m.shards[i]
	switch m.send(now, i, replica.First, false) {
	case replica.Limited:
		sh.cause = query.CauseShed
		m.setTimer(now.Add(m.nextLimitBackoff(sh)), i)
	case replica.NoReplica:
		sh.cause = query.CauseNoReplica
		m.nextRound(now, i)
	case replica.Final:
		sh.cause = query.CauseNoReplica
		m.closeShard(i)
	}
}

// retry sends an attempt after one that failed while no other is in flight.
func (m *Machine) retry(now time.Time, i int32, budgetExempt bool) {
	sh := &m.shards[i]
	sh.budgetExempt = budgetExempt
	switch m.send(now, i, replica.Retry, budgetExempt) {
	case replica.Limited:
		m.setTimer(now.Add(m.nextLimitBackoff(sh)), i)
	case replica.NoToken:
		if m.cfg.Request.PreferCoverage {
			m.setTimer(now.Add(tokenRetryInterval), i)
			return
		}
		m.closeShard(i)
	case replica.NoReplica:
		m.nextRound(now, i)
	case replica.Final:
		m.closeShard(i)
	}
}

// nextLimitBackoff doubles the delay of a shard up to Config.MaxLimitBackoff.
func (m *Machine) nextLimitBackoff(sh *shardState) time.Duration {
	sh.limitBackoff = max(min(2*sh.limitBackoff, m.cfg.MaxLimitBackoff), minLimitBackoff)
	return sh.limitBackoff
}

// nextRound schedules another attempt at all replicas for a plan that prefers coverage. Another round is
// useless if all replicas answered that they do not have the snapshot or the shard.
func (m *Machine) nextRound(now time.Time, i int32) {
	sh := &m.shards[i]
	if !m.cfg.Request.PreferCoverage || sh.latest > sh.prevRoundEnd && !sh.mayServe {
		m.closeShard(i)
		return
	}
	sh.prevRoundEnd, sh.mayServe = sh.latest, false
	sh.roundBackoff = min(max(2*sh.roundBackoff, minRoundBackoff), maxRoundBackoff)
	m.setTimer(now.Add(sh.roundBackoff), i)
}

// hedge sends an attempt in addition to the ones in flight.
func (m *Machine) hedge(now time.Time, i int32, budgetExempt bool) {
	sh := &m.shards[i]
	if sh.inFlight > maxHedges {
		return
	}
	straggleAt := sh.inFlightSince.Add(stragglerFactor * sh.hedgeDelay)
	straggling := !now.Before(straggleAt)
	if straggling {
		m.guard.allowSecondCanary()
	}
	if !budgetExempt && !straggling && m.guard.blocksHedges() {
		sh.blocked = true
		m.setTimer(straggleAt, i)
		return
	}
	verdict := m.send(now, i, replica.Hedge, budgetExempt)
	if straggling && (verdict == replica.NoToken || verdict == replica.Limited) {
		verdict = m.send(now, i, replica.Retry, budgetExempt)
	}
	if straggling && verdict == replica.NoReplica && m.cfg.Request.PreferCoverage && !m.cfg.DistinctTargets {
		verdict = m.sendToAnyReplica(now, i)
	}
	if verdict != replica.Chosen && verdict != replica.Final {
		m.setTimer(now.Add(max(sh.hedgeDelay/2, minLimitBackoff)), i)
	}
}

// sendToAnyReplica sends another attempt to any replica, even to one that has an attempt in flight. A plan
// that prefers coverage uses it when no other replica is left.
func (m *Machine) sendToAnyReplica(now time.Time, i int32) replica.Verdict {
	sh := &m.shards[i]
	latest := sh.latest
	sh.latest = -1 // No target counts as tried.
	grant, verdict := m.choose(now, i, replica.Retry, false)
	sh.latest = latest
	if verdict == replica.Chosen {
		m.dispatch(now, i, grant)
	}
	return verdict
}

// markOverdue reports the attempts to the policy that have been in flight for longer than the hedge delay.
func (m *Machine) markOverdue(now time.Time, sh *shardState) {
	for i := sh.latest; i >= 0; i = m.attempts[i].previous {
		a := &m.attempts[i]
		if !a.ended && !a.overdue && now.Sub(a.sent) >= sh.hedgeDelay {
			a.overdue = true
			m.policy.Overdue(a.target, a.sent)
		}
	}
}

// closeShard closes a shard that is covered or that will be missing from the answer.
func (m *Machine) closeShard(i int32) {
	m.shards[i].open = false
	m.latest = i
	m.openShards--
}

// wakeShard sends the attempt that a shard was waiting to send: a hedge, the first attempt or a retry.
func (m *Machine) wakeShard(now time.Time, i int32) {
	sh := &m.shards[i]
	switch {
	case sh.inFlight > 0:
		m.markOverdue(now, sh)
		m.hedge(now, i, false)
	case sh.latest < 0:
		m.sendFirst(now, i)
	default:
		m.retry(now, i, sh.budgetExempt)
	}
}
