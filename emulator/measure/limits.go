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
	// limitSlots is far above what the rate needs, so that the rate decides.
	limitSlots   = 400
	limitSeconds = 60
	limitService = 20 * time.Millisecond
	limitTick    = 25 * time.Millisecond
	// leaseTime is the time after which a lost lender is replaced.
	leaseTime = 3 * time.Second
)

// limitCase is one course of demand with one fault.
type limitCase struct {
	name string
	// load is the total demand as a part of the limit.
	load  float64
	loss  float64
	fault func(*limitRun)
	// bound is the stated bound on what is admitted in any second, as a part of the limit, before
	// the burst allowance.
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
			r.loop.After(20*time.Second, func() { r.cutOff(limitHolders/2, 10*time.Second) })
		}},
	}
}

func runLimitBound(seed uint64) Report {
	r := NewReport()
	r.Sizes = Figures{"instances": limitHolders, "limit_per_s": limitRate, "virtual_s": limitSeconds}
	for _, c := range limitCases() {
		static := newLimitRun(c, seed, true).run()
		lent := newLimitRun(c, seed, false).run()
		add(r.Baseline, c.name, static)
		add(r.Result, c.name, lent)
		r.ResultAtMost(c.name+"/worst_second_above_bound", 0)
	}
	r.ResultAtMost("room/refused_with_room_share", 0.005)
	r.ResultAtLeast("saturated/use", 0.97)
	return r
}

// limitHolder is one instance with its stream of requests.
type limitHolder struct {
	holder      *trace.Holder
	pausedUntil time.Time
	cutUntil    time.Time
	lost        bool
}

type limitRun struct {
	c       limitCase
	static  bool
	loop    *Loop
	source  *rand.Rand
	lender  *trace.Lender // nil while there is none
	epoch   uint64
	holders []*limitHolder
	// recorder is nil for the baseline, whose loans no lender lent.
	recorder *trace.Recorder

	admittedAt []time.Time
	refused    int
	withRoom   int
	offered    int
}

func newLimitRun(c limitCase, seed uint64, static bool) *limitRun {
	r := &limitRun{c: c, static: static, loop: NewLoop(), source: rand.New(rand.NewPCG(seed, 1)), epoch: 1}
	if !static {
		r.recorder = recorder
	}
	limit := share.Amount{Rate: limitRate, Concurrency: limitSlots}
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
		r.loop.After(0, func() { r.arrive(i, h) })
	}
	if r.c.fault != nil {
		r.c.fault(r)
	}
	r.loop.Run()
	return r.figures()
}

// grantStatic gives an equal part of the limit for good, which is the baseline.
func (r *limitRun) grantStatic(h *limitHolder) {
	lendable := share.Lendable(share.Amount{Rate: limitRate, Concurrency: limitSlots})
	loan := share.Loan{ID: share.LoanID{Epoch: 1, Number: 1}, Duration: time.Hour, Amount: share.Amount{
		Rate: lendable.Rate / limitHolders, Concurrency: lendable.Concurrency / limitHolders,
	}}
	h.holder.OnLoan(r.loop.Now(), r.loop.Now(), loan)
}

// demandAt moves the demand from the first half of the instances to the second: within a minute
// the second half grows from a tenth of the whole to nine tenths.
func (r *limitRun) demandAt(i int) float64 {
	progress := min(1, r.loop.Elapsed().Seconds()/limitSeconds)
	second := 0.1 + 0.8*progress
	if i < limitHolders/2 {
		return r.c.load * limitRate * (1 - second) / (limitHolders / 2)
	}
	return r.c.load * limitRate * second / (limitHolders / 2)
}

func (r *limitRun) arrive(i int, h *limitHolder) {
	if r.loop.Elapsed() >= limitSeconds*time.Second || h.lost {
		return
	}
	now := r.loop.Now()
	if now.Before(h.pausedUntil) {
		r.loop.At(h.pausedUntil, func() { r.arrive(i, h) })
		return
	}
	r.request(h, now)
	gap := time.Duration(r.source.ExpFloat64() / r.demandAt(i) * float64(time.Second))
	r.loop.After(gap, func() { r.arrive(i, h) })
}

func (r *limitRun) request(h *limitHolder, now time.Time) {
	r.offered++
	if ok, _ := h.holder.Admit(now); !ok {
		r.refused++
		if float64(r.admittedSince(now.Add(-time.Second))) < limitRate*0.99 {
			r.withRoom++
		}
		return
	}
	r.admittedAt = append(r.admittedAt, now)
	r.loop.After(limitService, func() { h.holder.Done() })
}

func (r *limitRun) admittedSince(t time.Time) int {
	n := 0
	for i := len(r.admittedAt) - 1; i >= 0 && r.admittedAt[i].After(t); i-- {
		n++
	}
	return n
}

func (r *limitRun) tick(h *limitHolder) {
	if r.static || h.lost || r.loop.Elapsed() >= limitSeconds*time.Second {
		return
	}
	now := r.loop.Now()
	r.loop.At(later(now.Add(limitTick), h.pausedUntil), func() { r.tick(h) })
	ask, due := h.holder.NextLoanRequest(now)
	if !due || r.dropped(h) {
		return
	}
	r.loop.After(r.delay(), func() { r.onAsk(h, ask, now) })
}

func (r *limitRun) onAsk(h *limitHolder, ask share.LoanRequest, sent time.Time) {
	if r.lender == nil || r.dropped(h) {
		return
	}
	loan := r.lender.OnLoanRequest(r.loop.Now(), ask)
	arrives := later(r.loop.Now().Add(r.delay()), h.pausedUntil)
	r.loop.At(arrives, func() {
		if !r.dropped(h) {
			h.holder.OnLoan(sent, r.loop.Now(), loan)
		}
	})
}

func (r *limitRun) dropped(h *limitHolder) bool {
	return r.loop.Now().Before(h.cutUntil) || r.source.Float64() < r.c.loss
}

// delay is between 4 and 12 ms, the one-way delays between failure domains and regions.
func (r *limitRun) delay() time.Duration {
	return 4*time.Millisecond + time.Duration(r.source.Float64()*float64(8*time.Millisecond))
}

func (r *limitRun) pause(i int, d time.Duration) { r.holders[i].pausedUntil = r.loop.Now().Add(d) }

func (r *limitRun) cutOff(n int, d time.Duration) {
	for _, h := range r.holders[:n] {
		h.cutUntil = r.loop.Now().Add(d)
	}
}

func (r *limitRun) replaceLender() {
	r.lender = nil
	r.loop.After(leaseTime, func() {
		r.epoch++
		limit := share.Amount{Rate: limitRate, Concurrency: limitSlots}
		r.lender = trace.NewLender(r.c.name, limit, r.epoch, r.loop.Now(), true, r.recorder)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// figures looks at every window of a second that ends with an admitted request.
func (r *limitRun) figures() Figures {
	worst, first := 0, 0
	for last, t := range r.admittedAt {
		for !r.admittedAt[first].After(t.Add(-time.Second)) {
			first++
		}
		worst = max(worst, last-first+1)
	}
	allowed := r.c.bound*limitRate + limitRate*share.BurstWindow.Seconds() + limitHolders
	usable := math.Min(1, r.c.load) * limitRate * limitSeconds
	return Figures{
		"worst_second_share":       float64(worst) / limitRate,
		"worst_second_above_bound": math.Max(0, float64(worst)-allowed),
		"use":                      float64(len(r.admittedAt)) / usable,
		"refused_share":            float64(r.refused) / float64(r.offered),
		"refused_with_room_share":  float64(r.withRoom) / float64(r.offered),
	}
}
