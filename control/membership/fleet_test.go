package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/control/membership"
)

// fleet runs nodes over a simulated network with a one-way delay of 12 ms.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*node
	queue  events
	seq    int
	// isLost reports whether a message is lost.
	isLost     func(from, to *node) bool
	fullStates map[string][]time.Time // times of requests, by requesting and serving instance
	exchanges  int
}

type node struct {
	*membership.Node
	id, domain string
	down       bool
	wake       time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const oneWay = 12 * time.Millisecond

var start = time.Unix(1_800_000_000, 0)

// newFleet starts size instances in the given number of failure domains. The platform's list contains
// all of them.
func newFleet(size, domains int, seed uint64) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{},
		fullStates: map[string][]time.Time{}, isLost: func(*node, *node) bool { return false },
	}
	var list []membership.Member
	for i := range size {
		list = append(list, member(fmt.Sprintf("i%03d", i), fmt.Sprintf("d%d", i%domains)))
	}
	for _, m := range list {
		f.start(m, list)
	}
	return f
}

func member(id, domain string) membership.Member {
	return membership.Member{ID: id, Address: id, FailureDomain: domain, State: membership.Starting}
}

func (f *fleet) start(m membership.Member, list []membership.Member) *node {
	m.Incarnation = uint64(f.now.UnixNano())
	random := rand.New(rand.NewPCG(f.random.Uint64(), 0))
	n := &node{Node: membership.NewNode(m, f.now, random), id: m.ID, domain: m.FailureDomain}
	f.nodes[m.ID] = n
	n.OnInstanceList(list, f.now)
	n.SetSelfState(f.now, membership.Live)
	f.schedule(n)
	return n
}

func (f *fleet) at(at time.Time, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: at, seq: f.seq, run: run})
}

func (f *fleet) schedule(n *node) {
	at := n.NextWake()
	if at.Before(f.now) {
		at = f.now
	}
	n.wake = at
	f.at(at, func() {
		if n.down || !n.wake.Equal(at) {
			return
		}
		f.do(n, n.OnWake(f.now))
	})
}

func (f *fleet) do(n *node, actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SendExchange:
			f.exchange(n, a)
		case membership.RequestProbe:
			f.probe(n, a)
		case membership.RequestFullState:
			key := n.id + ">" + a.From.ID
			f.fullStates[key] = append(f.fullStates[key], f.now)
			f.call(n, a.From, func(o *node) any {
				records, ok := o.FullState(n.id, f.now)
				return map[bool][]membership.Member{ok: records}
			}, func(answer any) {
				if records, ok := answer.(map[bool][]membership.Member)[true]; ok {
					n.OnFullState(a.From.ID, records, f.now)
				}
			}, func() {})
		}
	}
	f.schedule(n)
}

func (f *fleet) exchange(n *node, a membership.SendExchange) {
	f.exchanges++
	f.call(n, a.To, func(o *node) any { return o.OnRequest(a.Message, f.now) }, func(answer any) {
		f.do(n, n.OnAnswer(a.To, a.Message, answer.(membership.Message), f.now))
	}, func() { f.do(n, n.OnMiss(a.To, f.now)) })
}

func (f *fleet) probe(n *node, a membership.RequestProbe) {
	reached := false
	var record membership.Member
	f.call(n, a.Prober, func(o *node) any {
		o.Merge(a.Subject, n.id, f.now)
		f.call(o, a.Subject, func(subject *node) any {
			subject.Merge(a.Subject, o.id, f.now)
			return subject.Self()
		}, func(answer any) { reached, record = true, answer.(membership.Member) }, func() {})
		return nil
	}, func(any) {}, func() {})
	f.at(f.now.Add(membership.ExchangeTimeout), func() {
		n.OnProbeResult(a.Subject, reached, record, f.now)
		f.schedule(n)
	})
}

// call runs at on the node to, and then either answered or missed on n.
func (f *fleet) call(n *node, to membership.Member, at func(*node) any, answered func(any), missed func()) {
	sent := f.now
	f.at(sent.Add(oneWay), func() {
		o := f.nodes[to.ID]
		if o == nil || o.down || f.isLost(n, o) {
			f.at(sent.Add(membership.ExchangeTimeout), missed)
			return
		}
		answer := at(o)
		f.schedule(o)
		f.at(f.now.Add(oneWay), func() { answered(answer) })
	})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.queue.Len() > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// disagreements counts the pairs of a running instance and an instance that it records wrongly: a
// running one that is not live in its table, or a stopped one that is present and not dead.
func (f *fleet) disagreements() int {
	count := 0
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		for _, o := range f.nodes {
			m, ok := n.Get(o.id)
			live := ok && m.State == membership.Live
			dead := !ok || m.State == membership.Dead
			if !o.down && !live || o.down && !dead {
				count++
			}
		}
	}
	return count
}
