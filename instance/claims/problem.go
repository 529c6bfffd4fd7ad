package claims

import (
	"net/http"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/claim"
)

// retryAfter is the time after which a caller should submit again. By then the store may have recovered,
// the members may have changed or a running request may have ended.
const retryAfter = time.Second

// Problem returns the problem to report to the caller, or nil if the answer has a result.
func Problem(a claim.Answer) *problem.Problem {
	switch a.State {
	case claim.Done:
		if !a.Omitted {
			return nil
		}
		return outcomeUnknown(http.StatusGone, "the request ran; its result was too large to keep for a resend")
	case claim.NotRun:
		return notRun(a.Reason)
	case claim.Running:
		return outcomeUnknown(http.StatusGatewayTimeout, "the request is running").WithRetryAfter(retryAfter)
	}
	return outcomeUnknownFor(a.Reason)
}

func outcomeUnknown(status int, message string) *problem.Problem {
	return &problem.Problem{Status: status, Code: problem.OutcomeUnknown, Message: message, RunState: problem.MayHaveRun}
}

func notRun(reason claim.Reason) *problem.Problem {
	p := &problem.Problem{Status: http.StatusServiceUnavailable, RunState: problem.NotRun}
	switch reason {
	case claim.ReasonAhead:
		p.Status, p.Code, p.Message = http.StatusBadRequest, problem.BadRequest, "key: its time is too far ahead"
		return p
	case claim.ReasonStore:
		p.Code, p.Message = problem.PlatformUnavailable, "the claim could not be stored; the request was not sent to a target"
		return p.WithRetryAfter(retryAfter)
	case claim.ReasonReplaced:
		p.Code, p.Message = problem.NotReady, "no instance could take the claim; the request was not sent to a target"
		return p.WithRetryAfter(retryAfter)
	}
	p.Code, p.Message = problem.Overloaded, "the request was not run and will not be under this key; submit it under a new key"
	return p.WithRetryAfter(retryAfter)
}

func outcomeUnknownFor(reason claim.Reason) *problem.Problem {
	switch reason {
	case claim.ReasonExpired:
		return outcomeUnknown(http.StatusGone, "key expired; an earlier submission may have run")
	case claim.ReasonAhead:
		return outcomeUnknown(http.StatusBadRequest, "key: its time is too far ahead; an earlier submission may have run")
	case claim.ReasonStore:
		p := outcomeUnknown(http.StatusServiceUnavailable, "the claim could not be stored; an earlier submission may have run")
		p.Code = problem.PlatformUnavailable
		return p.WithRetryAfter(retryAfter)
	case claim.ReasonReplaced:
		return outcomeUnknown(http.StatusServiceUnavailable, "the instance that writes the claim did not answer").WithRetryAfter(retryAfter)
	}
	return outcomeUnknown(http.StatusGatewayTimeout, "the target did not answer; the request may have run and will not be sent again")
}
