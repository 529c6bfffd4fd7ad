package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

const (
	// limitedWait is the time after which a shard whose replicas were all at their limits is tried
	// again. It is below the mean service time, so that a freed place is soon used.
	limitedWait = time.Millisecond
	// tokenWait is the time after which a plan that prefers coverage asks for a token again.
	tokenWait = 5 * time.Millisecond
	// firstRound and longestRound bound the pause before all replicas of a shard are tried again. It
	// doubles, so that replicas that shed are asked about ten times in a second.
	firstRound   = 2 * time.Millisecond
	longestRound = 250 * time.Millisecond
	// unlearntShare is the share of the time left after which a hedge is due while the class's
	// latency is not known.
	unlearntShare = 4
	// overdueFactor is the multiple of the hedge delay after which a straggler may use a retry token
	// if there is no hedge token.
	overdueFactor = 3
	// maxHedges is the number of attempts of one shard that may run besides another one.
	maxHedges = 2
)

// shardState is what the query knows of one shard.
type shardState struct {
	open     bool // not covered and not given up
	inFlight int32
	latest   int32 // latest attempt, -1 before the first
	round    int32 // latest attempt of the earlier rounds, -1 in the first round
	holds    bool  // in this round an attempt ended otherwise than by "does not hold it"
	hedges   int32 // attempts sent besides another one
	sends    int32 // attempts that a target may have received
	free     bool  // the next retry replaces an attempt that certainly did not run
	pause    time.Duration
	limited  time.Duration // latest wait for a replica below its limit, 0 after an attempt was sent
	wake     time.Time     // timer in force; others of the shard are out of date
	since    time.Time     // when the oldest attempt in flight was sent
	delay    time.Duration // after which the latest attempt is overdue
	from     replica.Class // class of the first attempt
	cause    query.Cause
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
func (m *Machine) send(now time.Time, i int32, use replica.AttemptKind, free bool) replica.Verdict {
	grant, verdict := m.choose(now, i, use, free)
	if verdict == replica.Chosen {
		m.dispatch(now, i, grant)
	}
	return verdict
}

func (m *Machine) choose(now time.Time, i int32, use replica.AttemptKind, free bool) (Grant, replica.Verdict) {
	if m.suspect.holds() {
		return Grant{}, replica.Limited
	}
	if m.cfg.MaxAttempts > 0 && int(m.shards[i].sends) >= m.cfg.MaxAttempts {
		return Grant{}, replica.Final
	}
	return m.policy.Choose(now, Want{
		Plan: m.cfg.Request.Plan, Priority: m.cfg.Request.Priority, Overload: m.cfg.Request.Overload,
		Shard: m.cfg.Map.Shards[i], Use: use, Free: free,
		From:  m.shards[i].from,
		Tried: m.triedTargets(&m.shards[i]), TimeLeft: m.cfg.Request.Deadline.Sub(now),
	})
}

func (m *Machine) dispatch(now time.Time, i int32, grant Grant) {
	sh := &m.shards[i]
	id := m.cfg.NextAttempt()
	m.attempts = append(m.attempts, attempt{
		id: id, target: grant.Target, sent: now, shard: i, previous: sh.latest,
	})
	if sh.latest < 0 {
		sh.from = grant.Class
	}
	sh.latest = int32(len(m.attempts) - 1)
	if sh.inFlight == 0 {
		sh.since = now
	} else {
		sh.hedges++
	}
	sh.limited = 0
	sh.sends++
	sh.inFlight++
	m.suspect.inFlight++
	m.actions = append(m.actions, Action{
		Kind: Send, Attempt: id, Shard: m.cfg.Map.Shards[i], Target: grant.Target,
		TimeLeft: m.cfg.Request.Deadline.Sub(now) - grant.Return,
	})
	m.armHedge(now, i, grant.HedgeAfter)
}

// triedTargets lists the targets of the shard's attempts in this round and of those in flight.
func (m *Machine) triedTargets(sh *shardState) []query.TargetID {
	m.tried = m.tried[:0]
	for i := sh.latest; i >= 0; i = m.attempts[i].previous {
		if i > sh.round || !m.attempts[i].ended {
			m.tried = append(m.tried, m.attempts[i].target)
		}
	}
	return m.tried
}

func (m *Machine) armHedge(now time.Time, i int32, after time.Duration) {
	if after == never || m.cfg.Once {
		return
	}
	if after == 0 {
		after = m.cfg.Request.Deadline.Sub(now) / unlearntShare
	}
	sh := &m.shards[i]
	sh.delay = after
	m.arm(now.Add(after), i)
}

// arm sets the timer of a shard in the place of an earlier one.
func (m *Machine) arm(at time.Time, i int32) {
	m.shards[i].wake = at
	if at.Before(m.cfg.Request.Deadline) {
		m.timers.push(timer{at: at, shard: i})
	}
}

// first sends the first attempt of a shard.
func (m *Machine) first(now time.Time, i int32) {
	sh := &m.shards[i]
	switch m.send(now, i, replica.First, false) {
	case replica.Limited:
		sh.cause = query.CauseShed
		m.arm(now.Add(m.nextLimitedWait(sh)), i)
	case replica.NoReplica:
		sh.cause = query.CauseNoReplica
		m.nextRound(now, i)
	case replica.Final:
		sh.cause = query.CauseNoReplica
		m.closeShard(i)
	}
}

// retry follows an attempt that brought no answer while no other is in flight.
func (m *Machine) retry(now time.Time, i int32, free bool) {
	sh := &m.shards[i]
	sh.free = free
	switch m.send(now, i, replica.Retry, free) {
	case replica.Limited:
		m.arm(now.Add(m.nextLimitedWait(sh)), i)
	case replica.NoToken:
		if m.cfg.Request.PreferCoverage {
			m.arm(now.Add(tokenWait), i)
			return
		}
		m.closeShard(i)
	case replica.NoReplica:
		m.nextRound(now, i)
	case replica.Final:
		m.closeShard(i)
	}
}

// nextLimitedWait doubles up to Config.LongestWait.
func (m *Machine) nextLimitedWait(sh *shardState) time.Duration {
	sh.limited = max(min(2*sh.limited, m.cfg.LongestWait), limitedWait)
	return sh.limited
}

// nextRound lets a plan that prefers coverage try all replicas again after a pause. Another round
// is of no use where the replicas answered that they do not hold the snapshot or the shard.
func (m *Machine) nextRound(now time.Time, i int32) {
	sh := &m.shards[i]
	if !m.cfg.Request.PreferCoverage || sh.latest > sh.round && !sh.holds {
		m.closeShard(i)
		return
	}
	sh.round, sh.holds = sh.latest, false
	sh.pause = min(max(2*sh.pause, firstRound), longestRound)
	m.arm(now.Add(sh.pause), i)
}

// hedge sends an attempt besides the ones in flight.
func (m *Machine) hedge(now time.Time, i int32, free bool) {
	sh := &m.shards[i]
	if sh.inFlight > maxHedges {
		return
	}
	verdict := m.send(now, i, replica.Hedge, free)
	overdue := now.Sub(sh.since) >= overdueFactor*sh.delay
	if overdue && (verdict == replica.NoToken || verdict == replica.Limited) {
		verdict = m.send(now, i, replica.Retry, free)
	}
	if overdue && verdict == replica.NoReplica && m.cfg.Request.PreferCoverage && !m.cfg.Distinct {
		verdict = m.repeat(now, i)
	}
	if verdict != replica.Chosen && verdict != replica.Final {
		m.arm(now.Add(max(sh.delay/2, limitedWait)), i)
	}
}

// repeat sends another attempt to any replica, which may be one that has an attempt in flight. It is
// the last resort of a plan that prefers coverage when no other replica is left.
func (m *Machine) repeat(now time.Time, i int32) replica.Verdict {
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
		if !a.ended && !a.overdue && now.Sub(a.sent) >= sh.delay {
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
		m.first(now, i)
	default:
		m.retry(now, i, sh.free)
	}
}
