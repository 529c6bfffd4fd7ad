package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ExchangePeriod is the time between two exchanges with a peer.
	ExchangePeriod = time.Second
	// ExchangeTimeout bounds one exchange. A missed exchange is repeated this long after it began.
	ExchangeTimeout = 500 * time.Millisecond
	// eagerGap is the least time between two exchanges with a peer because of a change, so that
	// many changes at once travel together.
	eagerGap = 100 * time.Millisecond
	// missesAllowed is the number of missed exchanges in a row that make a peer suspect.
	missesAllowed = 3
	// refuteTime is the time that a suspect has to refute. A member that stops just after an
	// exchange is suspect after 2.5 s, so this leaves 0.8 s of the 5 s for the news to spread.
	refuteTime = 1700 * time.Millisecond
	// differencesAllowed is the number of exchanges in a row after which digests that still differ
	// lead to a full state.
	differencesAllowed = 5
	// fullStateRate is the largest number of full states a second for one peer.
	fullStateRate = 1
	// reunionPeriod is the mean time between two attempts to reach a dead member, by which regions
	// find each other again.
	reunionPeriod = 10 * time.Second
	// forgetPeriod is the time between two searches for members to forget.
	forgetPeriod = time.Minute
)

type peer struct {
	next, sent time.Time
	// acked is the own table version whose changes the peer has; have is the peer's version whose
	// changes are merged here.
	acked, have uint64
	inFlight    bool
	misses      int
	differing   int
	// askFirst is set after a suspicion that another member has contradicted: the link to the peer
	// is at fault, so another member is asked before the next suspicion.
	askFirst bool
}

type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

// Node decides what one instance sends to whom and when, and keeps its Table. It is not safe for
// concurrent use.
type Node struct {
	*Table
	random     *rand.Rand
	peers      map[string]*peer
	neighbours []string
	computedAt uint64 // membership hash that neighbours belong to
	suspicions map[string]suspicion
	asked      map[string]*rate.Limiter // full states requested, by peer
	served     map[string]*rate.Limiter // full states given, by peer
	joined     bool
	nextJoin   time.Time
	reunion    time.Time
	forget     time.Time
}

// NewNode returns a node whose table holds the instance itself. random is used for jitter and for
// the choice of peers.
func NewNode(self Member, now time.Time, random *rand.Rand) *Node {
	return &Node{
		Table: NewTable(self, now), random: random, peers: map[string]*peer{},
		suspicions: map[string]suspicion{}, asked: map[string]*rate.Limiter{}, served: map[string]*rate.Limiter{},
		nextJoin: now, reunion: now.Add(reunionPeriod), forget: now.Add(forgetPeriod),
	}
}

// OnInstanceList takes the platform's list of instances. Its records have incarnation 0, so they add
// members that are not known and change no others.
func (n *Node) OnInstanceList(list []Member, now time.Time) {
	for _, m := range list {
		m.Incarnation, m.ConfigSequence = 0, 0
		if old, known := n.Get(m.ID); !known || old.Incarnation == 0 && m.State > old.State {
			n.Merge(m, "", now)
		}
	}
}

// OnWake returns what is due.
func (n *Node) OnWake(now time.Time) []Action {
	n.declareDead(now)
	if !now.Before(n.forget) {
		n.forget = now.Add(forgetPeriod)
		n.Reap(now)
		n.dropLimiters(now)
	}
	n.updateNeighbours(now)
	actions := n.join(now)
	for _, id := range n.neighbours {
		p := n.peers[id]
		if !p.inFlight && !now.Before(p.next) {
			actions = append(actions, n.exchange(id, p, now))
		}
	}
	return append(actions, n.reunite(now)...)
}

// NextWake returns the time at which OnWake has something to do again, unless news arrives earlier.
func (n *Node) NextWake() time.Time {
	next := n.forget
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	earlier(n.reunion)
	if !n.joined {
		earlier(n.nextJoin)
	}
	for _, s := range n.suspicions {
		earlier(s.deadline)
	}
	for _, id := range n.neighbours {
		if p := n.peers[id]; !p.inFlight {
			earlier(p.next)
		}
	}
	return next
}

// join asks for a full state until one has arrived.
func (n *Node) join(now time.Time) []Action {
	if n.joined || now.Before(n.nextJoin) {
		return nil
	}
	n.nextJoin = now.Add(n.jittered(ExchangePeriod))
	if m, ok := n.pick(func(m Member) bool { return m.State != Dead && m.Address != "" }); ok {
		return n.requestFullState(m, now)
	}
	return nil
}

// reunite tries one dead member now and then.
func (n *Node) reunite(now time.Time) []Action {
	if now.Before(n.reunion) {
		return nil
	}
	n.reunion = now.Add(n.jittered(reunionPeriod))
	m, ok := n.pick(func(m Member) bool { return m.State == Dead })
	if !ok {
		return nil
	}
	p := n.peerOf(m.ID)
	if p.inFlight {
		return nil
	}
	return []Action{n.exchange(m.ID, p, now)}
}

func (n *Node) updateNeighbours(now time.Time) {
	if n.computedAt == n.hash && n.neighbours != nil {
		return
	}
	n.computedAt = n.hash
	neighbours := n.Neighbours()
	for _, id := range neighbours {
		if !slices.Contains(n.neighbours, id) {
			n.peerOf(id).next = now
		}
	}
	for id, p := range n.peers {
		if !slices.Contains(neighbours, id) && !p.inFlight {
			delete(n.peers, id)
		}
	}
	n.neighbours = append(neighbours[:0:0], neighbours...)
	n.hasten(now)
}

// hasten moves the next exchanges forward because records have changed.
func (n *Node) hasten(now time.Time) {
	for _, id := range n.neighbours {
		p := n.peers[id]
		soon := p.sent.Add(eagerGap)
		if soon.Before(now) {
			soon = now
		}
		if p.misses == 0 && soon.Before(p.next) {
			p.next = soon
		}
	}
}

func (n *Node) exchange(id string, p *peer, now time.Time) Action {
	p.inFlight = true
	p.sent = now
	return SendExchange{To: n.entries[id].Member, Message: n.message(id, p.acked, p.have, now)}
}

// message builds a message to a peer that has the changes up to version acked.
func (n *Node) message(id string, acked, have uint64, now time.Time) Message {
	self := n.Self()
	m := Message{
		ID: self.ID, Incarnation: self.Incarnation, State: self.State,
		Hash: n.hash, Version: n.version, Acked: have,
	}
	m.Changed, m.Confirmed = n.Difference(acked, id, now)
	if !n.knows(acked) {
		m.Changed = appendMissing(m.Changed, self)
	}
	// A member that is thought not to be well has to hear of it to refute.
	if other, known := n.Get(id); known && other.State >= Suspect {
		m.Changed = appendMissing(m.Changed, other)
	}
	return m
}

func appendMissing(list []Member, m Member) []Member {
	if slices.ContainsFunc(list, func(o Member) bool { return o.ID == m.ID }) {
		return list
	}
	return append(list, m)
}

func (n *Node) peerOf(id string) *peer {
	p, ok := n.peers[id]
	if !ok {
		p = &peer{}
		n.peers[id] = p
	}
	return p
}

// pick returns a random member other than the instance itself that fits.
func (n *Node) pick(fits func(Member) bool) (Member, bool) {
	var fitting []Member
	for _, m := range n.Members() {
		if m.ID != n.self && fits(m) {
			fitting = append(fitting, m)
		}
	}
	if len(fitting) == 0 {
		return Member{}, false
	}
	return fitting[n.random.IntN(len(fitting))], true
}

// jittered returns a time between half of d and one and a half times d.
func (n *Node) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

// SetConfigSequence notes the configuration that the instance itself has put in force.
func (n *Node) SetConfigSequence(sequence uint64, now time.Time) {
	n.Confirm(n.Self().key(), sequence, n.self, now)
}

// Leave declares the instance itself dead and returns the exchanges that tell its peers.
func (n *Node) Leave(now time.Time) []Action {
	n.SetSelfState(now, Dead)
	var actions []Action
	for _, id := range n.neighbours {
		actions = append(actions, n.exchange(id, n.peers[id], now))
	}
	return actions
}
