// Package share decides how the limits of a plan are divided among instances. A lender lends parts
// of a limit for a short time; holders admit requests against what they have borrowed. No request
// needs a message, and no limit is exceeded because a message is lost.
//
// Both sides count the time of a loan on their own clock: the holder from before it asked, the
// lender from after it received the ask. The holder's loan therefore ends first, whatever the
// delay of the messages, as long as both clocks run at the same rate.
package share

import (
	"cmp"
	"time"
)

const (
	// LoanTime is the time for which a part of a limit is lent.
	LoanTime = 2 * time.Second
	// AskPeriod is the time between two asks of a holder in ordinary operation. Three asks in a
	// row may be lost before a loan ends.
	AskPeriod = 500 * time.Millisecond
	// EarlyAskPeriod is the shortest time between two asks of a holder that has run out.
	EarlyAskPeriod = 50 * time.Millisecond
	// BurstWindow is the time over which a rate is averaged: a holder may admit the requests of this
	// time at once.
	BurstWindow = 100 * time.Millisecond
	// FloorShare is the part of a limit that is never lent. It is divided among the members, so
	// that an instance without a loan can still admit requests.
	// A larger share would leave that much of the limit unused where demand sits at few instances.
	FloorShare = 0.02
	// minFloorRate is the smallest floor in requests a second. A smaller one would let an idle
	// fleet admit one request at each instance at once, far above a small limit.
	minFloorRate = 1.0
)

// Amount is a limit or a part of one.
type Amount struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrency is the number of requests in flight.
	Concurrency int
}

// Lendable returns the part of a limit that a lender may lend.
func Lendable(limit Amount) Amount {
	floor := Amount{Rate: limit.Rate * FloorShare, Concurrency: int(float64(limit.Concurrency) * FloorShare)}
	return Amount{Rate: limit.Rate - floor.Rate, Concurrency: limit.Concurrency - floor.Concurrency}
}

// Floor returns what an instance may use without a loan if the fleet has the given number of
// members, which must be at least 1.
func Floor(limit Amount, members int) Amount {
	floor := Amount{
		Rate:        limit.Rate * FloorShare / float64(members),
		Concurrency: int(float64(limit.Concurrency)*FloorShare) / members,
	}
	if floor.Rate < minFloorRate {
		floor.Rate = 0
	}
	return floor
}

// LoanID orders the loans of a plan over all its lenders. The zero value stands for no loan.
type LoanID struct {
	// Epoch is larger for each later lender.
	Epoch uint64
	// Number counts the loans of one lender.
	Number uint64
}

// Compare returns -1, 0 or 1 as i was lent before, is, or was lent after j.
func (i LoanID) Compare(j LoanID) int {
	return cmp.Or(cmp.Compare(i.Epoch, j.Epoch), cmp.Compare(i.Number, j.Number))
}

// Ask is a holder's message to the lender.
type Ask struct {
	Holder string
	// Using is the id of the loan in use, if there is one. It acknowledges that loan: the holder will
	// not use an older one again.
	Using LoanID
	// Held and HeldFor are the amount and the time left of the loan in use.
	Held    Amount
	HeldFor time.Duration
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Want is what the holder could use now.
	Want Amount
}

// Loan is a lender's answer.
type Loan struct {
	ID     LoanID
	Amount Amount
	// Time counts from before the ask was sent.
	Time time.Duration
}
