package claims

import (
	"net/http"
	"time"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/claim"
)

// retryAfter is the time after which a caller should submit again: the store, the members and a
// running request may have moved on by then.
const retryAfter = time.Second

// Problem returns what a caller is told if the answer holds no result, and nil if it does.
func Problem(a claim.Answer) *problem.Problem {
	switch a.State {
	case claim.Done:
		if !a.Omitted {
			return nil
		}
		return unknown(http.StatusGone, "the request ran; its result was too large to keep for a resend")
	case claim.NotRun:
		return notRun(a.Reason)
	case claim.Running:
		return unknown(http.StatusGatewayTimeout, "the request is running").WithRetryAfter(retryAfter)
	}
	return unknownFor(a.Reason)
}

func unknown(status int, message string) *problem.Problem {
	return &problem.Problem{Status: status, Code: problem.OutcomeUnknown, Message: message, Run: problem.MayHaveRun}
}

func notRun(why claim.Reason) *problem.Problem {
	p := &problem.Problem{Status: http.StatusServiceUnavailable, Run: problem.NotRun}
	switch why {
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

func unknownFor(why claim.Reason) *problem.Problem {
	switch why {
	case claim.ReasonExpired:
		return unknown(http.StatusGone, "key expired; an earlier submission may have run")
	case claim.ReasonAhead:
		return unknown(http.StatusBadRequest, "key: its time is too far ahead; an earlier submission may have run")
	case claim.ReasonStore:
		p := unknown(http.StatusServiceUnavailable, "the claim could not be stored; an earlier submission may have run")
		p.Code = problem.PlatformUnavailable
		return p.WithRetryAfter(retryAfter)
	case claim.ReasonReplaced:
		return unknown(http.StatusServiceUnavailable, "the instance that writes the claim did not answer").WithRetryAfter(retryAfter)
	}
	return unknown(http.StatusGatewayTimeout, "the target did not answer; the request may have run and will not be sent again")
}
