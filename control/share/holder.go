package share

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// demandWindow is the sliding window over which demand is counted.
	demandWindow = time.Second
	// minDemandWindow is the minimum time over which demand is averaged when it begins after an idle period.
	minDemandWindow = 50 * time.Millisecond
	// earlyAckShrink is the ratio of a new rate to the previous one below which a loan is acknowledged early. Smaller
	// reductions come with every loan request and do not justify an extra message.
	earlyAckShrink = 0.8
	// idleTimeout is the time without demand after which a holder stops renewing its loan. Until then, a plan in
	// occasional use need not wait for a loan at each request.
	idleTimeout = time.Minute
	// maxRetryAfter is the maximum retry delay that is returned for a refused request.
	maxRetryAfter = 100 * time.Millisecond
	// minRetryAfter is the minimum retry delay, so that rounding does not make it zero.
	minRetryAfter = time.Millisecond
)

// Holder admits the requests of one plan at one instance, within the floor and the current loan. It is not
// safe for concurrent use. Methods that depend on time are passed the current time, so that a holder that was
// paused ends an expired loan before it uses it again.
type Holder struct {
	name    string
	limit   Amount
	members int

	loan        Loan
	loanExpires time.Time
	limiter     *rate.Limiter
	limiterRate float64

	inFlight                int
	peak                    int // maximum concurrency since the last loan request, refused requests included
	demand                  demand
	lastDemandAt            time.Time
	lastLoanRequestAt       time.Time
	refusedSinceLoanRequest bool // a request was refused since the last loan request
	loanShrank              bool // the lender reserves the previous, larger loan until this one is acknowledged
}

// NewHolder returns a holder without a loan for the named instance in a fleet of the given number of members.
func NewHolder(name string, limit Amount, members int, now time.Time) *Holder {
	h := &Holder{name: name, limit: limit, members: members, limiter: rate.NewLimiter(0, 0)}
	h.setRate(now)
	return h
}

// SetLimit changes the plan's limit and the number of members in the fleet.
func (h *Holder) SetLimit(now time.Time, limit Amount, members int) {
	h.limit, h.members = limit, members
	h.setRate(now)
}

// Admit admits a request if it fits the holder's allowance. Otherwise it returns the delay after which to try
// again. Done must be called for every admitted request.
func (h *Holder) Admit(now time.Time) (admitted bool, retryAfter time.Duration) {
	h.demand.add(now)
	h.lastDemandAt = now
	return h.Retry(now)
}

// Retry is like Admit for a request that was refused before. The request is not counted as demand again.
func (h *Holder) Retry(now time.Time) (admitted bool, retryAfter time.Duration) {
	h.expireLoan(now)
	h.peak = max(h.peak, h.inFlight+1)
	if h.inFlight >= h.allowance(now).Concurrency || !h.limiter.AllowN(now, 1) {
		h.refusedSinceLoanRequest = true
		return false, h.retryDelay(now)
	}
	h.inFlight++
	return true, 0
}

// retryDelay returns the time until the rate allows another request, at most maxRetryAfter. That maximum also applies
// if there is no rate or no free concurrency.
func (h *Holder) retryDelay(now time.Time) time.Duration {
	if h.limiterRate <= 0 || h.inFlight >= h.allowance(now).Concurrency {
		return maxRetryAfter
	}
	missing := 1 - h.limiter.TokensAt(now)
	wait := time.Duration(missing / h.limiterRate * float64(time.Second))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// Done must be called when an admitted request has ended.
func (h *Holder) Done() {
	if h.inFlight == 0 {
		panic("share: more requests ended than were admitted")
	}
	h.inFlight--
}

// NextLoanRequest returns the loan request to send to the lender, or false if none is due yet. A holder without demand
// for idleTimeout sends no loan request, so its loan expires.
func (h *Holder) NextLoanRequest(now time.Time) (LoanRequest, bool) {
	h.expireLoan(now)
	period := LoanRequestPeriod
	if h.refusedSinceLoanRequest || h.loanShrank {
		period = EarlyLoanRequestPeriod
	}
	want := h.want(now)
	idle := want == Amount{} && !h.refusedSinceLoanRequest && (!h.hasLoan() || now.Sub(h.lastDemandAt) >= idleTimeout)
	if idle || now.Sub(h.lastLoanRequestAt) < period {
		return LoanRequest{}, false
	}
	h.lastLoanRequestAt, h.refusedSinceLoanRequest, h.loanShrank = now, false, false
	h.peak = h.inFlight
	request := LoanRequest{Holder: h.name, InFlight: h.inFlight, Demand: want}
	if h.hasLoan() {
		request.LoanID, request.LoanAmount, request.LoanTimeLeft = h.loan.ID, h.loan.Amount, h.loanExpires.Sub(now)
	}
	return request, true
}

// OnLoan handles the response to a loan request that was sent at the given time. A loan that is not newer than the one
// in use, or that has already expired, is dropped.
func (h *Holder) OnLoan(sent, now time.Time, loan Loan) {
	h.expireLoan(now)
	expires := sent.Add(loan.Duration)
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

// Allowance returns the amount that the holder may use now: the floor and the loan.
func (h *Holder) Allowance(now time.Time) Amount {
	h.expireLoan(now)
	return h.allowance(now)
}

// expireLoan ends an expired loan. The limiter's rate falls as of the expiry, so that the time since then counts at
// the lower rate.
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

// burstFor returns the number of requests that rate r allows in BurstWindow. It is at least 1 for a positive rate,
// since a burst of 0 would admit nothing.
func burstFor(r float64) int {
	if r <= 0 {
		return 0
	}
	return max(1, int(math.Floor(r*BurstWindow.Seconds())))
}

func (h *Holder) want(now time.Time) Amount {
	return minAmount(Amount{Rate: h.demand.rate(now), Concurrency: max(h.peak, h.inFlight)}, h.limit)
}

// demand counts requests in the two halves of a sliding window.
type demand struct {
	start             time.Time // of the current half
	previous, current int
	justBegan         bool // the previous half has no demand
}

func (d *demand) add(now time.Time) {
	d.roll(now)
	d.current++
}

// rate returns the demand in requests per second over the window, or since demand began if that is shorter.
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
