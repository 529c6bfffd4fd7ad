package measure

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/scatter"
)

func init() {
	Register(Measure{
		Name:    "crossed-replies",
		Summary: "wrong answers while replies are swapped, repeated, delayed and arrive for reused ids",
		Run:     runCrossedReplies,
	})
}

const (
	// Shares of the replies that are swapped with another one, delivered again (to their own and to another
	// attempt), or delayed until after the deadline.
	swapShare      = 0.05
	duplicateShare = 0.02
	delayShare     = 0.01
	// maxSwapWait is the maximum time for which a reply waits for another one to be swapped with.
	maxSwapWait = 20 * time.Millisecond
	// duplicateDelay is the time after which a reply is delivered again.
	duplicateDelay = 50 * time.Millisecond
	// restartInterval is the time between two restarts of an entry instance. After a restart its attempt
	// ids begin at the same value again.
	restartInterval = time.Second
)

func runCrossedReplies(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, ix := range d.Indexes {
			sc := Scenario{
				Deployment: d, Index: ix, Service: heavyTail, Utilisation: 0.2, Queries: 8_000, WarmUp: 1_000,
				Deadline: searchDeadline, PreferCoverage: true, Seed: seed, Setup: installReplyCrosser,
			}
			name := d.Name + "-" + ix.Name
			r.runWithBaseline(name, sc)
			r.ResultAtMost(name+"/wrong_answers", 0)
		}
	}
	return r
}

// replyDelivery is a reply with the attempt that it is delivered to.
type replyDelivery struct {
	flight *flight
	sent   query.AttemptID
	reply  query.Reply
}

// replyCrosser delivers replies to the wrong attempts.
type replyCrosser struct {
	driver        *Driver
	source        *rand.Rand
	pendingSwap   *replyDelivery // to be swapped with the next one; nil if none
	lastSent      replyDelivery  // the latest attempt that was sent, without a reply
	attemptOwners map[*entry]map[query.AttemptID]*flight
}

func installReplyCrosser(d *Driver) {
	c := &replyCrosser{
		driver: d, source: rand.New(rand.NewPCG(d.scenario.Seed, 2)), attemptOwners: map[*entry]map[query.AttemptID]*flight{},
	}
	for _, e := range d.entries {
		c.attemptOwners[e] = map[query.AttemptID]*flight{}
	}
	d.interceptReply = c.intercept
	d.onSend = func(f *flight, a scatter.Action) {
		c.attemptOwners[f.entry][a.Attempt] = f
		c.lastSent = replyDelivery{flight: f, sent: a.Attempt}
	}
	for i, e := range d.entries {
		c.scheduleRestart(e, e.lastAttempt, restartInterval+time.Duration(i)*restartInterval/time.Duration(len(d.entries)))
	}
}

// scheduleRestart restarts an entry instance after the given time and then each restartInterval. Its
// queries are lost and its attempt ids are reused while replies to the earlier ones are in flight.
func (c *replyCrosser) scheduleRestart(e *entry, first query.AttemptID, after time.Duration) {
	c.driver.Loop.After(after, func() {
		for _, f := range c.attemptOwners[e] {
			f.finished = true
		}
		e.reset(first)
		if c.driver.started < c.driver.scenario.WarmUp+c.driver.scenario.Queries {
			c.scheduleRestart(e, first, restartInterval)
		}
	})
}

// intercept delivers a reply, or swaps, duplicates or delays it.
func (c *replyCrosser) intercept(f *flight, sent query.AttemptID, r query.Reply) {
	p := &replyDelivery{flight: f, sent: sent, reply: r}
	loop := c.driver.Loop
	switch x := c.source.Float64(); {
	case x < swapShare:
		c.swap(p)
	case x < swapShare+duplicateShare:
		c.deliver(p)
		loop.After(duplicateDelay, func() {
			c.deliver(p)
			c.deliver(&replyDelivery{flight: c.lastSent.flight, sent: c.lastSent.sent, reply: r})
		})
	case x < swapShare+duplicateShare+delayShare:
		loop.After(2*c.driver.scenario.Deadline, func() { c.deliver(p) })
	default:
		c.deliver(p)
	}
}

func (c *replyCrosser) swap(p *replyDelivery) {
	if other := c.pendingSwap; other != nil {
		c.pendingSwap = nil
		p.reply, other.reply = other.reply, p.reply
		c.deliver(p)
		c.deliver(other)
		return
	}
	c.pendingSwap = p
	c.driver.Loop.After(maxSwapWait, func() {
		if c.pendingSwap == p {
			c.pendingSwap = nil
			c.deliver(p)
		}
	})
}

// deliver passes a reply to the query that currently owns the attempt id. After a restart of the entry
// instance that is not the query that sent the attempt.
func (c *replyCrosser) deliver(p *replyDelivery) {
	if f := c.attemptOwners[p.flight.entry][p.sent]; f != nil {
		f.receive(p.sent, p.reply)
	}
}
