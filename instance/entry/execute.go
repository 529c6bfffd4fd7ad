package entry

import (
	"context"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/instance/claims"
)

// Claims runs requests that must not run more than once.
type Claims interface {
	Execute(ctx context.Context, r claims.Request) claim.Answer
}

// UseClaims sets the service that runs execute requests. It must be called before Start.
func (s *Service) UseClaims(c Claims) { s.claims = c }

// Execute implements caller.Backend. A refusal before the claim states "not run" only for the first submission of a
// key, because an earlier submission may have run.
func (s *Service) Execute(ctx context.Context, e caller.ExecuteRequest) (caller.ExecuteResult, *problem.Problem) {
	limit, p := s.authoriseExecute(e)
	if p != nil {
		return caller.ExecuteResult{}, s.refuseExecute(e, p)
	}
	key, err := claim.ParseKey(e.Key)
	if err != nil {
		return caller.ExecuteResult{}, refusal(http.StatusBadRequest, problem.BadRequest, err.Error())
	}
	release, p := s.limits.Admit(ctx, e.Plan)
	if p != nil {
		return caller.ExecuteResult{}, s.refuseExecute(e, p)
	}
	defer release()
	a := s.claims.Execute(ctx, claims.Request{
		Key: key, Plan: e.Plan, Index: e.Index, Body: e.Body, First: e.FirstSubmission,
		Deadline: time.Now().Add(limit.Deadline()),
	})
	if p := claims.Problem(a); p != nil {
		return caller.ExecuteResult{}, p
	}
	return caller.ExecuteResult{Key: e.Key, Instance: s.instance, Result: a.Result, Repeated: a.Repeated}, nil
}

// authoriseExecute returns the limit of the plan if the plan may send this request.
func (s *Service) authoriseExecute(e caller.ExecuteRequest) (config.Limit, *problem.Problem) {
	limit, p := s.authorise(e.Plan, e.Index)
	if p != nil {
		return config.Limit{}, p
	}
	if !limit.MayExecute {
		return config.Limit{}, refusal(http.StatusForbidden, problem.PlanRefused, "plan "+e.Plan+" may not send requests that may not be repeated")
	}
	if _, ok := s.lookup(e.Index); !ok {
		return config.Limit{}, refusal(http.StatusNotFound, problem.UnknownIndex, "no index is named "+e.Index)
	}
	return limit, nil
}

// refuseExecute counts a refusal and returns a copy of p. For a resubmitted key the copy states that the request may
// have run, because an earlier submission may have.
func (s *Service) refuseExecute(e caller.ExecuteRequest, p *problem.Problem) *problem.Problem {
	s.counters.Counter("execute_refused_" + string(p.Code)).Add(1)
	refused := *p
	if !e.FirstSubmission {
		refused.RunState = problem.MayHaveRun
	}
	return &refused
}
