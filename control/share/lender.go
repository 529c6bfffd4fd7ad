package share

import (
	"slices"
	"time"
)

// outstandingLoan is a loan that its holder may be using.
type outstandingLoan struct {
	id      LoanID
	amount  Amount
	expires time.Time
}

// account is the lender's state for one holder.
type account struct {
	loans    []outstandingLoan // in order of their ids
	inFlight int
	want     Amount
}

// sweepPeriod is the time between two passes over all accounts, which recompute the sums. Between passes the
// sums are updated incrementally, because a pass for each loan request would cost a tenth of a core in the largest
// fleet. Loans that have expired stay reserved until the next pass.
const sweepPeriod = 50 * time.Millisecond

// Lender lends the lendable part of one plan's limit to holders. It is not safe for concurrent use.
type Lender struct {
	limit     Amount
	accounts  map[string]*account
	reserved  Amount // sum of reserved() over the accounts
	wanted    Amount // sum of want over the accounts
	level     level  // as of the latest sweep
	lastSweep time.Time
	lastID    LoanID
	// growAfter is the time until which loans of a predecessor may be in use. Before it, a holder's loan
	// does not grow.
	growAfter time.Time
}

// NewLender returns a lender for a plan. epoch must be larger than that of every earlier lender of
// the plan. hasPredecessor may be false only if no other lender can have lent within the last LoanDuration.
func NewLender(limit Amount, epoch uint64, now time.Time, hasPredecessor bool) *Lender {
	l := &Lender{limit: limit, accounts: map[string]*account{}, lastID: LoanID{Epoch: epoch}}
	if hasPredecessor {
		l.growAfter = now.Add(LoanDuration)
	}
	return l
}

// SetLimit changes the limit. Loans that exceed a reduced limit expire within LoanDuration.
func (l *Lender) SetLimit(limit Amount) { l.limit = limit }

// OnLoanRequest handles a loan request and returns the holder's new loan, which replaces its earlier ones.
func (l *Lender) OnLoanRequest(now time.Time, request LoanRequest) Loan {
	if now.Sub(l.lastSweep) >= sweepPeriod {
		l.sweep(now)
	}
	a := l.accountOf(request.Holder)
	l.reserved, l.wanted = l.reserved.minus(a.reserved()), l.wanted.minus(a.want)
	a.expire(now)
	l.adopt(a, request, now)
	a.acknowledge(request.LoanID)
	a.want, a.inFlight = request.Demand, request.InFlight
	l.wanted = l.wanted.plus(a.want)
	amount := l.amountFor(request, now)
	l.lastID.Number++
	a.loans = append(a.loans, outstandingLoan{id: l.lastID, amount: amount, expires: now.Add(LoanDuration)})
	l.reserved = l.reserved.plus(a.reserved())
	return Loan{ID: l.lastID, Amount: amount, Duration: LoanDuration}
}

// Reserved returns the sum of the amounts that holders may be using.
func (l *Lender) Reserved(now time.Time) Amount {
	l.sweep(now)
	return l.reserved
}

// adopt records a loan of the predecessor that the holder is using. The predecessor's loans together did not exceed
// the limit, so the adopted loans do not either.
func (l *Lender) adopt(a *account, request LoanRequest, now time.Time) {
	known := slices.ContainsFunc(a.loans, func(o outstandingLoan) bool { return o.id == request.LoanID })
	if request.LoanID == (LoanID{}) || known || !now.Before(l.growAfter) {
		return
	}
	a.loans = append(a.loans, outstandingLoan{id: request.LoanID, amount: request.LoanAmount, expires: now.Add(request.LoanTimeLeft)})
	slices.SortFunc(a.loans, func(x, y outstandingLoan) int { return x.id.Compare(y.id) })
}

// amountFor returns the amount to lend for a loan request. It must be called while the reserved sum excludes the
// holder.
func (l *Lender) amountFor(request LoanRequest, now time.Time) Amount {
	free := Lendable(l.limit).minus(l.reserved).nonNegative()
	if now.Before(l.growAfter) {
		return minAmount(request.LoanAmount, free)
	}
	return minAmount(l.fairAmount(request.Demand), free)
}

// level is the amount at which wants are capped if their sum exceeds the lendable amount.
type level struct{ rate, concurrency float64 }

// fairAmount returns the amount to lend for a want. If the wants exceed the lendable amount, the want is capped by
// max-min fairness. Otherwise it is increased by a part of the slack, so that growing demand has capacity before the
// next loan request.
func (l *Lender) fairAmount(want Amount) Amount {
	lendable := Lendable(l.limit)
	holders := len(l.accounts)
	return Amount{
		Rate: fairShare(want.Rate, l.wanted.Rate, lendable.Rate, l.level.rate, holders),
		Concurrency: int(fairShare(float64(want.Concurrency), float64(l.wanted.Concurrency),
			float64(lendable.Concurrency), l.level.concurrency, holders)),
	}
}

const (
	// demandReserve is the fraction of the lendable amount that is lent for wants but not as slack, so that an
	// instance whose demand begins gets a loan before the others have returned their slack.
	demandReserve = 0.1
	// minSlackCap is the maximum slack of a holder without demand, as a fraction of the lendable amount. It is the
	// lower bound of every holder's cap.
	minSlackCap = 0.05
)

// fairShare returns the share of one holder in the total. Half of the slack is divided equally, for holders whose
// demand begins, and half in proportion to the wants, because random demand varies more where it is larger. A
// holder's slack is capped at its want or minSlackCap, whichever is larger, since slack that is lent is unavailable
// to the others until the next loan request.
func fairShare(want, sum, total, level float64, holders int) float64 {
	if sum > total {
		return min(want, level)
	}
	slack := max(0, total*(1-demandReserve)-sum)
	fraction := 1 / float64(holders)
	if sum > 0 {
		fraction = (fraction + want/sum) / 2
	}
	return want + min(slack*fraction, max(want, total*minSlackCap))
}

// waterLevel returns the level at which the wants, each capped at it, add up to the total. It returns the total if
// the wants do not exceed it. It sorts wants.
func waterLevel(wants []float64, total float64) float64 {
	slices.Sort(wants)
	remaining := total
	for i, w := range wants {
		level := remaining / float64(len(wants)-i)
		if w > level {
			return level
		}
		remaining -= w
	}
	return total
}

func (l *Lender) accountOf(holder string) *account {
	a, ok := l.accounts[holder]
	if !ok {
		a = &account{}
		l.accounts[holder] = a
	}
	return a
}

// sweep removes expired loans and recomputes the sums and the level.
func (l *Lender) sweep(now time.Time) {
	l.lastSweep = now
	l.reserved, l.wanted = Amount{}, Amount{}
	rates := make([]float64, 0, len(l.accounts))
	concurrencies := make([]float64, 0, len(l.accounts))
	for name, a := range l.accounts {
		a.expire(now)
		if len(a.loans) == 0 {
			delete(l.accounts, name)
			continue
		}
		l.reserved, l.wanted = l.reserved.plus(a.reserved()), l.wanted.plus(a.want)
		rates, concurrencies = append(rates, a.want.Rate), append(concurrencies, float64(a.want.Concurrency))
	}
	lendable := Lendable(l.limit)
	l.level = level{rate: waterLevel(rates, lendable.Rate), concurrency: waterLevel(concurrencies, float64(lendable.Concurrency))}
}

// expire removes the expired loans.
func (a *account) expire(now time.Time) {
	a.loans = slices.DeleteFunc(a.loans, func(o outstandingLoan) bool { return !now.Before(o.expires) })
}

// acknowledge removes the loans that are older than the one in use.
func (a *account) acknowledge(using LoanID) {
	a.loans = slices.DeleteFunc(a.loans, func(o outstandingLoan) bool { return o.id.Compare(using) < 0 })
}

// reserved returns the maximum amount that the holder may be using: the maximum over the loans that are neither
// replaced nor expired. Requests in flight remain reserved when a loan shrinks below their number.
func (a *account) reserved() Amount {
	largest := Amount{Concurrency: a.inFlight}
	for _, o := range a.loans {
		largest.Rate = max(largest.Rate, o.amount.Rate)
		largest.Concurrency = max(largest.Concurrency, o.amount.Concurrency)
	}
	return largest
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Concurrency: a.Concurrency + b.Concurrency}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{Rate: a.Rate - b.Rate, Concurrency: a.Concurrency - b.Concurrency}
}

func (a Amount) nonNegative() Amount {
	return Amount{Rate: max(0, a.Rate), Concurrency: max(0, a.Concurrency)}
}

func minAmount(a, b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Concurrency: min(a.Concurrency, b.Concurrency)}
}
