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

// lenderKey identifies one lender. Each lender of a plan has its own epoch.
type lenderKey struct {
	plan  string
	epoch uint64
}

type lenderReplay struct {
	lender   *trace.Lender
	events   int
	diverged bool
}

// planReplay is the replay of the holders of one plan.
type planReplay struct {
	holders map[string]*holderReplay
	// limit is the maximum of all limits so far, because loans from an earlier limit may still be in use.
	limit    share.Amount
	admitted []time.Time
	refused  int
	exceeded bool
}

type holderReplay struct {
	holder   *trace.Holder
	events   int
	diverged bool
}

func (r *replayer) replayLender(want *tracepb.LenderEvent) {
	key := lenderKey{plan: want.GetPlan(), epoch: want.GetEpoch()}
	name := fmt.Sprintf("lender %d of plan %s", key.epoch, key.plan)
	now := r.advanceTo(want.GetAt())
	l := r.lenders[key]
	if open := want.GetOpen(); open != nil {
		lender := trace.NewLender(key.plan, amountOf(open.GetLimit()), key.epoch, now, open.GetHasPredecessor(), r.recorder)
		r.lenders[key] = &lenderReplay{lender: lender}
		return
	}
	if l == nil {
		r.addViolation("%s: the trace contains no open event", name)
		r.lenders[key] = &lenderReplay{diverged: true}
		return
	}
	if l.diverged {
		return
	}
	l.events++
	r.got = nil
	panicked := catchPanic(func() {
		switch {
		case want.GetAsk() != nil:
			l.lender.OnLoanRequest(now, askOf(want.GetAsk().GetAsk()))
		default:
			l.lender.SetLimit(amountOf(want.GetSetLimit()))
		}
	})
	l.diverged = !r.compare(name, l.events, describeEvent("call", want.GetAt()), panicked, want, r.got.GetLender())
}

func (r *replayer) replayHolder(want *tracepb.HolderEvent) {
	p, ok := r.plans[want.GetPlan()]
	if !ok {
		p = &planReplay{holders: map[string]*holderReplay{}}
		r.plans[want.GetPlan()] = p
	}
	name := "holder " + want.GetHolder() + " of plan " + want.GetPlan()
	now := r.advanceTo(want.GetAt())
	if open := want.GetOpen(); open != nil {
		r.openHolder(p, want, now)
		return
	}
	h := p.holders[want.GetHolder()]
	if h == nil {
		r.addViolation("%s: the trace contains no open event", name)
		h = &holderReplay{diverged: true}
		p.holders[want.GetHolder()] = h
	}
	if h.diverged {
		return
	}
	h.events++
	r.got = nil
	panicked := catchPanic(func() { r.feedHolder(h.holder, now, want) })
	h.diverged = !r.compare(name, h.events, describeEvent("call", want.GetAt()), panicked, want, r.got.GetHolder())
	if h.diverged {
		return
	}
	p.countAdmissions(want, now)
	// A Done event has the time of the recorder's clock, not that of the decision.
	if want.GetDone() == nil {
		r.checkAllowances(want.GetPlan(), p, now)
	}
}

func (r *replayer) openHolder(p *planReplay, want *tracepb.HolderEvent, now time.Time) {
	open := want.GetOpen()
	p.raiseLimit(open)
	holder := trace.NewHolder(want.GetPlan(), want.GetHolder(), amountOf(open.GetLimit()), int(open.GetMembers()), now, r.recorder)
	p.holders[want.GetHolder()] = &holderReplay{holder: holder}
}

func (r *replayer) feedHolder(h *trace.Holder, now time.Time, e *tracepb.HolderEvent) {
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
		h.OnLoan(r.timeAt(x.Loan.GetSent()), now, loanOf(x.Loan.GetLoan()))
	}
}

func (p *planReplay) raiseLimit(l *tracepb.HolderLimit) {
	limit := amountOf(l.GetLimit())
	p.limit.Rate = max(p.limit.Rate, limit.Rate)
	p.limit.Concurrency = max(p.limit.Concurrency, limit.Concurrency)
}

func (p *planReplay) countAdmissions(e *tracepb.HolderEvent, now time.Time) {
	switch {
	case e.GetSetLimit() != nil:
		p.raiseLimit(e.GetSetLimit())
	case e.GetAdmit().GetAdmitted():
		p.admitted = append(p.admitted, now)
	case e.GetAdmit() != nil:
		p.refused++
	}
}

// checkAllowances checks that the total allowance of the holders does not exceed the limit.
func (r *replayer) checkAllowances(plan string, p *planReplay, now time.Time) {
	var total share.Amount
	for _, h := range p.holders {
		if h.holder == nil {
			continue
		}
		a := h.holder.Allowance(now)
		total.Rate += a.Rate
		total.Concurrency += a.Concurrency
	}
	if p.exceeded || total.Rate <= p.limit.Rate*(1+rateTolerance) && total.Concurrency <= p.limit.Concurrency {
		return
	}
	p.exceeded = true
	r.addViolation("plan %s: at %s the holders may use %+v in total, the limit is %+v", plan, now.Sub(r.start), total, p.limit)
}

// finishPlans checks the maximum number of requests admitted within one second and adds the outcomes of the
// plans.
func (r *replayer) finishPlans() {
	for _, plan := range slices.Sorted(maps.Keys(r.plans)) {
		p := r.plans[plan]
		peak := maxInOneSecond(p.admitted)
		// Each holder may admit at once the requests of share.BurstWindow, and always at least one.
		allowed := p.limit.Rate*(1+share.BurstWindow.Seconds()) + float64(len(p.holders))
		if float64(peak) > allowed {
			r.addViolation("plan %s: %d requests were admitted in one second, the limit allows %.0f", plan, peak, allowed)
		}
		r.report.Admitted[plan] = len(p.admitted)
		r.report.Found.Plans = append(r.report.Found.Plans, PlanOutcome{
			Plan: plan, LimitRate: p.limit.Rate, LimitConcurrency: p.limit.Concurrency, Holders: len(p.holders),
			Requests: len(p.admitted) + p.refused, WithinLimit: !p.exceeded && float64(peak) <= allowed,
		})
	}
}

// maxInOneSecond returns the maximum number of times within one second. The times must be in ascending order.
func maxInOneSecond(times []time.Time) int {
	peak, first := 0, 0
	for last, t := range times {
		for !times[first].After(t.Add(-time.Second)) {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
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
