package entry

import (
	"net/http"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
)

// admittedRequest is a request that a controller counts as in flight until end is called.
type admittedRequest struct {
	index      *index
	controller *admission.Controller // guarded by index.mu
	ticket     admission.Ticket
}

// admissionRefusal is the reason why a controller refused a request and the time until a retry may succeed.
type admissionRefusal struct {
	verdict    admission.Verdict
	retryAfter time.Duration
}

// admit asks c, a controller of the index, to admit a request. The second result is nil if the request is
// admitted.
func (ix *index) admit(c *admission.Controller, p query.Priority, timeLeft time.Duration) (admittedRequest, *admissionRefusal) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	ticket, v := c.Admit(time.Now(), p, timeLeft)
	if v != admission.Admitted {
		return admittedRequest{}, &admissionRefusal{verdict: v, retryAfter: c.RetryAfter()}
	}
	return admittedRequest{index: ix, controller: c, ticket: ticket}, nil
}

// end reports the end of the request to the controller. Only a complete answer, or one that lacks shards because
// of the deadline, indicates the load on the index, so the result is recorded only then. finished is false if the
// request was refused or its caller has disconnected.
func (a admittedRequest) end(finished bool, coverage query.Coverage) {
	a.index.mu.Lock()
	defer a.index.mu.Unlock()
	timedOut := coverage.TimedOut()
	if !finished || !coverage.Complete() && !timedOut {
		a.controller.Abandon()
		return
	}
	a.controller.Done(time.Now(), a.ticket, timedOut)
}

// admitSearch admits a search or returns why it is refused. It is called before any sub-request is sent.
func (s *Service) admitSearch(ix *index, req query.Request) (admittedRequest, *problem.Problem) {
	a, refused := ix.admit(ix.admission, req.Priority, time.Until(req.Deadline))
	if refused == nil {
		return a, nil
	}
	s.counters.Counter("admission_refused_" + req.Priority.String() + "_" + refused.verdict.String()).Add(1)
	p := refusal(http.StatusServiceUnavailable, problem.Overloaded, refusalText[refused.verdict])
	return admittedRequest{}, p.WithRetryAfter(refused.retryAfter)
}

var refusalText = map[admission.Verdict]string{
	admission.TooLate: "the deadline is shorter than the usual latency of the index",
	admission.Full:    "the instance has as many searches of the index in flight as the plan's priority may use",
}
