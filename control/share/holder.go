package share

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// demandWindow is the time over which demand is counted.
	demandWindow = time.Second
	// leastDemandTime is the shortest time that demand is averaged over, after a time without any.
	leastDemandTime = 50 * time.Millisecond
	// notableShrink is the factor below which a smaller loan is acknowledged early. Smaller changes
	// come with every ask and are not worth a message.
	notableShrink = 0.8
	// idleTime is the time without demand for which a holder keeps a loan, so that a plan in occasional
	// use need not wait for one at each request.
	idleTime = time.Minute
	// waitWhenEmpty is the longest advice to wait for a request that was refused.
	waitWhenEmpty = 100 * time.Millisecond
	// leastWait is the shortest, so that rounding does not make it zero.
	leastWait = time.Millisecond
)

// Holder admits the requests of one plan at one instance. It is not safe for concurrent use. Each
// method takes the time at which it is called, so that a holder that was paused finds out at its
// next use that a loan has ended.
type Holder struct {
	name    string
	limit   Amount
	members int

	loan        Loan
	loanExpires time.Time
	limiter     *rate.Limiter
	limiterRate float64

	inFlight    int
	peak        int // largest number in flight and refused for concurrency since the last ask
	demand      demand
	lastDemand  time.Time
	lastAsk     time.Time
	refusedLast bool // a request was refused since the last ask
	shrank      bool // the latest loan is smaller, and the lender keeps the rest until it is acknowledged
}

// NewHolder returns a holder without a loan for the instance called name in a fleet of the given
// number of members.
func NewHolder(name string, limit Amount, members int, now time.Time) *Holder {
	h := &Holder{name: name, limit: limit, members: members, limiter: rate.NewLimiter(0, 0)}
	h.setRate(now)
	return h
}

// SetLimit changes the plan's limit and the number of members.
func (h *Holder) SetLimit(now time.Time, limit Amount, members int) {
	h.limit, h.members = limit, members
	h.setRate(now)
}

// Admit takes a request in if the holder's part of the limit has room. If not, it returns the time
// after which to try again. Done must be called for every request that was admitted.
func (h *Holder) Admit(now time.Time) (admitted bool, retryAfter time.Duration) {
	h.demand.add(now)
	h.lastDemand = now
	return h.Retry(now)
}

// Retry does what Admit does for a request that was refused before and has waited since. It does
// not count as demand again.
func (h *Holder) Retry(now time.Time) (admitted bool, retryAfter time.Duration) {
	h.settle(now)
	h.peak = max(h.peak, h.inFlight+1)
	if h.inFlight >= h.amount(now).Concurrency || !h.limiter.AllowN(now, 1) {
		h.refusedLast = true
		return false, h.untilRoom(now)
	}
	h.inFlight++
	return true, 0
}

// untilRoom returns the time until the next request fits the rate, waitWhenEmpty at most.
func (h *Holder) untilRoom(now time.Time) time.Duration {
	if h.limiterRate <= 0 || h.inFlight >= h.amount(now).Concurrency {
		return waitWhenEmpty
	}
	missing := 1 - h.limiter.TokensAt(now)
	wait := time.Duration(missing / h.limiterRate * float64(time.Second))
	return min(waitWhenEmpty, max(leastWait, wait))
}

// Done says that an admitted request has ended.
func (h *Holder) Done() {
	if h.inFlight == 0 {
		panic("share: more requests ended than were admitted")
	}
	h.inFlight--
}

// NextAsk returns the message that is due to the lender, or false if none is due yet. A holder
// without demand for idleTime does not ask, and lets its loan end.
func (h *Holder) NextAsk(now time.Time) (Ask, bool) {
	h.settle(now)
	period := AskPeriod
	if h.refusedLast || h.shrank {
		period = EarlyAskPeriod
	}
	want := h.want(now)
	idle := want == Amount{} && !h.refusedLast && (!h.hasLoan() || now.Sub(h.lastDemand) >= idleTime)
	if idle || now.Sub(h.lastAsk) < period {
		return Ask{}, false
	}
	h.lastAsk, h.refusedLast, h.shrank = now, false, false
	h.peak = h.inFlight
	ask := Ask{Holder: h.name, InFlight: h.inFlight, Want: want}
	if h.hasLoan() {
		ask.Using, ask.Held, ask.HeldFor = h.loan.ID, h.loan.Amount, h.loanExpires.Sub(now)
	}
	return ask, true
}

// OnLoan takes the answer to an ask that was sent at the given time. An answer that is older than
// the loan in use, or that has ended on the way, is dropped.
func (h *Holder) OnLoan(sent, now time.Time, loan Loan) {
	h.settle(now)
	expires := sent.Add(loan.Time)
	if loan.ID.Compare(h.loan.ID) <= 0 || !now.Before(expires) {
		return
	}
	h.shrank = loan.Amount.Rate < h.loan.Amount.Rate*notableShrink
	h.loan, h.loanExpires = loan, expires
	h.setRate(now)
}

func (h *Holder) hasLoan() bool { return h.loan.ID != (LoanID{}) }

// InFlight returns the number of admitted requests that have not ended.
func (h *Holder) InFlight() int { return h.inFlight }

// Allowance returns what the holder may use now, the floor included.
func (h *Holder) Allowance(now time.Time) Amount {
	h.settle(now)
	return h.amount(now)
}

// settle ends a loan whose time is over. The rate falls at the moment at which the loan ended, so
// that the time since then counts at the lower rate.
func (h *Holder) settle(now time.Time) {
	if !h.hasLoan() || now.Before(h.loanExpires) {
		return
	}
	ended := h.loanExpires
	h.loan = Loan{}
	h.setRate(ended)
}

func (h *Holder) amount(now time.Time) Amount {
	floor := Floor(h.limit, h.members)
	if !h.hasLoan() || !now.Before(h.loanExpires) {
		return floor
	}
	return floor.plus(h.loan.Amount)
}

func (h *Holder) setRate(at time.Time) {
	r := h.amount(at).Rate
	if r == h.limiterRate {
		return
	}
	h.limiterRate = r
	h.limiter.SetLimitAt(at, rate.Limit(r))
	h.limiter.SetBurstAt(at, burstOf(r))
}

// burstOf returns the requests of BurstTime, at least 1 so that a small rate can be used at all.
func burstOf(r float64) int {
	if r <= 0 {
		return 0
	}
	return max(1, int(math.Floor(r*BurstWindow.Seconds())))
}

func (h *Holder) want(now time.Time) Amount {
	return least(Amount{Rate: h.demand.rate(now), Concurrency: max(h.peak, h.inFlight)}, h.limit)
}

// demand counts requests in two halves of a sliding window.
type demand struct {
	start             time.Time // of the present half
	previous, present int
	fresh             bool // there was no demand before the present half
}

func (d *demand) add(now time.Time) {
	d.roll(now)
	d.present++
}

// rate returns the requests a second over the window, or since demand began if that is shorter.
func (d *demand) rate(now time.Time) float64 {
	d.roll(now)
	elapsed := now.Sub(d.start)
	if d.fresh {
		elapsed = max(elapsed, leastDemandTime)
	} else {
		elapsed += demandWindow / 2
	}
	return float64(d.previous+d.present) / elapsed.Seconds()
}

func (d *demand) roll(now time.Time) {
	half := demandWindow / 2
	switch passed := now.Sub(d.start); {
	case passed < half:
		return
	case passed < 2*half:
		d.previous, d.present = d.present, 0
		d.start = d.start.Add(half)
	default:
		d.previous, d.present = 0, 0
		d.start = now
	}
	d.fresh = d.previous == 0
}
