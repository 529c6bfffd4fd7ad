package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

const (
	// minLimitBackoff is the time after which a shard whose replicas were all at their limits is tried
	// again. It is below the mean service time, so that a freed place is soon used.
	minLimitBackoff = time.Millisecond
	// tokenRetryInterval is the time after which a plan that prefers coverage asks for a token again.
	tokenRetryInterval = 5 * time.Millisecond
	// minRoundBackoff and longestRound bound the pause before all replicas of a shard are tried again. It
	// doubles, so that replicas that shed are asked about ten times in a second.
	minRoundBackoff = 2 * time.Millisecond
	maxRoundBackoff = 250 * time.Millisecond
	// defaultHedgeDivisor is the share of the time left after which a hedge is due while the class's
	// latency is not known.
	defaultHedgeDivisor = 4
	// stragglerFactor is the multiple of the hedge delay after which a straggler may use a retry token
	// if there is no hedge token.
	stragglerFactor = 3
	// maxHedges is the number of attempts of one shard that may run besides another one.
	maxHedges = 2
)

// shardState is what the query knows of one shard.
type shardState struct {
	open          bool // not covered and not given up
	inFlight      int32
	latest        int32 // latest attempt, -1 before the first
	prevRoundEnd  int32 // latest attempt of the earlier rounds, -1 in the first round
	mayServe      bool  // in this round an attempt ended otherwise than by "does not hold it"
	hedges        int32 // attempts sent besides another one
	sends         int32 // attempts that a target may have received
	budgetExempt  bool  // the next retry replaces an attempt that certainly did not run
	roundBackoff  time.Duration
	limitBackoff  time.Duration // latest wait for a replica below its limit, 0 after an attempt was sent
	wakeAt        time.Time     // timer in force; others of the shard are out of date
	inFlightSince time.Time     // when the oldest attempt in flight was sent
	hedgeDelay    time.Duration // after which the latest attempt is overdue
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

// send asks the policy for an attempt and sends it.
func (m *Machine) send(now time.Time, i int32, use replica.Use, budgetExempt bool) replica.Verdict {
	grant, verdict := m.choose(now, i, use, budgetExempt)
	if verdict == replica.Chosen {
		m.dispatch(now, i, grant)
	}
	return verdict
}

func (m *Machine) choose(now time.Time, i int32, use replica.Use, budgetExempt bool) (Grant, replica.Verdict) {
	if m.guard.blocksSends() {
		return Grant{}, replica.Limited
	}
	if m.cfg.MaxAttempts > 0 && int(m.shards[i].sends) >= m.cfg.MaxAttempts {
		return Grant{}, replica.Final
	}
	return m.policy.Choose(now, AttemptSpec{
		Plan: m.cfg.Request.Plan, Priority: m.cfg.Request.Priority, Overload: m.cfg.Request.Overload,
		Shard: m.cfg.Map.Shards[i], Use: use, BudgetExempt: budgetExempt,
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
	}
	sh.limitBackoff = 0
	sh.sends++
	sh.inFlight++
	m.guard.inFlight++
	m.actions = append(m.actions, Action{
		Kind: Send, Attempt: id, Shard: m.cfg.Map.Shards[i], Target: grant.Target,
		TimeLeft: m.cfg.Request.Deadline.Sub(now) - grant.ReturnTime,
	})
	m.setHedgeTimer(now, i, grant.HedgeAfter)
}

// triedTargets lists the targets of the shard's attempts in this round and of those in flight.
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

// setTimer sets the timer of a shard in the place of an earlier one.
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

// retry follows an attempt that brought no answer while no other is in flight.
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

// nextLimitBackoff doubles up to Config.MaxLimitBackoff.
func (m *Machine) nextLimitBackoff(sh *shardState) time.Duration {
	sh.limitBackoff = max(min(2*sh.limitBackoff, m.cfg.MaxLimitBackoff), minLimitBackoff)
	return sh.limitBackoff
}

// nextRound lets a plan that prefers coverage try all replicas again after a pause. Another round
// is of no use where the replicas answered that they do not hold the snapshot or the shard.
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

// hedge sends an attempt besides the ones in flight.
func (m *Machine) hedge(now time.Time, i int32, budgetExempt bool) {
	sh := &m.shards[i]
	if sh.inFlight > maxHedges {
		return
	}
	verdict := m.send(now, i, replica.Hedge, budgetExempt)
	straggling := now.Sub(sh.inFlightSince) >= stragglerFactor*sh.hedgeDelay
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

// sendToAnyReplica sends another attempt to any replica, which may be one that has an attempt in flight. It is
// the last resort of a plan that prefers coverage when no other replica is left.
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

// markOverdue tells the policy of attempts that have been in flight for longer than their delay.
func (m *Machine) markOverdue(now time.Time, sh *shardState) {
	for i := sh.latest; i >= 0; i = m.attempts[i].previous {
		a := &m.attempts[i]
		if !a.ended && !a.overdue && now.Sub(a.sent) >= sh.hedgeDelay {
			a.overdue = true
			m.policy.Overdue(a.target, a.sent)
		}
	}
}

// closeShard ends the work for a shard that is covered, or that the answer will lack.
func (m *Machine) closeShard(i int32) {
	m.shards[i].open = false
	m.latest = i
	m.openShards--
}

// wakeShard acts on the timer of a shard.
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
