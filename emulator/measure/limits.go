package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/share"
)

func init() {
	Register(Measure{
		Name:    "limit-bound",
		Summary: "a plan's limit over the fleet under moving demand and faults, against equal static shares",
		Run:     runLimitBound,
	})
}

const (
	limitHolders = 8
	limitRate    = 2000.0
	// limitConcurrency is far above what the rate requires, so that the rate is the effective limit.
	limitConcurrency  = 400
	limitSeconds      = 60
	limitService      = 20 * time.Millisecond
	limitTickInterval = 25 * time.Millisecond
	// leaseDuration is the lease of the lender: a lost lender is replaced after this time.
	leaseDuration = 3 * time.Second
)

// limitCase is a case with one level of demand and at most one fault.
type limitCase struct {
	name string
	// load is the total demand as a multiple of the limit.
	load  float64
	loss  float64 // share of messages that are lost
	fault func(*limitRun)
	// bound is the stated bound on the requests admitted in any second, as a multiple of the limit,
	// without the burst allowance.
	bound float64
}

func limitCases() []limitCase {
	return []limitCase{
		{name: "room", load: 0.8, bound: 1},
		{name: "saturated", load: 1.5, bound: 1},
		{name: "loss", load: 1.5, loss: 0.2, bound: 1},
		{name: "pause", load: 1.5, bound: 1, fault: func(r *limitRun) {
			r.loop.After(20*time.Second, func() { r.pause(0, 5*time.Second) })
		}},
		{name: "instance-loss", load: 1.5, bound: 1, fault: func(r *limitRun) {
			r.loop.After(20*time.Second, func() { r.holders[0].lost = true })
		}},
		{name: "lender-loss", load: 1.5, bound: 1, fault: func(r *limitRun) {
			r.loop.After(20*time.Second, func() { r.replaceLender() })
		}},
		{name: "cut-off", load: 1.5, bound: 1, fault: func(r *limitRun) {
			r.loop.After(20*time.Second, func() { r.partition(limitHolders/2, 10*time.Second) })
		}},
	}
}

func runLimitBound(seed uint64) Report {
	r := NewReport()
	r.Sizes = Figures{"instances": limitHolders, "limit_per_s": limitRate, "virtual_s": limitSeconds}
	for _, c := range limitCases() {
		static := newLimitRun(c, seed, true).run()
		lent := newLimitRun(c, seed, false).run()
		addCase(r.Baseline, c.name, static)
		addCase(r.Result, c.name, lent)
		r.ResultAtMost(c.name+"/worst_second_above_bound", 0)
	}
	r.ResultAtMost("room/refused_with_room_share", 0.005)
	r.ResultAtLeast("saturated/use", 0.97)
	return r
}

// limitHolder models an instance with its stream of requests.
type limitHolder struct {
	holder           *trace.Holder
	pausedUntil      time.Time
	partitionedUntil time.Time
	lost             bool
}

type limitRun struct {
	c       limitCase
	static  bool
	loop    *Loop
	source  *rand.Rand
	lender  *trace.Lender // nil while it is lost
	epoch   uint64
	holders []*limitHolder
	// recorder is nil for the baseline, whose loans do not come from a lender.
	recorder *trace.Recorder

	admissionTimes  []time.Time
	refused         int
	refusedWithRoom int
	offered         int
}

func newLimitRun(c limitCase, seed uint64, static bool) *limitRun {
	r := &limitRun{c: c, static: static, loop: NewLoop(), source: rand.New(rand.NewPCG(seed, 1)), epoch: 1}
	if !static {
		r.recorder = recorder
	}
	limit := share.Amount{Rate: limitRate, Concurrency: limitConcurrency}
	r.lender = trace.NewLender(c.name, limit, r.epoch, r.loop.Now(), false, r.recorder)
	for i := range limitHolders {
		name := string(rune('a' + i))
		h := &limitHolder{holder: trace.NewHolder(c.name, name, limit, limitHolders, r.loop.Now(), r.recorder)}
		r.holders = append(r.holders, h)
	}
	return r
}

func (r *limitRun) run() Figures {
	for i, h := range r.holders {
		if r.static {
			r.grantStatic(h)
		}
		r.loop.After(0, func() { r.tick(h) })
		r.loop.After(0, func() { r.onArrival(i, h) })
	}
	if r.c.fault != nil {
		r.c.fault(r)
	}
	r.loop.Run()
	return r.figures()
}

// grantStatic grants an equal part of the limit for the whole run, as the baseline does.
func (r *limitRun) grantStatic(h *limitHolder) {
	lendable := share.Lendable(share.Amount{Rate: limitRate, Concurrency: limitConcurrency})
	loan := share.Loan{ID: share.LoanID{Epoch: 1, Number: 1}, Duration: time.Hour, Amount: share.Amount{
		Rate: lendable.Rate / limitHolders, Concurrency: lendable.Concurrency / limitHolders,
	}}
	h.holder.OnLoan(r.loop.Now(), r.loop.Now(), loan)
}

// demandAt returns the current demand at an instance in requests per second. The demand moves from the
// first half of the instances to the second, whose share grows from 0.1 to 0.9 within limitSeconds.
func (r *limitRun) demandAt(i int) float64 {
	progress := min(1, r.loop.Elapsed().Seconds()/limitSeconds)
	second := 0.1 + 0.8*progress
	if i < limitHolders/2 {
		return r.c.load * limitRate * (1 - second) / (limitHolders / 2)
	}
	return r.c.load * limitRate * second / (limitHolders / 2)
}

func (r *limitRun) onArrival(i int, h *limitHolder) {
	if r.loop.Elapsed() >= limitSeconds*time.Second || h.lost {
		return
	}
	now := r.loop.Now()
	if now.Before(h.pausedUntil) {
		r.loop.At(h.pausedUntil, func() { r.onArrival(i, h) })
		return
	}
	r.handleRequest(h, now)
	gap := time.Duration(r.source.ExpFloat64() / r.demandAt(i) * float64(time.Second))
	r.loop.After(gap, func() { r.onArrival(i, h) })
}

func (r *limitRun) handleRequest(h *limitHolder, now time.Time) {
	r.offered++
	if ok, _ := h.holder.Admit(now); !ok {
		r.refused++
		if float64(r.admittedSince(now.Add(-time.Second))) < limitRate*0.99 {
			r.refusedWithRoom++
		}
		return
	}
	r.admissionTimes = append(r.admissionTimes, now)
	r.loop.After(limitService, func() { h.holder.Done() })
}

func (r *limitRun) admittedSince(t time.Time) int {
	n := 0
	for i := len(r.admissionTimes) - 1; i >= 0 && r.admissionTimes[i].After(t); i-- {
		n++
	}
	return n
}

func (r *limitRun) tick(h *limitHolder) {
	if r.static || h.lost || r.loop.Elapsed() >= limitSeconds*time.Second {
		return
	}
	now := r.loop.Now()
	r.loop.At(later(now.Add(limitTickInterval), h.pausedUntil), func() { r.tick(h) })
	ask, due := h.holder.NextLoanRequest(now)
	if !due || r.dropsMessage(h) {
		return
	}
	r.loop.After(r.delay(), func() { r.onAsk(h, ask, now) })
}

func (r *limitRun) onAsk(h *limitHolder, ask share.LoanRequest, sent time.Time) {
	if r.lender == nil || r.dropsMessage(h) {
		return
	}
	loan := r.lender.OnLoanRequest(r.loop.Now(), ask)
	arrives := later(r.loop.Now().Add(r.delay()), h.pausedUntil)
	r.loop.At(arrives, func() {
		if !r.dropsMessage(h) {
			h.holder.OnLoan(sent, r.loop.Now(), loan)
		}
	})
}

func (r *limitRun) dropsMessage(h *limitHolder) bool {
	return r.loop.Now().Before(h.partitionedUntil) || r.source.Float64() < r.c.loss
}

// delay returns a random one-way delay between 4 and 12 ms, the delays between failure domains and
// between regions.
func (r *limitRun) delay() time.Duration {
	return 4*time.Millisecond + time.Duration(r.source.Float64()*float64(8*time.Millisecond))
}

func (r *limitRun) pause(i int, d time.Duration) { r.holders[i].pausedUntil = r.loop.Now().Add(d) }

func (r *limitRun) partition(n int, d time.Duration) {
	for _, h := range r.holders[:n] {
		h.partitionedUntil = r.loop.Now().Add(d)
	}
}

func (r *limitRun) replaceLender() {
	r.lender = nil
	r.loop.After(leaseDuration, func() {
		r.epoch++
		limit := share.Amount{Rate: limitRate, Concurrency: limitConcurrency}
		r.lender = trace.NewLender(r.c.name, limit, r.epoch, r.loop.Now(), true, r.recorder)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// figures returns the figures of the run. The maximum is taken over all windows of one second that end
// with an admitted request.
func (r *limitRun) figures() Figures {
	maxInSecond, first := 0, 0
	for last, t := range r.admissionTimes {
		for !r.admissionTimes[first].After(t.Add(-time.Second)) {
			first++
		}
		maxInSecond = max(maxInSecond, last-first+1)
	}
	allowed := r.c.bound*limitRate + limitRate*share.BurstWindow.Seconds() + limitHolders
	usable := math.Min(1, r.c.load) * limitRate * limitSeconds
	return Figures{
		"worst_second_share":       float64(maxInSecond) / limitRate,
		"worst_second_above_bound": math.Max(0, float64(maxInSecond)-allowed),
		"use":                      float64(len(r.admissionTimes)) / usable,
		"refused_share":            float64(r.refused) / float64(r.offered),
		"refused_with_room_share":  float64(r.refusedWithRoom) / float64(r.offered),
	}
}
