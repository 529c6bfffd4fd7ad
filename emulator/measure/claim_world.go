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
	creditDeadline = 5 * time.Second
	claimWait      = 2500 * time.Millisecond
	routeRetry     = 250 * time.Millisecond
	routeAttempts  = 8
	peerDelay      = 4 * time.Millisecond // one way
	// longestViewLag bounds how late an instance learns that another one came or went.
	longestViewLag  = 5 * time.Second
	creditService   = 10 * time.Millisecond
	longestLateRun  = 10 * time.Second
	creditResends   = 5
	longestResendIn = 2 * time.Second
)

// claimFaults are the shares and periods of the faults of a run.
type claimFaults struct {
	loseAnswer   float64 // of store calls, forwards and targets, each
	lateEffect   float64 // of store writes and of runs at targets
	refuse       float64 // of runs at targets
	replaceEvery time.Duration
	pauseEvery   time.Duration
	outageEvery  time.Duration
	outage       time.Duration
}

// claimScenario is one run of many credits.
type claimScenario struct {
	Credits   int
	Rate      float64 // new credits per second
	Instances int
	// Writes is the ceiling of store writes per second, 0 for none.
	Writes   float64
	Faults   claimFaults
	Baseline bool
	Seed     uint64
}

// executor is one instance as a caller sees it.
type executor interface {
	// submit answers a submission by a call of respond, unless the instance dies first.
	submit(k claim.Key, first bool, respond func(claim.Answer))
}

// claimWorld runs the credits of a scenario.
type claimWorld struct {
	loop      *Loop
	source    *rand.Rand
	scenario  claimScenario
	store     *claimStore
	instances []*claimInstance
	live      []string
	starts    int
	credits   []*creditRun
	byKey     map[claim.Key]*creditRun
	open      int
	silent    int             // submissions that a running instance left without an answer
	took      []time.Duration // from the first submission to the answer that ends it
}

// creditRun is what the oracle knows of one credit.
type creditRun struct {
	key         claim.Key
	submissions int
	begin       time.Time
	runs        int
	last        claim.Answer
	refusedLast bool // told "not run" with no submission since
	neverRun    bool // told that it will never run
	saidNotRun  bool // told "not run" although it ran or ran later without a new submission
	saidDone    bool // told to have run although it had not
	ended       bool
}

func newClaimWorld(sc claimScenario) *claimWorld {
	loop := NewLoop()
	w := &claimWorld{
		loop: loop, source: rand.New(rand.NewPCG(sc.Seed, 1)), scenario: sc, byKey: map[claim.Key]*creditRun{},
		store: newClaimStore(loop, rand.New(rand.NewPCG(sc.Seed, 2))),
	}
	w.store.loseAnswer, w.store.lateEffect = sc.Faults.loseAnswer, sc.Faults.lateEffect
	if sc.Writes > 0 {
		w.store.gap = time.Duration(float64(time.Second) / sc.Writes)
	}
	for i := range sc.Instances {
		id := "i" + strconv.Itoa(i)
		w.live = append(w.live, id)
	}
	for i, id := range w.live {
		w.instances = append(w.instances, w.startInstance(i, id))
	}
	return w
}

// run runs all credits and returns when each has an end and all late effects have happened.
func (w *claimWorld) run() {
	w.open = w.scenario.Credits
	at := time.Duration(0)
	for n := range w.scenario.Credits {
		at += time.Duration(w.source.ExpFloat64() / w.scenario.Rate * float64(time.Second))
		w.loop.After(at, func() { w.newCredit(n) })
	}
	w.scheduleFaults()
	w.loop.Run()
}

func (w *claimWorld) newCredit(n int) {
	c := &creditRun{key: claim.Key(fmt.Sprintf("%d-%d", w.loop.Now().UnixMilli(), n)), begin: w.loop.Now()}
	w.credits = append(w.credits, c)
	w.byKey[c.key] = c
	w.submit(c)
}

// submit sends a credit through a random instance and sends it again while its end is unknown.
func (w *claimWorld) submit(c *creditRun) {
	c.submissions++
	c.refusedLast = false
	answered := false
	number := c.submissions
	answer := func(a claim.Answer) {
		if !answered {
			answered = true
			w.answered(c, number, a)
		}
	}
	i := w.instances[w.source.IntN(len(w.instances))]
	w.loop.After(peerDelay, func() {
		w.executor(i).submit(c.key, number == 1, func(a claim.Answer) { w.loop.After(peerDelay, func() { answer(a) }) })
	})
	// The caller gives up after the deadline. Only an instance that died or paused may leave it so.
	begin := w.loop.Now()
	w.loop.After(creditDeadline+time.Second, func() {
		if !answered && !i.dead && i.pausedUntil.Before(begin) {
			w.silent++
		}
		answer(claim.Answer{State: claim.Unknown})
	})
}

func (w *claimWorld) executor(i *claimInstance) executor {
	if w.scenario.Baseline {
		return &perKey{i}
	}
	return i
}

func (w *claimWorld) answered(c *creditRun, number int, a claim.Answer) {
	c.last = a
	final := a.State == claim.Done || (a.State == claim.NotRun && a.Reason <= claim.ReasonTarget)
	if a.State == claim.NotRun {
		c.saidNotRun = c.saidNotRun || c.runs > 0
		c.neverRun = c.neverRun || final
		c.refusedLast = number == c.submissions
	}
	if a.State == claim.Done && c.runs == 0 {
		c.saidDone = true
	}
	if final || number == creditResends {
		c.ended = true
		w.open--
		w.took = append(w.took, w.loop.Now().Sub(c.begin))
		return
	}
	wait := time.Duration(w.source.Int64N(int64(longestResendIn)))
	w.loop.After(wait, func() { w.submit(c) })
}

// ranAt counts a run of a credit and checks it against what its caller has been told.
func (w *claimWorld) ranAt(k claim.Key) {
	c := w.byKey[k]
	c.runs++
	c.saidNotRun = c.saidNotRun || c.neverRun || c.refusedLast
}

// target runs a credit once and tells the sender what becomes of it.
func (w *claimWorld) target(k claim.Key, respond func(claim.State)) {
	f := w.scenario.Faults
	service := time.Duration(w.source.ExpFloat64() * float64(creditService))
	p := w.source.Float64()
	switch {
	case p < f.refuse:
		w.loop.After(service, func() { respond(claim.NotRun) })
	case p < f.refuse+f.loseAnswer:
		w.loop.After(service, func() { w.ranAt(k) })
		w.loop.After(creditDeadline, func() { respond(claim.Unknown) })
	case p < f.refuse+2*f.loseAnswer:
		w.loop.After(creditDeadline, func() { respond(claim.Unknown) })
	case p < f.refuse+2*f.loseAnswer+f.lateEffect:
		w.loop.After(creditDeadline, func() { respond(claim.Unknown) })
		w.loop.After(time.Duration(w.source.Int64N(int64(longestLateRun))), func() { w.ranAt(k) })
	default:
		w.loop.After(service, func() { w.ranAt(k); respond(claim.Done) })
	}
}

// scheduleFaults repeats the faults of the scenario while credits are open.
func (w *claimWorld) scheduleFaults() {
	f := w.scenario.Faults
	w.repeat(f.replaceEvery, w.replace)
	w.repeat(f.pauseEvery, func() {
		i := w.instances[w.source.IntN(len(w.instances))]
		i.pausedUntil = w.loop.Now().Add(time.Duration(w.source.Int64N(int64(2 * creditDeadline))))
	})
	w.repeat(f.outageEvery, func() {
		w.store.away = true
		w.loop.After(f.outage, func() { w.store.away = false })
	})
}

func (w *claimWorld) repeat(every time.Duration, fault func()) {
	if every == 0 {
		return
	}
	w.loop.After(time.Duration(w.source.Int64N(int64(2*every))), func() {
		if w.open > 0 {
			fault()
			w.repeat(every, fault)
		}
	})
}

// replace kills an instance and starts another one under the same id, which the others notice late.
func (w *claimWorld) replace() {
	n := w.source.IntN(len(w.instances))
	old := w.instances[n]
	if old.dead {
		return
	}
	old.dead = true
	w.live = slices.DeleteFunc(slices.Clone(w.live), func(id string) bool { return id == old.id })
	w.spreadViews()
	w.loop.After(time.Duration(w.source.Int64N(int64(longestViewLag))), func() {
		w.live = append(slices.Clone(w.live), old.id)
		w.instances[n] = w.startInstance(n, old.id)
		w.spreadViews()
	})
}

func (w *claimWorld) spreadViews() {
	live := w.live
	for _, i := range w.instances {
		lag := time.Duration(w.source.Int64N(int64(longestViewLag)))
		w.loop.After(lag, func() { i.setView(live) })
	}
}
