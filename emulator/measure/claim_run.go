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
	// maxMembershipLag bounds the delay until an instance sees that another one joined or left.
	maxMembershipLag     = 5 * time.Second
	meanCreditService    = 10 * time.Millisecond
	maxLateRunDelay      = 10 * time.Second
	maxCreditSubmissions = 5
	maxResendDelay       = 2 * time.Second
)

// claimFaults holds the shares and the mean intervals of the faults of a run. An interval of 0 disables its
// fault.
type claimFaults struct {
	lostAnswerShare float64 // of store writes, of forwards and of runs at targets, each
	lateEffectShare float64 // of store writes and of runs at targets
	refusalShare    float64 // of runs at targets
	replaceInterval time.Duration
	pauseInterval   time.Duration
	outageInterval  time.Duration
	outageDuration  time.Duration
}

// claimScenario describes one run.
type claimScenario struct {
	Credits    int
	CreditRate float64 // new credits per second
	Instances  int
	// MaxWriteRate limits the store writes per second; 0 means no limit.
	MaxWriteRate float64
	Faults       claimFaults
	Baseline     bool
	Seed         uint64
}

// executor is one instance as a caller sees it.
type executor interface {
	// submit answers a submission by calling respond, unless the instance dies first.
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
	unanswered  int             // submissions that an instance did not answer although it neither died nor paused
	latencies   []time.Duration // from the first submission of a credit to the answer that ends it
}

// credit holds the submissions, runs and answers of one credit, which the oracle checks.
type credit struct {
	key         claim.Key
	submissions int
	started     time.Time
	runs        int
	lastAnswer  claim.Answer
	lastNotRun  bool // the latest submission was answered "not run"
	finalNotRun bool // an answer said that it will never run
	falseNotRun bool // an answer said "not run" although it had run or ran later without a new submission
	falseDone   bool // an answer said that it had run although it had not
	ended       bool
}

func newClaimRun(sc claimScenario) *claimRun {
	loop := NewLoop()
	r := &claimRun{
		loop: loop, source: rand.New(rand.NewPCG(sc.Seed, 1)), scenario: sc, byKey: map[claim.Key]*credit{},
		store: newClaimStore(loop, rand.New(rand.NewPCG(sc.Seed, 2))),
	}
	r.store.lostAnswerShare, r.store.lateEffectShare = sc.Faults.lostAnswerShare, sc.Faults.lateEffectShare
	if sc.MaxWriteRate > 0 {
		r.store.writeInterval = time.Duration(float64(time.Second) / sc.MaxWriteRate)
	}
	for n := range sc.Instances {
		id := "i" + strconv.Itoa(n)
		r.members = append(r.members, id)
	}
	for n, id := range r.members {
		r.instances = append(r.instances, r.startInstance(n, id))
	}
	return r
}

// run runs all credits and returns when all have ended and all late effects have happened.
func (r *claimRun) run() {
	r.openCredits = r.scenario.Credits
	arrival := time.Duration(0)
	for n := range r.scenario.Credits {
		arrival += time.Duration(r.source.ExpFloat64() / r.scenario.CreditRate * float64(time.Second))
		r.loop.After(arrival, func() { r.newCredit(n) })
	}
	r.scheduleFaults()
	r.loop.Run()
}

func (r *claimRun) newCredit(n int) {
	c := &credit{key: claim.Key(fmt.Sprintf("%d-%d", r.loop.Now().UnixMilli(), n)), started: r.loop.Now()}
	r.credits = append(r.credits, c)
	r.byKey[c.key] = c
	r.submit(c)
}

// submit sends a credit through a random instance and resends it while its outcome is unknown.
func (r *claimRun) submit(c *credit) {
	c.submissions++
	c.lastNotRun = false
	answered := false
	number := c.submissions
	respondOnce := func(a claim.Answer) {
		if !answered {
			answered = true
			r.onAnswer(c, number, a)
		}
	}
	i := r.instances[r.source.IntN(len(r.instances))]
	r.loop.After(peerDelay, func() {
		r.executor(i).submit(c.key, number == 1, func(a claim.Answer) { r.loop.After(peerDelay, func() { respondOnce(a) }) })
	})
	// The caller stops waiting after the deadline. Only an instance that died or paused may leave a
	// submission unanswered.
	begin := r.loop.Now()
	r.loop.After(creditDeadline+time.Second, func() {
		if !answered && !i.dead && i.pausedUntil.Before(begin) {
			r.unanswered++
		}
		respondOnce(claim.Answer{State: claim.Unknown})
	})
}

func (r *claimRun) executor(i *claimInstance) executor {
	if r.scenario.Baseline {
		return &perKeyExecutor{i}
	}
	return i
}

func (r *claimRun) onAnswer(c *credit, number int, a claim.Answer) {
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
		r.openCredits--
		r.latencies = append(r.latencies, r.loop.Now().Sub(c.started))
		return
	}
	wait := time.Duration(r.source.Int64N(int64(maxResendDelay)))
	r.loop.After(wait, func() { r.submit(c) })
}

// recordRun counts a run of a credit and checks it against the answers that its caller has received.
func (r *claimRun) recordRun(k claim.Key) {
	c := r.byKey[k]
	c.runs++
	c.falseNotRun = c.falseNotRun || c.finalNotRun || c.lastNotRun
}

// sendToTarget runs a credit at the target, at most once, and reports the outcome to the sender.
func (r *claimRun) sendToTarget(k claim.Key, respond func(claim.State)) {
	f := r.scenario.Faults
	service := time.Duration(r.source.ExpFloat64() * float64(meanCreditService))
	p := r.source.Float64()
	switch {
	case p < f.refusalShare:
		r.loop.After(service, func() { respond(claim.NotRun) })
	case p < f.refusalShare+f.lostAnswerShare:
		r.loop.After(service, func() { r.recordRun(k) })
		r.loop.After(creditDeadline, func() { respond(claim.Unknown) })
	case p < f.refusalShare+2*f.lostAnswerShare:
		r.loop.After(creditDeadline, func() { respond(claim.Unknown) })
	case p < f.refusalShare+2*f.lostAnswerShare+f.lateEffectShare:
		r.loop.After(creditDeadline, func() { respond(claim.Unknown) })
		r.loop.After(time.Duration(r.source.Int64N(int64(maxLateRunDelay))), func() { r.recordRun(k) })
	default:
		r.loop.After(service, func() { r.recordRun(k); respond(claim.Done) })
	}
}

// scheduleFaults schedules the faults of the scenario, which repeat while credits are open.
func (r *claimRun) scheduleFaults() {
	f := r.scenario.Faults
	r.scheduleFault(f.replaceInterval, r.replaceInstance)
	r.scheduleFault(f.pauseInterval, func() {
		i := r.instances[r.source.IntN(len(r.instances))]
		i.pausedUntil = r.loop.Now().Add(time.Duration(r.source.Int64N(int64(2 * creditDeadline))))
	})
	r.scheduleFault(f.outageInterval, func() {
		r.store.unavailable = true
		r.loop.After(f.outageDuration, func() { r.store.unavailable = false })
	})
}

func (r *claimRun) scheduleFault(interval time.Duration, fault func()) {
	if interval == 0 {
		return
	}
	r.loop.After(time.Duration(r.source.Int64N(int64(2*interval))), func() {
		if r.openCredits > 0 {
			fault()
			r.scheduleFault(interval, fault)
		}
	})
}

// replaceInstance kills an instance and starts another one with the same id. The other instances see
// both changes late.
func (r *claimRun) replaceInstance() {
	n := r.source.IntN(len(r.instances))
	old := r.instances[n]
	if old.dead {
		return
	}
	old.dead = true
	r.members = slices.DeleteFunc(slices.Clone(r.members), func(id string) bool { return id == old.id })
	r.propagateMembers()
	r.loop.After(time.Duration(r.source.Int64N(int64(maxMembershipLag))), func() {
		r.members = append(slices.Clone(r.members), old.id)
		r.instances[n] = r.startInstance(n, old.id)
		r.propagateMembers()
	})
}

func (r *claimRun) propagateMembers() {
	members := r.members
	for _, i := range r.instances {
		lag := time.Duration(r.source.Int64N(int64(maxMembershipLag)))
		r.loop.After(lag, func() { i.setMembers(members) })
	}
}
