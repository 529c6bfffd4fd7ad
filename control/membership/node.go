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
	// ExchangeTimeout bounds one exchange. A missed exchange is retried this long after it was sent.
	ExchangeTimeout = 500 * time.Millisecond
	// minExchangeGap is the minimum time between the start of an exchange with a peer and the start of
	// the next one if a change triggers it, so that changes in quick succession share a message.
	minExchangeGap = 100 * time.Millisecond
	// missesBeforeSuspect is the number of consecutive missed exchanges after which a peer is suspect.
	missesBeforeSuspect = 3
	// suspicionTimeout is the time that a suspect has to refute the suspicion. A member that stops just
	// after an exchange is suspect after 2.5 s, so that 0.8 s of the 5 s detection limit remain for the
	// record of its death to spread.
	suspicionTimeout = 1700 * time.Millisecond
	// mismatchesBeforeFullState is the number of consecutive exchanges with different membership hashes
	// after which a full state is requested.
	mismatchesBeforeFullState = 5
	// fullStateRate is the maximum number of full states per second for one peer.
	fullStateRate = 1
	// reconnectPeriod is the mean time between two attempts to reach a dead member. The attempts reconnect
	// regions after a partition.
	reconnectPeriod = 10 * time.Second
	// reapPeriod is the time between two calls of Reap.
	reapPeriod = time.Minute
)

type peer struct {
	next, sent time.Time
	// acked is the local table version up to which the peer has the changes; merged is the peer's table
	// version up to which its changes are merged here.
	acked, merged  uint64
	inFlight       bool
	misses         int
	hashMismatches int
	// probeFirst is set after an indirect probe has reached the peer: the direct link is at fault, so
	// the peer is probed through another member before it becomes suspect again.
	probeFirst bool
}

type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

// Node decides which messages an instance sends to which peers and when, and maintains its Table. It
// is not safe for concurrent use.
type Node struct {
	*Table
	random          *rand.Rand
	peers           map[string]*peer
	neighbours      []string
	neighboursHash  uint64 // membership hash at which neighbours was computed
	suspicions      map[string]suspicion
	requestLimiters map[string]*rate.Limiter // limits full states requested, by peer
	serveLimiters   map[string]*rate.Limiter // limits full states served, by peer
	joined          bool
	nextJoin        time.Time
	nextReconnect   time.Time
	nextReap        time.Time
}

// NewNode returns a node whose table contains only the instance itself. random is used for jitter and
// for the choice of peers.
func NewNode(self Member, now time.Time, random *rand.Rand) *Node {
	return &Node{
		Table: NewTable(self, now), random: random, peers: map[string]*peer{},
		suspicions: map[string]suspicion{}, requestLimiters: map[string]*rate.Limiter{},
		serveLimiters: map[string]*rate.Limiter{},
		nextJoin:      now, nextReconnect: now.Add(reconnectPeriod), nextReap: now.Add(reapPeriod),
	}
}

// OnInstanceList merges the platform's list of instances. Its records get incarnation 0, so that they
// add unknown members and leave records from the members themselves unchanged.
func (n *Node) OnInstanceList(list []Member, now time.Time) {
	for _, m := range list {
		m.Incarnation, m.ConfigSequence = 0, 0
		if old, ok := n.Get(m.ID); !ok || old.Incarnation == 0 && m.State > old.State {
			n.Merge(m, "", now)
		}
	}
}

// OnWake performs the work that is due and returns the resulting actions.
func (n *Node) OnWake(now time.Time) []Action {
	n.declareDead(now)
	if !now.Before(n.nextReap) {
		n.nextReap = now.Add(reapPeriod)
		n.Reap(now)
		n.dropFullLimiters(now)
	}
	n.updateNeighbours(now)
	actions := n.join(now)
	for _, id := range n.neighbours {
		p := n.peers[id]
		if !p.inFlight && !now.Before(p.next) {
			actions = append(actions, n.exchange(id, p, now))
		}
	}
	return append(actions, n.reconnect(now)...)
}

// Isolated reports whether the last exchange with each neighbour has failed. The instance then learns nothing from the others.
// A starting neighbour, with which there was no exchange yet, is no sign of that.
func (n *Node) Isolated() bool {
	for _, id := range n.neighbours {
		if m, known := n.Get(id); known && m.State <= Live && n.peerOf(id).misses == 0 {
			return false
		}
	}
	return len(n.neighbours) > 0
}

// NextWake returns the time at which OnWake is due next. Messages that arrive earlier may change it.
func (n *Node) NextWake() time.Time {
	next := n.nextReap
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	earlier(n.nextReconnect)
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

// join requests a full state from a random member until one has arrived.
func (n *Node) join(now time.Time) []Action {
	if n.joined || now.Before(n.nextJoin) {
		return nil
	}
	n.nextJoin = now.Add(n.jittered(ExchangePeriod))
	if m, ok := n.pickMember(func(m Member) bool { return m.State != Dead && m.Address != "" }); ok {
		return n.requestFullState(m, now)
	}
	return nil
}

// reconnect sends an exchange to one dead member every reconnectPeriod on average.
func (n *Node) reconnect(now time.Time) []Action {
	if now.Before(n.nextReconnect) {
		return nil
	}
	n.nextReconnect = now.Add(n.jittered(reconnectPeriod))
	m, ok := n.pickMember(func(m Member) bool { return m.State == Dead })
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
	if n.neighboursHash == n.hash && n.neighbours != nil {
		return
	}
	n.neighboursHash = n.hash
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
	n.expediteExchanges(now)
}

// expediteExchanges schedules the next exchanges earlier because records have changed.
func (n *Node) expediteExchanges(now time.Time) {
	for _, id := range n.neighbours {
		p := n.peers[id]
		earliest := p.sent.Add(minExchangeGap)
		if earliest.Before(now) {
			earliest = now
		}
		if p.misses == 0 && earliest.Before(p.next) {
			p.next = earliest
		}
	}
}

func (n *Node) exchange(id string, p *peer, now time.Time) Action {
	p.inFlight = true
	p.sent = now
	return SendExchange{To: n.entries[id].Member, Message: n.message(id, p.acked, p.merged, now)}
}

// message builds a message to a peer that has the changes of this table up to version acked. merged is
// the peer's table version up to which its changes are merged here.
func (n *Node) message(id string, acked, merged uint64, now time.Time) Message {
	self := n.Self()
	m := Message{
		ID: self.ID, Incarnation: self.Incarnation, State: self.State,
		Hash: n.hash, Version: n.version, Acked: merged,
	}
	m.Changed, m.Confirmed = n.Difference(acked, id, now)
	if !n.isOwnVersion(acked) {
		m.Changed = appendMissing(m.Changed, self)
	}
	// A member that is recorded as suspect, leaving or dead needs that record to refute it.
	if other, ok := n.Get(id); ok && other.State >= Suspect {
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

// pickMember returns a random member that matches, other than the instance itself.
func (n *Node) pickMember(match func(Member) bool) (Member, bool) {
	var matching []Member
	for _, m := range n.Members() {
		if m.ID != n.self && match(m) {
			matching = append(matching, m)
		}
	}
	if len(matching) == 0 {
		return Member{}, false
	}
	return matching[n.random.IntN(len(matching))], true
}

// jittered returns a random duration between 0.5 d and 1.5 d.
func (n *Node) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.random.Int64N(int64(d)))
}

// SetConfigSequence records the configuration that the instance itself has put in force.
func (n *Node) SetConfigSequence(sequence uint64, now time.Time) {
	n.Confirm(n.Self().key(), sequence, n.self, now)
}

// Leave marks the instance itself as dead and returns the exchanges that announce it to its peers.
func (n *Node) Leave(now time.Time) []Action {
	n.SetSelfState(now, Dead)
	var actions []Action
	for _, id := range n.neighbours {
		actions = append(actions, n.exchange(id, n.peers[id], now))
	}
	return actions
}
