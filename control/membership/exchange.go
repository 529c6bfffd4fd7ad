package membership

import (
	"time"

	"golang.org/x/time/rate"
)

// OnRequest takes the request of an exchange and returns the answer.
func (n *Node) OnRequest(m Message, now time.Time) Message {
	n.take(m, now)
	have := m.Version
	answer := n.message(m.ID, m.Acked, have, now)
	known, ok := n.Get(m.ID)
	answer.ReceiverUnknown = !ok || known.Incarnation < m.Incarnation
	if p, ok := n.peers[m.ID]; ok && !answer.ReceiverUnknown {
		p.have = max(p.have, m.Version)
		p.acked = max(p.acked, m.Acked)
	}
	if ok && known.Incarnation > m.Incarnation {
		answer.Changed = appendMissing(answer.Changed, known)
	}
	return answer
}

// OnAnswer takes the answer to a message that was sent to a member. It returns further actions.
func (n *Node) OnAnswer(to Member, sent, answer Message, now time.Time) []Action {
	if answer.ID != to.ID {
		// Another instance has taken over the address.
		return n.OnMiss(to, now)
	}
	p := n.peerOf(to.ID)
	p.inFlight = false
	p.misses = 0
	p.next = p.sent.Add(ExchangePeriod)
	n.take(answer, now)
	p.have = max(p.have, answer.Version)
	p.acked = max(p.acked, sent.Version)
	if answer.ReceiverUnknown {
		p.acked = 0
		p.next = p.sent.Add(eagerGap)
	}
	if n.version > sent.Version && n.changedSince(sent.Version, to.ID) {
		n.hasten(now)
	}
	return n.compare(to, p, answer, now)
}

// changedSince reports whether records changed after a version that a peer did not tell.
func (n *Node) changedSince(version uint64, peer string) bool {
	for _, e := range n.entries {
		if e.version > version && e.from != peer {
			return true
		}
	}
	return false
}

// compare asks for a full state when hashes have differed for several exchanges.
func (n *Node) compare(to Member, p *peer, answer Message, now time.Time) []Action {
	if answer.Hash == n.hash {
		p.differing = 0
		return nil
	}
	p.differing++
	if p.differing < differencesAllowed {
		return nil
	}
	p.differing = 0
	return n.requestFullState(to, now)
}

func (n *Node) take(m Message, now time.Time) {
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

// OnMiss takes the failure of an exchange with a member. It returns further actions.
func (n *Node) OnMiss(to Member, now time.Time) []Action {
	p := n.peerOf(to.ID)
	p.inFlight = false
	p.next = p.sent.Add(ExchangeTimeout)
	if p.next.Before(now) {
		p.next = now
	}
	p.misses++
	if p.misses < missesAllowed {
		return nil
	}
	p.misses = 0
	known, ok := n.Get(to.ID)
	if !ok || known.State == Dead {
		return nil
	}
	if !p.askFirst {
		n.suspect(known, now)
	}
	through, ok := n.pick(func(m Member) bool { return m.State == Live && m.ID != to.ID })
	if !ok {
		n.suspect(known, now)
		return nil
	}
	return []Action{RequestProbe{Prober: through, Silent: n.entries[to.ID].Member}}
}

// OnProbeResult takes the result of AskThrough: the record that the silent member gave of itself, if it
// was reached.
func (n *Node) OnProbeResult(silent Member, reached bool, record Member, now time.Time) {
	known, ok := n.Get(silent.ID)
	if !ok {
		return
	}
	if !reached {
		n.suspect(known, now)
		return
	}
	n.Merge(record, silent.ID, now)
	n.peerOf(silent.ID).askFirst = true
	n.updateNeighbours(now)
}

func (n *Node) suspect(m Member, now time.Time) {
	if m.State == Dead {
		return
	}
	if s, ok := n.suspicions[m.ID]; ok && s.incarnation == m.Incarnation {
		return
	}
	n.suspicions[m.ID] = suspicion{incarnation: m.Incarnation, deadline: now.Add(refuteTime)}
	if m.State < Suspect {
		m.State = Suspect
		n.Merge(m, n.self, now)
	}
	n.updateNeighbours(now)
}

// declareDead ends suspicions that were not refuted in time.
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

// requestFullState respects the limit for one peer. The limit is drawn between half a request and
// one request a second, so that many instances with the same cause do not ask in step.
func (n *Node) requestFullState(from Member, now time.Time) []Action {
	l, ok := n.asked[from.ID]
	if !ok {
		l = rate.NewLimiter(rate.Limit(fullStateRate*(0.5+n.random.Float64()/2)), 1)
		n.asked[from.ID] = l
	}
	if !l.AllowN(now, 1) {
		return nil
	}
	return []Action{RequestFullState{From: from}}
}

// FullState returns all records for a peer, or false if the peer has asked too often.
func (n *Node) FullState(peer string, now time.Time) ([]Member, bool) {
	l, ok := n.served[peer]
	if !ok {
		l = rate.NewLimiter(fullStateRate, 1)
		n.served[peer] = l
	}
	if !l.AllowN(now, 1) {
		return nil, false
	}
	return n.Members(), true
}

// OnFullState takes all records of a peer. A member that is held alive here and dead there becomes
// suspect first, so that members of a region that was apart can refute before they are dropped.
func (n *Node) OnFullState(from string, records []Member, now time.Time) {
	n.joined = true
	for _, m := range records {
		old, known := n.Get(m.ID)
		if m.State == Dead && known && old.Incarnation == m.Incarnation && old.State < Suspect && m.ID != n.self {
			n.suspect(old, now)
			continue
		}
		n.Merge(m, from, now)
	}
	n.updateNeighbours(now)
}

// dropLimiters drops limiters that are full again.
func (n *Node) dropLimiters(now time.Time) {
	for _, limiters := range []map[string]*rate.Limiter{n.asked, n.served} {
		for id, l := range limiters {
			if l.TokensAt(now) >= 1 {
				delete(limiters, id)
			}
		}
	}
}

// OnProbeRequest takes a record of a member that is silent for another instance and returns the message
// to try it with. The message shows the member the record, so that it can refute a suspicion.
func (n *Node) OnProbeRequest(silent Member, now time.Time) Message {
	n.Merge(silent, "", now)
	m := n.message(silent.ID, 0, 0, now)
	m.Changed = appendMissing(m.Changed, silent)
	return m
}

// OnProbeAnswer takes the answer of a member that was silent for another instance and returns its record.
func (n *Node) OnProbeAnswer(silent Member, answer Message, now time.Time) Member {
	n.take(answer, now)
	known, ok := n.Get(silent.ID)
	if !ok || known.Incarnation < silent.Incarnation {
		return silent
	}
	return known
}
