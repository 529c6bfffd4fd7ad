package trace

import (
	"time"

	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/control/share"
)

// Lender is a recorded share.Lender, with one record for each call that changes it.
type Lender struct {
	*share.Lender
	recorder *Recorder
	plan     string
	epoch    uint64
	limit    share.Amount
}

// NewLender returns a lender that records to r; the other arguments are those of share.NewLender.
func NewLender(plan string, limit share.Amount, epoch uint64, now time.Time, hasPredecessor bool, r *Recorder) *Lender {
	l := &Lender{Lender: share.NewLender(limit, epoch, now, hasPredecessor), recorder: r, plan: plan, epoch: epoch, limit: limit}
	if r != nil {
		open := &tracepb.LenderOpen{Limit: amountOf(limit), HasPredecessor: hasPredecessor}
		l.record(&tracepb.LenderEvent{At: r.offset(now), Event: &tracepb.LenderEvent_Open{Open: open}})
	}
	return l
}

// SetLimit calls share.Lender.SetLimit and records the call. A call that changes nothing is not recorded.
func (l *Lender) SetLimit(limit share.Amount) {
	l.Lender.SetLimit(limit)
	if l.recorder != nil && limit != l.limit {
		l.limit = limit
		at := l.recorder.offset(l.recorder.now())
		l.record(&tracepb.LenderEvent{At: at, Event: &tracepb.LenderEvent_SetLimit{SetLimit: amountOf(limit)}})
	}
}

// OnLoanRequest calls share.Lender.OnLoanRequest and records the call.
func (l *Lender) OnLoanRequest(now time.Time, request share.LoanRequest) share.Loan {
	loan := l.Lender.OnLoanRequest(now, request)
	if l.recorder != nil {
		event := &tracepb.LenderAsk{Ask: loanRequestOf(request), Loan: loanOf(loan)}
		l.record(&tracepb.LenderEvent{At: l.recorder.offset(now), Event: &tracepb.LenderEvent_Ask{Ask: event}})
	}
	return loan
}

func (l *Lender) record(e *tracepb.LenderEvent) {
	e.Plan, e.Epoch = l.plan, l.epoch
	l.recorder.write(&tracepb.Record{Record: &tracepb.Record_Lender{Lender: e}})
}

// Holder is a recorded share.Holder, with one record for each call that changes it.
type Holder struct {
	*share.Holder
	recorder   *Recorder
	plan, name string
}

// NewHolder returns a holder that records to r; the other arguments are those of share.NewHolder.
func NewHolder(plan, name string, limit share.Amount, members int, now time.Time, r *Recorder) *Holder {
	h := &Holder{Holder: share.NewHolder(name, limit, members, now), recorder: r, plan: plan, name: name}
	if r != nil {
		open := &tracepb.HolderLimit{Limit: amountOf(limit), Members: int64(members)}
		h.record(now, &tracepb.HolderEvent{Event: &tracepb.HolderEvent_Open{Open: open}})
	}
	return h
}

// SetLimit calls share.Holder.SetLimit and records the call.
func (h *Holder) SetLimit(now time.Time, limit share.Amount, members int) {
	h.Holder.SetLimit(now, limit, members)
	if h.recorder != nil {
		event := &tracepb.HolderLimit{Limit: amountOf(limit), Members: int64(members)}
		h.record(now, &tracepb.HolderEvent{Event: &tracepb.HolderEvent_SetLimit{SetLimit: event}})
	}
}

// Admit calls share.Holder.Admit and records the call.
func (h *Holder) Admit(now time.Time) (admitted bool, retryAfter time.Duration) {
	admitted, retryAfter = h.Holder.Admit(now)
	h.recordAdmit(now, &tracepb.HolderAdmit{Admitted: admitted, RetryAfter: int64(retryAfter)})
	return admitted, retryAfter
}

// Retry calls share.Holder.Retry and records the call.
func (h *Holder) Retry(now time.Time) (admitted bool, retryAfter time.Duration) {
	admitted, retryAfter = h.Holder.Retry(now)
	h.recordAdmit(now, &tracepb.HolderAdmit{Retry: true, Admitted: admitted, RetryAfter: int64(retryAfter)})
	return admitted, retryAfter
}

func (h *Holder) recordAdmit(now time.Time, event *tracepb.HolderAdmit) {
	if h.recorder != nil {
		h.record(now, &tracepb.HolderEvent{Event: &tracepb.HolderEvent_Admit{Admit: event}})
	}
}

// Done calls share.Holder.Done and records the call.
func (h *Holder) Done() {
	h.Holder.Done()
	if h.recorder != nil {
		h.record(h.recorder.now(), &tracepb.HolderEvent{Event: &tracepb.HolderEvent_Done{Done: &tracepb.HolderDone{}}})
	}
}

// NextLoanRequest calls share.Holder.NextLoanRequest and records the call. Calls for which no loan request is due are
// recorded too, because they advance the window over which demand is counted.
func (h *Holder) NextLoanRequest(now time.Time) (share.LoanRequest, bool) {
	request, due := h.Holder.NextLoanRequest(now)
	if h.recorder != nil {
		event := &tracepb.HolderAsk{}
		if due {
			event.Ask = loanRequestOf(request)
		}
		h.record(now, &tracepb.HolderEvent{Event: &tracepb.HolderEvent_Ask{Ask: event}})
	}
	return request, due
}

// OnLoan calls share.Holder.OnLoan and records the call.
func (h *Holder) OnLoan(sent, now time.Time, loan share.Loan) {
	h.Holder.OnLoan(sent, now, loan)
	if h.recorder != nil {
		event := &tracepb.HolderLoan{Sent: h.recorder.offset(sent), Loan: loanOf(loan)}
		h.record(now, &tracepb.HolderEvent{Event: &tracepb.HolderEvent_Loan{Loan: event}})
	}
}

func (h *Holder) record(now time.Time, e *tracepb.HolderEvent) {
	e.Plan, e.Holder, e.At = h.plan, h.name, h.recorder.offset(now)
	h.recorder.write(&tracepb.Record{Record: &tracepb.Record_Holder{Holder: e}})
}

func amountOf(a share.Amount) *tracepb.Amount {
	return &tracepb.Amount{Rate: a.Rate, Concurrency: int64(a.Concurrency)}
}

func loanOf(l share.Loan) *tracepb.Loan {
	return &tracepb.Loan{Epoch: l.ID.Epoch, Number: l.ID.Number, Amount: amountOf(l.Amount), Time: int64(l.Duration)}
}

func loanRequestOf(a share.LoanRequest) *tracepb.Ask {
	return &tracepb.Ask{
		Holder: a.Holder, UsingEpoch: a.LoanID.Epoch, UsingNumber: a.LoanID.Number, Held: amountOf(a.LoanAmount),
		HeldFor: int64(a.LoanTimeLeft), InFlight: int64(a.InFlight), Want: amountOf(a.Demand),
	}
}
