package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/control/share"
)

// lenderKey names one lender. The lenders of a plan differ by their epochs.
type lenderKey struct {
	plan  string
	epoch uint64
}

type lenderRun struct {
	lender  *trace.Lender
	events  int
	differs bool
}

// planRun is the replay of the holders of one plan.
type planRun struct {
	holders map[string]*holderRun
	// limit is the largest limit so far: loans under an earlier one may be in use.
	limit    share.Amount
	admitted []time.Time
	refused  int
	exceeded bool
}

type holderRun struct {
	holder  *trace.Holder
	events  int
	differs bool
}

func (r *run) replayLender(want *tracepb.LenderEvent) {
	key := lenderKey{plan: want.GetPlan(), epoch: want.GetEpoch()}
	name := fmt.Sprintf("lender %d of plan %s", key.epoch, key.plan)
	now := r.at(want.GetAt())
	l := r.lenders[key]
	if open := want.GetOpen(); open != nil {
		lender := trace.NewLender(key.plan, amountOf(open.GetLimit()), key.epoch, now, open.GetHasPredecessor(), r.recorder)
		r.lenders[key] = &lenderRun{lender: lender}
		return
	}
	if l == nil {
		r.violate("%s: the trace lacks its start", name)
		r.lenders[key] = &lenderRun{differs: true}
		return
	}
	if l.differs {
		return
	}
	l.events++
	r.got = nil
	panicked := guard(func() {
		switch {
		case want.GetAsk() != nil:
			l.lender.OnLoanRequest(now, askOf(want.GetAsk().GetAsk()))
		default:
			l.lender.SetLimit(amountOf(want.GetSetLimit()))
		}
	})
	l.differs = !r.compare(name, l.events, when("call", want.GetAt()), panicked, want, r.got.GetLender())
}

func (r *run) replayHolder(want *tracepb.HolderEvent) {
	p, ok := r.plans[want.GetPlan()]
	if !ok {
		p = &planRun{holders: map[string]*holderRun{}}
		r.plans[want.GetPlan()] = p
	}
	name := "holder " + want.GetHolder() + " of plan " + want.GetPlan()
	now := r.at(want.GetAt())
	if open := want.GetOpen(); open != nil {
		r.openHolder(p, want, now)
		return
	}
	h := p.holders[want.GetHolder()]
	if h == nil {
		r.violate("%s: the trace lacks its start", name)
		h = &holderRun{differs: true}
		p.holders[want.GetHolder()] = h
	}
	if h.differs {
		return
	}
	h.events++
	r.got = nil
	panicked := guard(func() { r.feedHolder(h.holder, now, want) })
	h.differs = !r.compare(name, h.events, when("call", want.GetAt()), panicked, want, r.got.GetHolder())
	if h.differs {
		return
	}
	p.count(want, now)
	// The end of a request is recorded with the time of the recorder's clock, not of the decision.
	if want.GetDone() == nil {
		r.checkHeld(want.GetPlan(), p, now)
	}
}

func (r *run) openHolder(p *planRun, want *tracepb.HolderEvent, now time.Time) {
	open := want.GetOpen()
	p.raise(open)
	holder := trace.NewHolder(want.GetPlan(), want.GetHolder(), amountOf(open.GetLimit()), int(open.GetMembers()), now, r.recorder)
	p.holders[want.GetHolder()] = &holderRun{holder: holder}
}

func (r *run) feedHolder(h *trace.Holder, now time.Time, e *tracepb.HolderEvent) {
	switch x := e.GetEvent().(type) {
	case *tracepb.HolderEvent_SetLimit:
		h.SetLimit(now, amountOf(x.SetLimit.GetLimit()), int(x.SetLimit.GetMembers()))
	case *tracepb.HolderEvent_Admit:
		if x.Admit.GetRetry() {
			h.Retry(now)
		} else {
			h.Admit(now)
		}
	case *tracepb.HolderEvent_Done:
		h.Done()
	case *tracepb.HolderEvent_Ask:
		h.NextLoanRequest(now)
	case *tracepb.HolderEvent_Loan:
		h.OnLoan(r.startTime(x.Loan.GetSent()), now, loanOf(x.Loan.GetLoan()))
	}
}

func (p *planRun) raise(l *tracepb.HolderLimit) {
	limit := amountOf(l.GetLimit())
	p.limit.Rate = max(p.limit.Rate, limit.Rate)
	p.limit.Concurrency = max(p.limit.Concurrency, limit.Concurrency)
}

func (p *planRun) count(e *tracepb.HolderEvent, now time.Time) {
	switch {
	case e.GetSetLimit() != nil:
		p.raise(e.GetSetLimit())
	case e.GetAdmit().GetAdmitted():
		p.admitted = append(p.admitted, now)
	case e.GetAdmit() != nil:
		p.refused++
	}
}

// checkHeld checks that the holders together may use no more than the limit.
func (r *run) checkHeld(plan string, p *planRun, now time.Time) {
	var held share.Amount
	for _, h := range p.holders {
		if h.holder == nil {
			continue
		}
		a := h.holder.Allowance(now)
		held.Rate += a.Rate
		held.Concurrency += a.Concurrency
	}
	if p.exceeded || held.Rate <= p.limit.Rate*(1+rateTolerance) && held.Concurrency <= p.limit.Concurrency {
		return
	}
	p.exceeded = true
	r.violate("plan %s: at %s the holders may use %+v, the limit is %+v", plan, now.Sub(r.start), held, p.limit)
}

// finishShares checks what was admitted in each second, and adds the outcomes of the plans.
func (r *run) finishShares() {
	for _, plan := range slices.Sorted(maps.Keys(r.plans)) {
		p := r.plans[plan]
		most := mostInASecond(p.admitted)
		// Each holder may admit the requests of share.BurstWindow at once, and at least one.
		allowed := p.limit.Rate*(1+share.BurstWindow.Seconds()) + float64(len(p.holders))
		if float64(most) > allowed {
			r.violate("plan %s: %d requests were admitted in one second, the limit allows %.0f", plan, most, allowed)
		}
		r.report.Admitted[plan] = len(p.admitted)
		r.report.Found.Plans = append(r.report.Found.Plans, PlanOutcome{
			Plan: plan, LimitRate: p.limit.Rate, LimitConcurrency: p.limit.Concurrency, Holders: len(p.holders),
			Requests: len(p.admitted) + p.refused, WithinLimit: !p.exceeded && float64(most) <= allowed,
		})
	}
}

func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for last, t := range times {
		for !times[first].After(t.Add(-time.Second)) {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func amountOf(a *tracepb.Amount) share.Amount {
	return share.Amount{Rate: a.GetRate(), Concurrency: int(a.GetConcurrency())}
}

func loanOf(l *tracepb.Loan) share.Loan {
	return share.Loan{
		ID: share.LoanID{Epoch: l.GetEpoch(), Number: l.GetNumber()}, Amount: amountOf(l.GetAmount()),
		Duration: time.Duration(l.GetTime()),
	}
}

func askOf(a *tracepb.Ask) share.LoanRequest {
	return share.LoanRequest{
		Holder: a.GetHolder(), LoanID: share.LoanID{Epoch: a.GetUsingEpoch(), Number: a.GetUsingNumber()},
		LoanAmount: amountOf(a.GetHeld()), LoanTimeLeft: time.Duration(a.GetHeldFor()), InFlight: int(a.GetInFlight()),
		Demand: amountOf(a.GetWant()),
	}
}
