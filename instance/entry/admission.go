package entry

import (
	"net/http"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
)

// admitted is a request that an index counts as in flight until end is called.
type admitted struct {
	index      *index
	controller *admission.Controller // guarded by index.mu
	ticket     admission.Ticket
}

// refused says why a controller refused a request and when another attempt makes sense.
type refused struct {
	verdict    admission.Verdict
	retryAfter time.Duration
}

// admit asks a controller of the index. The second result is nil if the request is admitted.
func (ix *index) admit(c *admission.Controller, p query.Priority, timeLeft time.Duration) (admitted, *refused) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ticket, v := c.Admit(time.Now(), p, timeLeft)
	if v != admission.Admitted {
		return admitted{}, &refused{verdict: v, retryAfter: c.RetryAfter()}
	}
	return admitted{index: ix, controller: c, ticket: ticket}, nil
}

// end reports what became of the request. Only an answer that is complete, or short because of the
// deadline, tells how loaded the index is. finished is false if the caller has gone.
func (a admitted) end(finished bool, got query.Coverage) {
	a.index.mu.Lock()
	defer a.index.mu.Unlock()
	timedOut := got.TimedOut()
	if !finished || !got.Complete() && !timedOut {
		a.controller.Abandon()
		return
	}
	a.controller.Done(time.Now(), a.ticket, timedOut)
}

// admitSearch admits a search or returns its refusal. No sub-request has been sent at that time.
func (s *Service) admitSearch(ix *index, req query.Request) (admitted, *problem.Problem) {
	a, no := ix.admit(ix.admission, req.Priority, time.Until(req.Deadline))
	if no == nil {
		return a, nil
	}
	s.counters.Counter("admission_refused_" + req.Priority.String() + "_" + no.verdict.String()).Add(1)
	p := refusal(http.StatusServiceUnavailable, problem.Overloaded, refusalText[no.verdict])
	return admitted{}, p.WithRetryAfter(no.retryAfter)
}

var refusalText = map[admission.Verdict]string{
	admission.TooLate: "the deadline is shorter than the usual latency of the index",
	admission.Full:    "the instance has as many searches of the index in flight as the plan's priority may use",
}
