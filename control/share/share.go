// Package share divides the limits of a plan among instances. A lender lends parts of a limit for a short time;
// each instance has a holder that admits requests within its loan and a small floor. Admission of a request
// needs no message, and a lost message never causes a limit to be exceeded.
//
// Each side measures the duration of a loan by its own clock: the holder from before it sent its loan request, the
// lender from after it received the loan request. The loan therefore ends at the holder first, whatever the delay of
// the messages, as long as both clocks run at the same rate.
package share

import (
	"cmp"
	"time"
)

const (
	// LoanDuration is the duration of a loan.
	LoanDuration = 2 * time.Second
	// LoanRequestPeriod is the time between two loan requests of a holder in normal operation. A loan survives the loss
	// of three loan requests in a row.
	LoanRequestPeriod = 500 * time.Millisecond
	// EarlyLoanRequestPeriod is the minimum time between two loan requests of a holder that refused a request or whose
	// loan shrank.
	EarlyLoanRequestPeriod = 50 * time.Millisecond
	// BurstWindow is the time over which a rate is averaged: a holder may admit the requests of this window at once.
	BurstWindow = 100 * time.Millisecond
	// FloorShare is the fraction of a limit that is never lent. It is divided among the members, so
	// that an instance without a loan can still admit requests. A larger fraction would leave more of
	// the limit unused where demand is concentrated at few instances.
	FloorShare = 0.02
	// minFloorRate is the minimum floor in requests per second. A lower floor becomes 0, because it would let an idle
	// fleet admit one request at each instance at once, far above a small limit.
	minFloorRate = 1.0
)

// Amount is a limit or a part of one.
type Amount struct {
	// Rate is in requests per second.
	Rate float64
	// Concurrency is the number of requests in flight.
	Concurrency int
}

// Lendable returns the part of a limit that a lender may lend.
func Lendable(limit Amount) Amount {
	floor := Amount{Rate: limit.Rate * FloorShare, Concurrency: int(float64(limit.Concurrency) * FloorShare)}
	return Amount{Rate: limit.Rate - floor.Rate, Concurrency: limit.Concurrency - floor.Concurrency}
}

// Floor returns the amount that an instance may use without a loan in a fleet of the given number of
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

// LoanID identifies a loan and orders the loans of a plan across all its lenders. The zero value means no loan.
type LoanID struct {
	// Epoch identifies the lender; a later lender has a larger epoch.
	Epoch uint64
	// Number is the sequence number of the loan at its lender.
	Number uint64
}

// Compare returns -1 if i was lent before j, 0 if they are the same loan, and 1 if i was lent after j.
func (i LoanID) Compare(j LoanID) int {
	return cmp.Or(cmp.Compare(i.Epoch, j.Epoch), cmp.Compare(i.Number, j.Number))
}

// LoanRequest is the message by which a holder requests a loan from the lender.
type LoanRequest struct {
	Holder string
	// LoanID is the id of the loan in use, or zero. It acknowledges that loan: the holder will not use an
	// older one again.
	LoanID LoanID
	// LoanAmount and HeldFor are the amount and the remaining time of the loan in use.
	LoanAmount   Amount
	LoanTimeLeft time.Duration
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Demand is the holder's demand, capped at the limit.
	Demand Amount
}

// Loan is the lender's response to a LoanRequest.
type Loan struct {
	ID     LoanID
	Amount Amount
	// Duration is the duration of the loan, counted from before the loan request was sent.
	Duration time.Duration
}
