package share

import (
	"slices"
	"time"
)

// outstanding is a loan that its holder may be using.
type outstanding struct {
	id      LoanID
	amount  Amount
	expires time.Time
}

// account is what the lender knows of one holder.
type account struct {
	loans    []outstanding // in the order of their ids
	inFlight int
	want     Amount
}

// Lender divides the lendable part of one plan's limit. It is not safe for concurrent use.
type Lender struct {
	limit    Amount
	accounts map[string]*account
	last     LoanID
	// growAfter is the time until which loans of a predecessor may be in use. Before it, a holder
	// gets at most what it holds.
	growAfter time.Time
}

// NewLender returns a lender for a plan. epoch must be larger than that of every earlier lender of
// the plan. hasPredecessor is false only if no other lender can have lent during LoanTime.
func NewLender(limit Amount, epoch uint64, now time.Time, hasPredecessor bool) *Lender {
	l := &Lender{limit: limit, accounts: map[string]*account{}, last: LoanID{Epoch: epoch}}
	if hasPredecessor {
		l.growAfter = now.Add(LoanTime)
	}
	return l
}

// SetLimit changes the limit. Loans that are too large under a smaller limit end within LoanTime.
func (l *Lender) SetLimit(limit Amount) { l.limit = limit }

// OnAsk returns the loan that the holder may use from now on.
func (l *Lender) OnAsk(now time.Time, ask Ask) Loan {
	l.expire(now)
	a := l.accountOf(ask.Holder)
	l.adopt(a, ask, now)
	a.acknowledge(ask.Using)
	a.want, a.inFlight = ask.Want, ask.InFlight
	amount := l.amountFor(ask, now)
	l.last.Number++
	a.loans = append(a.loans, outstanding{id: l.last, amount: amount, expires: now.Add(LoanTime)})
	return Loan{ID: l.last, Amount: amount, Time: LoanTime}
}

// Lent returns the sum of what holders may be using.
func (l *Lender) Lent(now time.Time) Amount {
	l.expire(now)
	var sum Amount
	for _, a := range l.accounts {
		sum = sum.plus(a.reserved())
	}
	return sum
}

// adopt takes over a loan of the predecessor. The predecessor lent no more than the limit in all,
// so the sum of what is adopted does not exceed it either.
func (l *Lender) adopt(a *account, ask Ask, now time.Time) {
	known := slices.ContainsFunc(a.loans, func(o outstanding) bool { return o.id == ask.Using })
	if ask.Using == (LoanID{}) || known || !now.Before(l.growAfter) {
		return
	}
	a.loans = append(a.loans, outstanding{id: ask.Using, amount: ask.Held, expires: now.Add(ask.HeldFor)})
	slices.SortFunc(a.loans, func(x, y outstanding) int { return x.id.Compare(y.id) })
}

func (l *Lender) amountFor(ask Ask, now time.Time) Amount {
	free := l.freeFor(ask.Holder)
	if now.Before(l.growAfter) {
		return least(ask.Held, free)
	}
	return least(l.fairPart(ask.Want), free)
}

// freeFor returns the lendable amount less what the other holders may be using.
func (l *Lender) freeFor(holder string) Amount {
	free := Lendable(l.limit)
	for name, a := range l.accounts {
		if name != holder {
			free = free.minus(a.reserved())
		}
	}
	return free.atLeastZero()
}

// fairPart returns a want, cut by max-min fairness if the wants exceed what can be lent, or with a
// part of the slack if they do not, so that growing demand finds room before the next ask.
func (l *Lender) fairPart(want Amount) Amount {
	lendable := Lendable(l.limit)
	rates := make([]float64, 0, len(l.accounts))
	slots := make([]float64, 0, len(l.accounts))
	for _, a := range l.accounts {
		rates = append(rates, a.want.Rate)
		slots = append(slots, float64(a.want.Concurrency))
	}
	return Amount{
		Rate:        fair(want.Rate, rates, lendable.Rate),
		Concurrency: int(fair(float64(want.Concurrency), slots, float64(lendable.Concurrency))),
	}
}

const (
	// keptShare is the part of the lendable amount that is lent against wants only, so that an
	// instance whose demand begins finds room before the others have returned their slack.
	keptShare = 0.1
	// leastSlackShare is the slack that a holder without demand may get, as a part of the
	// lendable amount.
	leastSlackShare = 0.05
)

// fair divides half of the slack equally, for holders whose demand begins, and half in proportion
// to the wants, because random demand varies more where it is larger. No holder gets more slack
// than it wants, since slack that is lent stays out of reach of the others until the next ask.
func fair(want float64, wants []float64, total float64) float64 {
	sum := 0.0
	for _, w := range wants {
		sum += w
	}
	if sum > total {
		return min(want, waterLevel(wants, total))
	}
	slack := max(0, total*(1-keptShare)-sum)
	part := 1 / float64(len(wants))
	if sum > 0 {
		part = (part + want/sum) / 2
	}
	return want + min(slack*part, max(want, total*leastSlackShare))
}

// waterLevel returns the level at which the wants, each cut to it, add up to the total.
func waterLevel(wants []float64, total float64) float64 {
	slices.Sort(wants)
	for i, w := range wants {
		level := total / float64(len(wants)-i)
		if w > level {
			return level
		}
		total -= w
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

func (l *Lender) expire(now time.Time) {
	for name, a := range l.accounts {
		a.loans = slices.DeleteFunc(a.loans, func(o outstanding) bool { return !now.Before(o.expires) })
		if len(a.loans) == 0 {
			delete(l.accounts, name)
		}
	}
}

// acknowledge forgets the loans that were replaced by the one in use.
func (a *account) acknowledge(using LoanID) {
	a.loans = slices.DeleteFunc(a.loans, func(o outstanding) bool { return o.id.Compare(using) < 0 })
}

// reserved returns the largest amount that the holder may be using: any loan that was neither
// replaced nor has ended. Requests in flight stay reserved when a loan shrinks below them.
func (a *account) reserved() Amount {
	most := Amount{Concurrency: a.inFlight}
	for _, o := range a.loans {
		most.Rate = max(most.Rate, o.amount.Rate)
		most.Concurrency = max(most.Concurrency, o.amount.Concurrency)
	}
	return most
}

func (a Amount) plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Concurrency: a.Concurrency + b.Concurrency}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{Rate: a.Rate - b.Rate, Concurrency: a.Concurrency - b.Concurrency}
}

func (a Amount) atLeastZero() Amount {
	return Amount{Rate: max(0, a.Rate), Concurrency: max(0, a.Concurrency)}
}

func least(a, b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Concurrency: min(a.Concurrency, b.Concurrency)}
}
