package peer

import (
	"net/http"
	"time"

	"hyssopcroft.example/adapter/wire/sharepb"
	"hyssopcroft.example/control/share"
)

// LendingClient returns a client of the lending service of the peer at an address.
func LendingClient(address string, transport http.RoundTripper) sharepb.Lending {
	return sharepb.NewLendingProtobufClient("http://"+address, &http.Client{Transport: transport})
}

// LendingHandler returns the path prefix and the handler that serve the lending service.
func LendingHandler(s sharepb.Lending) (string, http.Handler) {
	h := sharepb.NewLendingServer(s)
	return h.PathPrefix(), h
}

// LoanRequestToWire converts a holder's loan request for a plan. The remaining time of the loan is rounded up, so that
// the loan does not expire at the lender before it expires at the holder.
func LoanRequestToWire(plan string, a share.LoanRequest) *sharepb.Ask {
	return &sharepb.Ask{
		Plan: plan, Using: &sharepb.LoanId{Epoch: a.LoanID.Epoch, Number: a.LoanID.Number},
		Held: amountToWire(a.LoanAmount), HeldForMs: uint32(max(0, (a.LoanTimeLeft + time.Millisecond - 1).Milliseconds())),
		InFlight: uint32(a.InFlight), Want: amountToWire(a.Demand),
	}
}

// LoanRequestFromWire converts a holder's loan request.
func LoanRequestFromWire(holder string, a *sharepb.Ask) share.LoanRequest {
	return share.LoanRequest{
		Holder: holder, LoanID: share.LoanID{Epoch: a.GetUsing().GetEpoch(), Number: a.GetUsing().GetNumber()},
		LoanAmount: amountFromWire(a.GetHeld()), LoanTimeLeft: time.Duration(a.GetHeldForMs()) * time.Millisecond,
		InFlight: int(a.GetInFlight()), Demand: amountFromWire(a.GetWant()),
	}
}

// LoanToWire converts a loan of part of a plan's limit.
func LoanToWire(plan string, l share.Loan) *sharepb.Loan {
	return &sharepb.Loan{
		Plan: plan, Id: &sharepb.LoanId{Epoch: l.ID.Epoch, Number: l.ID.Number},
		Amount: amountToWire(l.Amount), TimeMs: uint32(l.Duration.Milliseconds()),
	}
}

// LoanFromWire converts a loan.
func LoanFromWire(l *sharepb.Loan) share.Loan {
	return share.Loan{
		ID:     share.LoanID{Epoch: l.GetId().GetEpoch(), Number: l.GetId().GetNumber()},
		Amount: amountFromWire(l.GetAmount()), Duration: time.Duration(l.GetTimeMs()) * time.Millisecond,
	}
}

func amountToWire(a share.Amount) *sharepb.Amount {
	return &sharepb.Amount{Rate: a.Rate, Concurrency: uint32(a.Concurrency)}
}

func amountFromWire(a *sharepb.Amount) share.Amount {
	return share.Amount{Rate: a.GetRate(), Concurrency: int(a.GetConcurrency())}
}
