package share

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// demandWindow is the time over which demand is counted.
	demandWindow = time.Second
	// minDemandWindow is the shortest time that demand is averaged over, after a time without any.
	minDemandWindow = 50 * time.Millisecond
	// earlyAckShrink is the factor below which a smaller loan is acknowledged early. Smaller changes
	// come with every ask and are not worth a message.
	earlyAckShrink = 0.8
	// idleTimeout is the time without demand for which a holder keeps a loan, so that a plan in occasional
	// use need not wait for one at each request.
	idleTimeout = time.Minute
	// maxRetryAfter is the longest advice to wait for a request that was refused.
	maxRetryAfter = 100 * time.Millisecond
	// minRetryAfter is the shortest, so that rounding does not make it zero.
	minRetryAfter = time.Millisecond
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

	inFlight        int
	peak            int // largest number in flight and refused for concurrency since the last ask
	demand          demand
	lastDemandAt    time.Time
	lastAskAt       time.Time
	refusedSinceAsk bool // a request was refused since the last ask
	loanShrank      bool // the latest loan is smaller, and the lender keeps the rest until it is acknowledged
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
	h.lastDemandAt = now
	return h.Retry(now)
}

// Retry does what Admit does for a request that was refused before and has waited since. It does
// not count as demand again.
func (h *Holder) Retry(now time.Time) (admitted bool, retryAfter time.Duration) {
	h.expireLoan(now)
	h.peak = max(h.peak, h.inFlight+1)
	if h.inFlight >= h.allowance(now).Concurrency || !h.limiter.AllowN(now, 1) {
		h.refusedSinceAsk = true
		return false, h.retryDelay(now)
	}
	h.inFlight++
	return true, 0
}

// retryDelay returns the time until the next request fits the rate, waitWhenEmpty at most.
func (h *Holder) retryDelay(now time.Time) time.Duration {
	if h.limiterRate <= 0 || h.inFlight >= h.allowance(now).Concurrency {
		return maxRetryAfter
	}
	missing := 1 - h.limiter.TokensAt(now)
	wait := time.Duration(missing / h.limiterRate * float64(time.Second))
	return min(maxRetryAfter, max(minRetryAfter, wait))
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
	h.expireLoan(now)
	period := AskPeriod
	if h.refusedSinceAsk || h.loanShrank {
		period = EarlyAskPeriod
	}
	want := h.want(now)
	idle := want == Amount{} && !h.refusedSinceAsk && (!h.hasLoan() || now.Sub(h.lastDemandAt) >= idleTimeout)
	if idle || now.Sub(h.lastAskAt) < period {
		return Ask{}, false
	}
	h.lastAskAt, h.refusedSinceAsk, h.loanShrank = now, false, false
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
	h.expireLoan(now)
	expires := sent.Add(loan.Time)
	if loan.ID.Compare(h.loan.ID) <= 0 || !now.Before(expires) {
		return
	}
	h.loanShrank = loan.Amount.Rate < h.loan.Amount.Rate*earlyAckShrink
	h.loan, h.loanExpires = loan, expires
	h.setRate(now)
}

func (h *Holder) hasLoan() bool { return h.loan.ID != (LoanID{}) }

// InFlight returns the number of admitted requests that have not ended.
func (h *Holder) InFlight() int { return h.inFlight }

// Allowance returns what the holder may use now, the floor included.
func (h *Holder) Allowance(now time.Time) Amount {
	h.expireLoan(now)
	return h.allowance(now)
}

// expireLoan ends a loan whose time is over. The rate falls at the moment at which the loan ended, so
// that the time since then counts at the lower rate.
func (h *Holder) expireLoan(now time.Time) {
	if !h.hasLoan() || now.Before(h.loanExpires) {
		return
	}
	ended := h.loanExpires
	h.loan = Loan{}
	h.setRate(ended)
}

func (h *Holder) allowance(now time.Time) Amount {
	floor := Floor(h.limit, h.members)
	if !h.hasLoan() || !now.Before(h.loanExpires) {
		return floor
	}
	return floor.plus(h.loan.Amount)
}

func (h *Holder) setRate(at time.Time) {
	r := h.allowance(at).Rate
	if r == h.limiterRate {
		return
	}
	h.limiterRate = r
	h.limiter.SetLimitAt(at, rate.Limit(r))
	h.limiter.SetBurstAt(at, burstFor(r))
}

// burstFor returns the requests of BurstTime, at least 1 so that a small rate can be used at all.
func burstFor(r float64) int {
	if r <= 0 {
		return 0
	}
	return max(1, int(math.Floor(r*BurstWindow.Seconds())))
}

func (h *Holder) want(now time.Time) Amount {
	return minAmount(Amount{Rate: h.demand.rate(now), Concurrency: max(h.peak, h.inFlight)}, h.limit)
}

// demand counts requests in two halves of a sliding window.
type demand struct {
	start             time.Time // of the present half
	previous, current int
	justBegan         bool // there was no demand before the present half
}

func (d *demand) add(now time.Time) {
	d.roll(now)
	d.current++
}

// rate returns the requests a second over the window, or since demand began if that is shorter.
func (d *demand) rate(now time.Time) float64 {
	d.roll(now)
	elapsed := now.Sub(d.start)
	if d.justBegan {
		elapsed = max(elapsed, minDemandWindow)
	} else {
		elapsed += demandWindow / 2
	}
	return float64(d.previous+d.current) / elapsed.Seconds()
}

func (d *demand) roll(now time.Time) {
	half := demandWindow / 2
	switch passed := now.Sub(d.start); {
	case passed < half:
		return
	case passed < 2*half:
		d.previous, d.current = d.current, 0
		d.start = d.start.Add(half)
	default:
		d.previous, d.current = 0, 0
		d.start = now
	}
	d.justBegan = d.previous == 0
}
