package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hyssopcroft.example/control/claim"
)

const (
	creditDeadline  = 5 * time.Second
	claimTimeout    = 2500 * time.Millisecond
	routeRetryDelay = 250 * time.Millisecond
	routeAttempts   = 8
	peerDelay       = 4 * time.Millisecond // one way
	// maxMembershipLag bounds how late an instance learns that another one came or went.
	maxMembershipLag     = 5 * time.Second
	meanCreditService    = 10 * time.Millisecond
	maxLateRunDelay      = 10 * time.Second
	maxCreditSubmissions = 5
	maxResendDelay       = 2 * time.Second
)

// claimFaults are the shares and periods of the faults of a run.
type claimFaults struct {
	lostAnswerShare float64 // of store calls, forwards and targets, each
	lateEffectShare float64 // of store writes and of runs at targets
	refusalShare    float64 // of runs at targets
	replaceInterval time.Duration
	pauseInterval   time.Duration
	outageInterval  time.Duration
	outageDuration  time.Duration
}

// claimScenario is one run of many credits.
type claimScenario struct {
	Credits   int
	Rate      float64 // new credits per second
	Instances int
	// MaxWriteRate is the ceiling of store writes per second, 0 for none.
	MaxWriteRate float64
	Faults       claimFaults
	Baseline     bool
	Seed         uint64
}

// executor is one instance as a caller sees it.
type executor interface {
	// submit answers a submission by a call of respond, unless the instance dies first.
	submit(k claim.Key, first bool, respond func(claim.Answer))
}

// claimRun runs the credits of a scenario.
type claimRun struct {
	loop        *Loop
	source      *rand.Rand
	scenario    claimScenario
	store       *claimStore
	instances   []*claimInstance
	members     []string
	startCount  int
	credits     []*credit
	byKey       map[claim.Key]*credit
	openCredits int
	unanswered  int             // submissions that a running instance left without an answer
	latencies   []time.Duration // from the first submission to the answer that ends it
}

// credit is what the oracle knows of one credit.
type credit struct {
	key         claim.Key
	submissions int
	started     time.Time
	runs        int
	lastAnswer  claim.Answer
	lastNotRun  bool // told "not run" with no submission since
	finalNotRun bool // told that it will never run
	falseNotRun bool // told "not run" although it ran or ran later without a new submission
	falseDone   bool // told to have run although it had not
	ended       bool
}

func newClaimRun(sc claimScenario) *claimRun {
	loop := NewLoop()
	w := &claimRun{
		loop: loop, source: rand.New(rand.NewPCG(sc.Seed, 1)), scenario: sc, byKey: map[claim.Key]*credit{},
		store: newClaimStore(loop, rand.New(rand.NewPCG(sc.Seed, 2))),
	}
	w.store.lostAnswerShare, w.store.lateEffectShare = sc.Faults.lostAnswerShare, sc.Faults.lateEffectShare
	if sc.MaxWriteRate > 0 {
		w.store.writeInterval = time.Duration(float64(time.Second) / sc.MaxWriteRate)
	}
	for i := range sc.Instances {
		id := "i" + strconv.Itoa(i)
		w.members = append(w.members, id)
	}
	for i, id := range w.members {
		w.instances = append(w.instances, w.startInstance(i, id))
	}
	return w
}

// run runs all credits and returns when each has an end and all late effects have happened.
func (w *claimRun) run() {
	w.openCredits = w.scenario.Credits
	at := time.Duration(0)
	for n := range w.scenario.Credits {
		at += time.Duration(w.source.ExpFloat64() / w.scenario.Rate * float64(time.Second))
		w.loop.After(at, func() { w.newCredit(n) })
	}
	w.scheduleFaults()
	w.loop.Run()
}

func (w *claimRun) newCredit(n int) {
	c := &credit{key: claim.Key(fmt.Sprintf("%d-%d", w.loop.Now().UnixMilli(), n)), started: w.loop.Now()}
	w.credits = append(w.credits, c)
	w.byKey[c.key] = c
	w.submit(c)
}

// submit sends a credit through a random instance and sends it again while its end is unknown.
func (w *claimRun) submit(c *credit) {
	c.submissions++
	c.lastNotRun = false
	answered := false
	number := c.submissions
	respondOnce := func(a claim.Answer) {
		if !answered {
			answered = true
			w.onAnswer(c, number, a)
		}
	}
	i := w.instances[w.source.IntN(len(w.instances))]
	w.loop.After(peerDelay, func() {
		w.executor(i).submit(c.key, number == 1, func(a claim.Answer) { w.loop.After(peerDelay, func() { respondOnce(a) }) })
	})
	// The caller gives up after the deadline. Only an instance that died or paused may leave it so.
	begin := w.loop.Now()
	w.loop.After(creditDeadline+time.Second, func() {
		if !answered && !i.dead && i.pausedUntil.Before(begin) {
			w.unanswered++
		}
		respondOnce(claim.Answer{State: claim.Unknown})
	})
}

func (w *claimRun) executor(i *claimInstance) executor {
	if w.scenario.Baseline {
		return &perKeyExecutor{i}
	}
	return i
}

func (w *claimRun) onAnswer(c *credit, number int, a claim.Answer) {
	c.lastAnswer = a
	final := a.State == claim.Done || (a.State == claim.NotRun && a.Reason <= claim.ReasonTarget)
	if a.State == claim.NotRun {
		c.falseNotRun = c.falseNotRun || c.runs > 0
		c.finalNotRun = c.finalNotRun || final
		c.lastNotRun = number == c.submissions
	}
	if a.State == claim.Done && c.runs == 0 {
		c.falseDone = true
	}
	if final || number == maxCreditSubmissions {
		c.ended = true
		w.openCredits--
		w.latencies = append(w.latencies, w.loop.Now().Sub(c.started))
		return
	}
	wait := time.Duration(w.source.Int64N(int64(maxResendDelay)))
	w.loop.After(wait, func() { w.submit(c) })
}

// recordRun counts a run of a credit and checks it against what its caller has been told.
func (w *claimRun) recordRun(k claim.Key) {
	c := w.byKey[k]
	c.runs++
	c.falseNotRun = c.falseNotRun || c.finalNotRun || c.lastNotRun
}

// sendToTarget runs a credit once and tells the sender what becomes of it.
func (w *claimRun) sendToTarget(k claim.Key, respond func(claim.State)) {
	f := w.scenario.Faults
	service := time.Duration(w.source.ExpFloat64() * float64(meanCreditService))
	p := w.source.Float64()
	switch {
	case p < f.refusalShare:
		w.loop.After(service, func() { respond(claim.NotRun) })
	case p < f.refusalShare+f.lostAnswerShare:
		w.loop.After(service, func() { w.recordRun(k) })
		w.loop.After(creditDeadline, func() { respond(claim.Unknown) })
	case p < f.refusalShare+2*f.lostAnswerShare:
		w.loop.After(creditDeadline, func() { respond(claim.Unknown) })
	case p < f.refusalShare+2*f.lostAnswerShare+f.lateEffectShare:
		w.loop.After(creditDeadline, func() { respond(claim.Unknown) })
		w.loop.After(time.Duration(w.source.Int64N(int64(maxLateRunDelay))), func() { w.recordRun(k) })
	default:
		w.loop.After(service, func() { w.recordRun(k); respond(claim.Done) })
	}
}

// scheduleFaults repeats the faults of the scenario while credits are open.
func (w *claimRun) scheduleFaults() {
	f := w.scenario.Faults
	w.scheduleFault(f.replaceInterval, w.replaceInstance)
	w.scheduleFault(f.pauseInterval, func() {
		i := w.instances[w.source.IntN(len(w.instances))]
		i.pausedUntil = w.loop.Now().Add(time.Duration(w.source.Int64N(int64(2 * creditDeadline))))
	})
	w.scheduleFault(f.outageInterval, func() {
		w.store.unavailable = true
		w.loop.After(f.outageDuration, func() { w.store.unavailable = false })
	})
}

func (w *claimRun) scheduleFault(interval time.Duration, fault func()) {
	if interval == 0 {
		return
	}
	w.loop.After(time.Duration(w.source.Int64N(int64(2*interval))), func() {
		if w.openCredits > 0 {
			fault()
			w.scheduleFault(interval, fault)
		}
	})
}

// replaceInstance kills an instance and starts another one under the same id, which the others notice late.
func (w *claimRun) replaceInstance() {
	n := w.source.IntN(len(w.instances))
	old := w.instances[n]
	if old.dead {
		return
	}
	old.dead = true
	w.members = slices.DeleteFunc(slices.Clone(w.members), func(id string) bool { return id == old.id })
	w.propagateMembers()
	w.loop.After(time.Duration(w.source.Int64N(int64(maxMembershipLag))), func() {
		w.members = append(slices.Clone(w.members), old.id)
		w.instances[n] = w.startInstance(n, old.id)
		w.propagateMembers()
	})
}

func (w *claimRun) propagateMembers() {
	live := w.members
	for _, i := range w.instances {
		lag := time.Duration(w.source.Int64N(int64(maxMembershipLag)))
		w.loop.After(lag, func() { i.setMembers(live) })
	}
}
