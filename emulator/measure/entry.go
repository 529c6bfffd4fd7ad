package measure

import (
	"math/rand/v2"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

const (
	// pingTimeout is the time after which a silent connection with requests in flight is closed.
	pingTimeout = 300 * time.Millisecond
	// connectTimeout is the time after which an attempt to connect fails.
	connectTimeout = 200 * time.Millisecond
	// lossShare is the share of messages between failure domains that are lost and sent again.
	lossShare = 0.001
	// minResendDelay is the minimum time after which a lost message is sent again.
	minResendDelay = 10 * time.Millisecond
	// meanJitterShare is the mean of the variable part of a delay, as a share of the delay.
	meanJitterShare = 0.1
)

// entry models an entry instance: its state of the targets, its connections and its counter of attempt ids.
type entry struct {
	driver      *Driver
	domain      int
	random      *replica.Random
	pool        *scatter.Pool
	admission   *admission.Controller
	connections map[query.TargetID]*connection
	lastAttempt query.AttemptID
	unavailable bool // lost with its failure domain; callers use other instances
	source      *rand.Rand
}

type connection struct {
	readyAt time.Time
}

// flight is a query in flight at an entry instance.
type flight struct {
	entry     *entry
	request   query.Request
	version   query.Version
	machine   *trace.Machine
	started   time.Time
	jobs      map[query.AttemptID]*job
	finished  bool
	admitted  bool // by the admission controller
	ticket    admission.Ticket
	recorded  bool                                    // counted in the figures
	onOutcome func(a scatter.Action, o query.Outcome) // if set, called with every outcome before the machine
	onFinish  func(query.Answer)                      // if set, called with the answer instead of Driver.finish
	nextWake  time.Time                               // earliest scheduled wake-up; zero if none
}

func newEntry(d *Driver, domain int) *entry {
	e := &entry{
		driver: d, domain: domain, connections: map[query.TargetID]*connection{},
		source: rand.New(rand.NewPCG(d.source.Uint64(), d.source.Uint64())),
	}
	e.lastAttempt = query.AttemptID(e.source.Uint64())
	e.admission = admission.New()
	e.random = replica.NewRandom(e.source)
	e.pool = scatter.NewPool(d.scenario.Deployment.FailureDomains[domain], e.source)
	return e
}

// reset sets the state of the entry instance to that after a restart. The next attempt id follows first.
func (e *entry) reset(first query.AttemptID) {
	e.lastAttempt = first
	e.connections = map[query.TargetID]*connection{}
	e.pool = scatter.NewPool(e.driver.scenario.Deployment.FailureDomains[e.domain], e.source)
	e.setTargets(e.driver.targets)
}

func (e *entry) setTargets(targets []query.Target) {
	e.random.SetTargets(targets)
	e.pool.SetTargets(targets)
}

// reportDraining marks a target as draining and, if it was not marked before, reports it to the other
// entry instances, as real instances do.
func (e *entry) reportDraining(id query.TargetID) {
	d := e.driver
	if d.scenario.Baseline || !e.pool.MarkDraining(d.Loop.Now(), id) {
		return
	}
	for _, other := range d.entries {
		if other != e {
			d.Loop.After(d.delay(e.domain, other.domain), func() { other.pool.MarkDraining(d.Loop.Now(), id) })
		}
	}
}

func (e *entry) nextAttempt() query.AttemptID {
	e.lastAttempt++
	return e.lastAttempt
}

// start starts a query unless the admission controller refuses it.
func (e *entry) start(req query.Request, m query.Map, recorded bool) {
	now := e.driver.Loop.Now()
	var ticket admission.Ticket
	admissionEnabled := e.driver.scenario.PriorityShares != nil && !e.driver.scenario.Baseline
	if admissionEnabled {
		var v admission.Verdict
		if ticket, v = e.admission.Admit(now, req.Priority, req.Deadline.Sub(now)); v != admission.Admitted {
			e.driver.recordRefusal(req, recorded)
			return
		}
		req.Overloaded = ticket.Overloaded
	}
	f := &flight{
		entry: e, request: req, version: m.Version, started: e.driver.Loop.Now(), recorded: recorded,
		admitted: admissionEnabled, ticket: ticket,
		jobs: map[query.AttemptID]*job{}, machine: trace.NewMachine(e.machineConfig(req, m), recorder),
	}
	f.perform(f.machine.Start(e.driver.Loop.Now()))
}

func (e *entry) machineConfig(req query.Request, m query.Map) scatter.Config {
	if e.driver.scenario.Baseline {
		return scatter.Config{Request: req, Map: m, Chooser: e.random, NextAttempt: e.nextAttempt}
	}
	return scatter.Config{Request: req, Map: m, Policy: e.pool, NextAttempt: e.nextAttempt}
}

func (f *flight) perform(actions []scatter.Action) {
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			f.send(a)
		case scatter.Cancel:
			f.cancel(a)
		case scatter.Finish:
			f.finished = true
		}
	}
	if f.finished {
		if f.onFinish != nil {
			f.onFinish(f.machine.Answer())
			return
		}
		f.entry.driver.finish(f)
		return
	}
	f.scheduleWake(f.machine.NextWake())
}

// scheduleWake wakes the machine at t unless an earlier wake-up is scheduled.
func (f *flight) scheduleWake(t time.Time) {
	if !f.nextWake.IsZero() && !t.Before(f.nextWake) {
		return
	}
	f.nextWake = t
	loop := f.entry.driver.Loop
	loop.At(t, func() {
		if f.finished || !f.nextWake.Equal(t) {
			return
		}
		f.nextWake = time.Time{}
		f.perform(f.machine.OnWake(loop.Now()))
	})
}

func (f *flight) receive(sent query.AttemptID, r query.Reply) {
	if f.finished {
		f.entry.driver.stats.lateReplies++
		return
	}
	if j := f.jobs[sent]; j != nil && r.Attempt == sent && r.Outcome == query.OutcomeDraining {
		f.entry.reportDraining(j.target)
	}
	f.perform(f.machine.OnReply(f.entry.driver.Loop.Now(), sent, r))
}

// send sends an attempt to its target, over a new connection if none is open.
func (f *flight) send(a scatter.Action) {
	e, d := f.entry, f.entry.driver
	s := d.searchers[a.Target]
	if f.recorded {
		d.stats.attempts++
	}
	if _, refused := d.refusedRequests[f.request.ID]; refused {
		d.stats.sentAfterRefusal++
	}
	if d.onSend != nil {
		d.onSend(f, a)
	}
	now := d.Loop.Now()
	delay := d.delay(e.domain, s.domain)
	c, connected := e.connections[a.Target]
	if !connected {
		if s.health == crashed {
			d.Loop.After(2*delay, func() { d.deliver(f, a, query.OutcomeNotRun, false) })
			return
		}
		if s.health == silent {
			d.Loop.After(connectTimeout, func() { d.deliver(f, a, query.OutcomeNotRun, false) })
			return
		}
		c = &connection{readyAt: now.Add(2*delay + d.index.ConnectCost)}
		e.connections[a.Target] = c
	}
	if c.readyAt.After(now) {
		delay += c.readyAt.Sub(now)
	}
	f.dispatch(a, s, delay)
}

func (f *flight) dispatch(a scatter.Action, s *searcher, delay time.Duration) {
	e, d := f.entry, f.entry.driver
	j := &job{crashesSearcher: d.crash != nil && f.request.Query == d.crash.poisonText}
	j.target = a.Target
	f.jobs[a.Attempt] = j
	replyDelay := d.delay(e.domain, s.domain)
	j.reply = func(o query.Outcome, cold bool) {
		d.Loop.After(replyDelay, func() {
			if o == query.OutcomeUnknown {
				delete(e.connections, a.Target)
			}
			d.deliver(f, a, o, cold)
		})
	}
	timeLeft := a.TimeLeft
	d.Loop.After(delay, func() {
		j.deadline = d.Loop.Now().Add(timeLeft)
		switch {
		case j.cancelled:
		case s.health == crashed:
			j.finish(query.OutcomeUnknown, false)
		case s.health == silent:
			d.Loop.After(pingTimeout, func() {
				delete(e.connections, a.Target)
				j.finish(query.OutcomeUnknown, false)
			})
		default:
			s.onRequest(j)
		}
	})
}

// cancel resets the stream of an attempt. The target receives the reset after a one-way delay.
func (f *flight) cancel(a scatter.Action) {
	j, ok := f.jobs[a.Attempt]
	if !ok || j.cancelled {
		return
	}
	d := f.entry.driver
	s := d.searchers[a.Target]
	j.cancelled = true
	d.Loop.After(d.delay(f.entry.domain, s.domain), func() { s.abort(j) })
}
