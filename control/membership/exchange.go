package membership

import (
	"time"

	"golang.org/x/time/rate"
)

// OnRequest merges the request of an exchange and returns the answer.
func (n *Node) OnRequest(m Message, now time.Time) Message {
	n.mergeMessage(m, now)
	merged := m.Version
	answer := n.message(m.ID, m.Acked, merged, now)
	known, ok := n.Get(m.ID)
	answer.ReceiverUnknown = !ok || known.Incarnation < m.Incarnation
	if p, ok := n.peers[m.ID]; ok && !answer.ReceiverUnknown {
		p.merged = max(p.merged, m.Version)
		p.acked = max(p.acked, m.Acked)
	}
	if ok && known.Incarnation > m.Incarnation {
		answer.Changed = appendMissing(answer.Changed, known)
	}
	return answer
}

// OnAnswer merges the answer to a message that was sent to a member. It returns further actions.
func (n *Node) OnAnswer(to Member, sent, answer Message, now time.Time) []Action {
	if answer.ID != to.ID {
		// Another instance now uses the address.
		return n.OnMiss(to, now)
	}
	p := n.peerOf(to.ID)
	p.inFlight = false
	p.misses = 0
	p.next = p.sent.Add(ExchangePeriod)
	n.mergeMessage(answer, now)
	p.merged = max(p.merged, answer.Version)
	p.acked = max(p.acked, sent.Version)
	if answer.ReceiverUnknown {
		p.acked = 0
		p.next = p.sent.Add(minExchangeGap)
	}
	if n.version > sent.Version && n.changedSince(sent.Version, to.ID) {
		n.expediteExchanges(now)
	}
	return n.compareHashes(to, p, answer, now)
}

// changedSince reports whether records changed after version, other than by changes from the peer.
func (n *Node) changedSince(version uint64, peer string) bool {
	for _, e := range n.entries {
		if e.version > version && e.from != peer {
			return true
		}
	}
	return false
}

// compareHashes requests a full state after mismatchesBeforeFullState consecutive exchanges with
// different hashes.
func (n *Node) compareHashes(to Member, p *peer, answer Message, now time.Time) []Action {
	if answer.Hash == n.hash {
		p.hashMismatches = 0
		return nil
	}
	p.hashMismatches++
	if p.hashMismatches < mismatchesBeforeFullState {
		return nil
	}
	p.hashMismatches = 0
	return n.requestFullState(to, now)
}

// mergeMessage merges the records and confirmations of a message.
func (n *Node) mergeMessage(m Message, now time.Time) {
	before := n.hash
	for _, r := range m.Changed {
		n.Merge(r, m.ID, now)
	}
	for _, c := range m.Confirmed {
		for _, key := range c.Members {
			n.Confirm(key, c.Sequence, m.ID, now)
		}
	}
	if n.hash != before {
		n.updateNeighbours(now)
	}
}

// OnMiss handles a failed exchange with a member. It returns further actions.
func (n *Node) OnMiss(to Member, now time.Time) []Action {
	p := n.peerOf(to.ID)
	p.inFlight = false
	p.next = p.sent.Add(ExchangeTimeout)
	if p.next.Before(now) {
		p.next = now
	}
	p.misses++
	if p.misses < missesBeforeSuspect {
		return nil
	}
	p.misses = 0
	known, ok := n.Get(to.ID)
	if !ok || known.State == Dead {
		return nil
	}
	if !p.probeFirst {
		n.suspect(known, now)
	}
	prober, ok := n.pickMember(func(m Member) bool { return m.State == Live && m.ID != to.ID })
	if !ok {
		n.suspect(known, now)
		return nil
	}
	return []Action{RequestProbe{Prober: prober, Subject: n.entries[to.ID].Member}}
}

// OnProbeResult handles the result of RequestProbe. record is the record that the unresponsive member
// returned of itself, if it was reached.
func (n *Node) OnProbeResult(subject Member, reached bool, record Member, now time.Time) {
	known, ok := n.Get(subject.ID)
	if !ok {
		return
	}
	if !reached {
		n.suspect(known, now)
		return
	}
	n.Merge(record, subject.ID, now)
	n.peerOf(subject.ID).probeFirst = true
	n.updateNeighbours(now)
}

func (n *Node) suspect(m Member, now time.Time) {
	if m.State == Dead {
		return
	}
	if s, ok := n.suspicions[m.ID]; ok && s.incarnation == m.Incarnation {
		return
	}
	n.suspicions[m.ID] = suspicion{incarnation: m.Incarnation, deadline: now.Add(suspicionTimeout)}
	if m.State < Suspect {
		m.State = Suspect
		n.Merge(m, n.self, now)
	}
	n.updateNeighbours(now)
}

// declareDead declares suspects dead that have not refuted in time, and removes suspicions that no
// longer apply.
func (n *Node) declareDead(now time.Time) {
	for id, s := range n.suspicions {
		known, ok := n.Get(id)
		if ok && known.Incarnation == s.incarnation && known.State != Dead && now.Before(s.deadline) {
			continue
		}
		delete(n.suspicions, id)
		if ok && known.Incarnation == s.incarnation {
			known.State = Dead
			n.Merge(known, n.self, now)
		}
	}
}

// requestFullState requests a full state within the rate limit of the peer. The limit is drawn between
// 0.5 and 1 request per second, so that instances with the same trigger do not send requests in step.
func (n *Node) requestFullState(from Member, now time.Time) []Action {
	l, ok := n.requestLimiters[from.ID]
	if !ok {
		l = rate.NewLimiter(rate.Limit(fullStateRate*(0.5+n.random.Float64()/2)), 1)
		n.requestLimiters[from.ID] = l
	}
	if !l.AllowN(now, 1) {
		return nil
	}
	return []Action{RequestFullState{From: from}}
}

// FullState returns all records for a peer, or false if the peer exceeds its rate limit.
func (n *Node) FullState(peer string, now time.Time) ([]Member, bool) {
	l, ok := n.serveLimiters[peer]
	if !ok {
		l = rate.NewLimiter(fullStateRate, 1)
		n.serveLimiters[peer] = l
	}
	if !l.AllowN(now, 1) {
		return nil, false
	}
	return n.Members(), true
}

// OnFullState merges all records of a peer. A member that is starting or live in this table and dead in
// the peer's becomes suspect first, so that members on the other side of a partition can refute before
// they are declared dead.
func (n *Node) OnFullState(from string, records []Member, now time.Time) {
	n.joined = true
	for _, m := range records {
		old, ok := n.Get(m.ID)
		if m.State == Dead && ok && old.Incarnation == m.Incarnation && old.State < Suspect && m.ID != n.self {
			n.suspect(old, now)
			continue
		}
		n.Merge(m, from, now)
	}
	n.updateNeighbours(now)
}

// dropFullLimiters removes the limiters whose bucket is full again.
func (n *Node) dropFullLimiters(now time.Time) {
	for _, limiters := range []map[string]*rate.Limiter{n.requestLimiters, n.serveLimiters} {
		for id, l := range limiters {
			if l.TokensAt(now) >= 1 {
				delete(limiters, id)
			}
		}
	}
}

// OnProbeRequest merges the record of a member that does not respond to another instance and returns
// the message to probe it with. The message contains the record, so that the member can refute a
// suspicion.
func (n *Node) OnProbeRequest(subject Member, now time.Time) Message {
	n.Merge(subject, "", now)
	m := n.message(subject.ID, 0, 0, now)
	m.Changed = appendMissing(m.Changed, subject)
	return m
}

// OnProbeAnswer merges the answer of a member that was probed for another instance and returns the
// member's record.
func (n *Node) OnProbeAnswer(subject Member, answer Message, now time.Time) Member {
	n.mergeMessage(answer, now)
	known, ok := n.Get(subject.ID)
	if !ok || known.Incarnation < subject.Incarnation {
		return subject
	}
	return known
}
