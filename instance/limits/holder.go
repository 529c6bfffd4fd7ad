package limits

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/share"
	"hyssopcroft.example/kernel"
)

// planHolder is the share.Holder of one plan, with the requests that wait for a loan.
type planHolder struct {
	mu          sync.Mutex // guards the fields below
	holder      *trace.Holder
	waiting     int           // requests that wait for a loan
	loanArrived chan struct{} // closed and replaced when a loan arrives
}

func (h *planHolder) nextLoanRequest(now time.Time, limit share.Amount, members int) (share.LoanRequest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.SetLimit(now, limit, members)
	return h.holder.NextLoanRequest(now)
}

func (h *planHolder) onLoan(sent time.Time, loan share.Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.OnLoan(sent, time.Now(), loan)
	close(h.loanArrived)
	h.loanArrived = make(chan struct{})
}

func (h *planHolder) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Done()
}

func (h *planHolder) admit() (admitted bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Admit(time.Now())
}

// retry tries to admit a waiting request again. If the request is refused, the channel is closed when the
// next loan arrives.
func (h *planHolder) retry() (admitted bool, retryAfter time.Duration, loanArrived <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	admitted, retryAfter = h.holder.Retry(time.Now())
	return admitted, retryAfter, h.loanArrived
}

// beginWait returns false if maxWaitingPerPlan requests of the plan wait already.
func (h *planHolder) beginWait() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= maxWaitingPerPlan {
		return false
	}
	h.waiting++
	return true
}

func (h *planHolder) endWait() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// Admit admits a request of a plan, or returns the problem to report to the caller. If this instance's share
// of the plan's limit is used up, it waits a short time for a loan before it refuses the request. release must
// be called when an admitted request has ended.
func (s *Service) Admit(ctx context.Context, plan string) (release func(), refusal *problem.Problem) {
	h := s.getOrCreateHolder(plan)
	admitted, retryAfter := h.admit()
	if !admitted && h.beginWait() {
		admitted, retryAfter = s.waitForCapacity(ctx, plan, h)
		h.endWait()
	}
	if !admitted {
		s.cfg.Counters.Counter("limit_refusals").Add(1)
		return nil, limitReached(plan).WithRetryAfter(retryAfter)
	}
	s.cfg.Counters.Counter("limit_admissions").Add(1)
	return h.done, nil
}

// waitForCapacity asks for a loan, since the holder has none at the first request after an idle period. It
// retries admission when a loan arrives, when the rate allows another request, or after loanRetryPeriod.
func (s *Service) waitForCapacity(ctx context.Context, plan string, h *planHolder) (bool, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.maxWait(plan))
	defer cancel()
	for {
		select {
		case s.wake <- struct{}{}:
		default: // a wake-up is pending already
		}
		admitted, retryAfter, loanArrived := h.retry()
		if admitted {
			return true, 0
		}
		alarm := kernel.NewAlarm(min(retryAfter, loanRetryPeriod))
		select {
		case <-loanArrived:
		case <-alarm.C:
		case <-ctx.Done():
			alarm.Stop()
			return false, retryAfter
		}
		alarm.Stop()
	}
}

// maxWait returns the maximum time for which a request of a plan may wait for a loan.
func (s *Service) maxWait(plan string) time.Duration {
	lists, _ := s.cfg.Lists.InForce()
	return min(maxLoanWait, lists.Limits[plan].Value.Deadline()/loanWaitDivisor)
}

func limitReached(plan string) *problem.Problem {
	return &problem.Problem{
		Status: http.StatusTooManyRequests, Code: problem.LimitReached, RunState: problem.NotRun,
		Message: "plan " + plan + " has used up its rate or its concurrency",
	}
}

func (s *Service) getOrCreateHolder(plan string) *planHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holders[plan]
	if !ok {
		limit, _ := s.limitOf(plan)
		h = &planHolder{
			holder:      trace.NewHolder(plan, s.cfg.Instance, limit, s.view().memberCount(), time.Now(), s.cfg.Recorder),
			loanArrived: make(chan struct{}),
		}
		s.holders[plan] = h
	}
	return h
}

func (s *Service) holder(plan string) (*planHolder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holders[plan]
	return h, ok
}

func (s *Service) allHolders() map[string]*planHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.holders)
}

func (s *Service) removeHolder(plan string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holders, plan)
}
