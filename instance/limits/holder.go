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

// planHolder is the share.Holder of one plan.
type planHolder struct {
	mu      sync.Mutex // guards the fields below
	holder  *trace.Holder
	waiting int
	loaned  chan struct{} // closed and replaced when a loan arrives
}

func (h *planHolder) nextAsk(now time.Time, limit share.Amount, members int) (share.Ask, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.SetLimit(now, limit, members)
	return h.holder.NextAsk(now)
}

func (h *planHolder) onLoan(sent time.Time, loan share.Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.OnLoan(sent, time.Now(), loan)
	close(h.loaned)
	h.loaned = make(chan struct{})
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

// retry returns a channel that is closed at the next loan if the request is refused again.
func (h *planHolder) retry() (admitted bool, retryAfter time.Duration, loaned <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	admitted, retryAfter = h.holder.Retry(time.Now())
	return admitted, retryAfter, h.loaned
}

// beginWait returns false if enough requests of the plan wait already.
func (h *planHolder) beginWait() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= maxWaiting {
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

// Admit takes a request of a plan in. The returned function is to be called when the request has
// ended. Without room it waits a short time for a loan before it refuses.
func (s *Service) Admit(ctx context.Context, plan string) (release func(), refused *problem.Problem) {
	h := s.holderFor(plan)
	admitted, retryAfter := h.admit()
	if !admitted && h.beginWait() {
		admitted, retryAfter = s.waitForRoom(ctx, plan, h)
		h.endWait()
	}
	if !admitted {
		s.cfg.Counters.Counter("limit_refusals").Add(1)
		return nil, limitReached(plan).WithRetryAfter(retryAfter)
	}
	s.cfg.Counters.Counter("limit_admissions").Add(1)
	return h.done, nil
}

// waitForRoom asks for a loan, since the first request after a time without demand finds none, and
// tries again when a loan arrives or the rate has room.
func (s *Service) waitForRoom(ctx context.Context, plan string, h *planHolder) (bool, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.longestWait(plan))
	defer cancel()
	for {
		select {
		case s.kick <- struct{}{}:
		default: // a look is due already
		}
		admitted, retryAfter, loaned := h.retry()
		if admitted {
			return true, 0
		}
		alarm := kernel.NewAlarm(min(retryAfter, loanLook))
		select {
		case <-loaned:
		case <-alarm.C:
		case <-ctx.Done():
			alarm.Stop()
			return false, retryAfter
		}
		alarm.Stop()
	}
}

// longestWait returns the time for which a request of a plan may wait for a loan.
func (s *Service) longestWait(plan string) time.Duration {
	lists, _ := s.cfg.Lists.InForce()
	return min(loanWait, lists.Limits[plan].Value.Deadline()/loanWaitShare)
}

func limitReached(plan string) *problem.Problem {
	return &problem.Problem{
		Status: http.StatusTooManyRequests, Code: problem.LimitReached, Run: problem.NotRun,
		Message: "plan " + plan + " has used up its rate or its concurrency",
	}
}

func (s *Service) holderFor(plan string) *planHolder {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holders[plan]
	if !ok {
		limit, _ := s.limitOf(plan)
		h = &planHolder{
			holder: trace.NewHolder(plan, s.cfg.Instance, limit, s.view().members(), time.Now(), s.cfg.Recorder),
			loaned: make(chan struct{}),
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

func (s *Service) forget(plan string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holders, plan)
}
