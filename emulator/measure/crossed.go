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
	// Shares of the replies that are swapped with another one, repeated to another attempt, or held
	// back until after the deadline.
	swapShare   = 0.05
	repeatShare = 0.02
	holdShare   = 0.01
	// swapWait is the longest time for which a reply waits for another one to be swapped with.
	swapWait = 20 * time.Millisecond
	// repeatAfter is the time after which a reply is delivered again.
	repeatAfter = 50 * time.Millisecond
	// restartEvery is the time between two restarts of an entry instance, whose attempt ids then
	// begin where they began before.
	restartEvery = time.Second
)

func runCrossedReplies(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, ix := range d.Indexes {
			sc := Scenario{
				Deployment: d, Index: ix, Service: heavyTail, Utilisation: 0.2, Queries: 8_000, WarmUp: 1_000,
				Deadline: searchDeadline, PreferCoverage: true, Seed: seed, Setup: crossReplies,
			}
			name := d.Name + "-" + ix.Name
			r.runBoth(name, sc)
			r.ResultAtMost(name+"/wrong_answers", 0)
		}
	}
	return r
}

// parcel is a reply together with the attempt that it is delivered to.
type parcel struct {
	flight *flight
	sent   query.AttemptID
	reply  query.Reply
}

// crosser delivers replies to the wrong attempts.
type crosser struct {
	driver  *Driver
	source  *rand.Rand
	waiting *parcel // to be swapped with the next
	recent  parcel  // the latest attempt sent, without a reply
	owners  map[*entry]map[query.AttemptID]*flight
}

func crossReplies(d *Driver) {
	c := &crosser{
		driver: d, source: rand.New(rand.NewPCG(d.scenario.Seed, 2)), owners: map[*entry]map[query.AttemptID]*flight{},
	}
	for _, e := range d.entries {
		c.owners[e] = map[query.AttemptID]*flight{}
	}
	d.tamper = c.take
	d.onSend = func(f *flight, a scatter.Action) {
		c.owners[f.entry][a.Attempt] = f
		c.recent = parcel{flight: f, sent: a.Attempt}
	}
	for i, e := range d.entries {
		c.restartLater(e, e.lastAttempt, restartEvery+time.Duration(i)*restartEvery/time.Duration(len(d.entries)))
	}
}

// restartLater restarts an entry instance again and again: its queries are lost and its ids begin
// anew, while replies to the earlier ones are still under way.
func (c *crosser) restartLater(e *entry, first query.AttemptID, after time.Duration) {
	c.driver.Loop.After(after, func() {
		for _, f := range c.owners[e] {
			f.finished = true
		}
		e.reset(first)
		if c.driver.started < c.driver.scenario.WarmUp+c.driver.scenario.Queries {
			c.restartLater(e, first, restartEvery)
		}
	})
}

func (c *crosser) take(f *flight, sent query.AttemptID, r query.Reply) {
	p := &parcel{flight: f, sent: sent, reply: r}
	loop := c.driver.Loop
	switch x := c.source.Float64(); {
	case x < swapShare:
		c.swap(p)
	case x < swapShare+repeatShare:
		c.deliver(p)
		loop.After(repeatAfter, func() {
			c.deliver(p)
			c.deliver(&parcel{flight: c.recent.flight, sent: c.recent.sent, reply: r})
		})
	case x < swapShare+repeatShare+holdShare:
		loop.After(2*c.driver.scenario.Deadline, func() { c.deliver(p) })
	default:
		c.deliver(p)
	}
}

func (c *crosser) swap(p *parcel) {
	if other := c.waiting; other != nil {
		c.waiting = nil
		p.reply, other.reply = other.reply, p.reply
		c.deliver(p)
		c.deliver(other)
		return
	}
	c.waiting = p
	c.driver.Loop.After(swapWait, func() {
		if c.waiting == p {
			c.waiting = nil
			c.deliver(p)
		}
	})
}

// deliver passes a reply to the query that owns the attempt id now, which after a restart is not
// the one that sent the attempt.
func (c *crosser) deliver(p *parcel) {
	if f := c.owners[p.flight.entry][p.sent]; f != nil {
		f.receive(p.sent, p.reply)
	}
}
