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

// AskToWire converts a holder's ask for a plan. The remaining time of the loan is rounded up, so that the loan does
// not expire at the lender before it expires at the holder.
func AskToWire(plan string, a share.Ask) *sharepb.Ask {
	return &sharepb.Ask{
		Plan: plan, Using: &sharepb.LoanId{Epoch: a.Using.Epoch, Number: a.Using.Number},
		Held: amountToWire(a.Held), HeldForMs: uint32(max(0, (a.HeldFor + time.Millisecond - 1).Milliseconds())),
		InFlight: uint32(a.InFlight), Want: amountToWire(a.Want),
	}
}

// AskFromWire converts a holder's ask.
func AskFromWire(holder string, a *sharepb.Ask) share.Ask {
	return share.Ask{
		Holder: holder, Using: share.LoanID{Epoch: a.GetUsing().GetEpoch(), Number: a.GetUsing().GetNumber()},
		Held: amountFromWire(a.GetHeld()), HeldFor: time.Duration(a.GetHeldForMs()) * time.Millisecond,
		InFlight: int(a.GetInFlight()), Want: amountFromWire(a.GetWant()),
	}
}

// LoanToWire converts a loan of part of a plan's limit.
func LoanToWire(plan string, l share.Loan) *sharepb.Loan {
	return &sharepb.Loan{
		Plan: plan, Id: &sharepb.LoanId{Epoch: l.ID.Epoch, Number: l.ID.Number},
		Amount: amountToWire(l.Amount), TimeMs: uint32(l.Time.Milliseconds()),
	}
}

// LoanFromWire converts a loan.
func LoanFromWire(l *sharepb.Loan) share.Loan {
	return share.Loan{
		ID:     share.LoanID{Epoch: l.GetId().GetEpoch(), Number: l.GetId().GetNumber()},
		Amount: amountFromWire(l.GetAmount()), Time: time.Duration(l.GetTimeMs()) * time.Millisecond,
	}
}

func amountToWire(a share.Amount) *sharepb.Amount {
	return &sharepb.Amount{Rate: a.Rate, Concurrency: uint32(a.Concurrency)}
}

func amountFromWire(a *sharepb.Amount) share.Amount {
	return share.Amount{Rate: a.GetRate(), Concurrency: int(a.GetConcurrency())}
}
