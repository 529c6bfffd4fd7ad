package peer

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/executepb"
	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/query"
)

// ExecutionClient returns a client of the execution service of the peer at an address.
func ExecutionClient(address string, transport http.RoundTripper) executepb.Execution {
	return executepb.NewExecutionProtobufClient("http://"+address, &http.Client{Transport: transport})
}

// AtMostOnceExecutionClient returns a client of the execution service whose requests are delivered at most once:
// the transport cannot resend a request that may have been delivered.
func AtMostOnceExecutionClient(address string, transport http.RoundTripper) executepb.Execution {
	return ExecutionClient(address, noReplay{transport})
}

// noReplay removes GetBody from requests, because net/http resends a request after some failures if it has GetBody.
type noReplay struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t noReplay) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.GetBody = nil
	return t.next.RoundTrip(req)
}

// OutcomeToWire converts the outcome of a request that is sent at most once.
func OutcomeToWire(o query.Outcome) executepb.Outcome {
	switch {
	case o == query.OutcomeAnswered:
		return executepb.Outcome_OUTCOME_ANSWERED
	case o.CertainlyNotRun():
		return executepb.Outcome_OUTCOME_NOT_RUN
	}
	return executepb.Outcome_OUTCOME_UNKNOWN
}

// OutcomeFromWire converts the outcome of a request that is sent at most once.
func OutcomeFromWire(o executepb.Outcome) query.Outcome {
	switch o {
	case executepb.Outcome_OUTCOME_ANSWERED:
		return query.OutcomeAnswered
	case executepb.Outcome_OUTCOME_NOT_RUN:
		return query.OutcomeNotRun
	}
	return query.OutcomeUnknown
}

// ExecutionHandler returns the path prefix and the handler that serve the execution service.
func ExecutionHandler(s executepb.Execution) (string, http.Handler) {
	h := executepb.NewExecutionServer(s)
	return h.PathPrefix(), h
}

// NotDelivered reports whether the error of a failed call proves that the peer did not process the call: the
// connection could not be established, or the peer's GOAWAY frame excluded the call.
func NotDelivered(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || target.ExcludedByGoAway(err)
}

// AnswerToWire converts the answer to a submission.
func AnswerToWire(a claim.Answer) *executepb.ForwardExecuteResponse {
	return &executepb.ForwardExecuteResponse{
		State: executepb.State(a.State), Result: a.Result, Omitted: a.Omitted,
		RepeatedSubmission: a.Repeated, Reason: executepb.Reason(a.Reason),
	}
}

// AnswerFromWire converts the answer to a submission. An unknown state counts as claim.Unknown and
// an unknown reason as claim.ReasonRecorded.
func AnswerFromWire(r *executepb.ForwardExecuteResponse) claim.Answer {
	state := claim.State(r.GetState())
	if state < claim.Running || state > claim.Unknown {
		state = claim.Unknown
	}
	reason := claim.Reason(r.GetReason())
	if reason > claim.ReasonAhead {
		reason = claim.ReasonRecorded
	}
	return claim.Answer{
		State: state, Result: r.GetResult(), Omitted: r.GetOmitted(), Repeated: r.GetRepeatedSubmission(), Reason: reason,
	}
}
