package entry

import (
	"context"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/instance/claims"
	"hyssopcroft.example/query"
)

// Claims runs requests that may not be repeated at most once.
type Claims interface {
	Execute(ctx context.Context, r claims.Request) claim.Answer
}

// UseClaims sets what runs requests that may not be repeated. It must be called before Start.
func (s *Service) UseClaims(c Claims) { s.claims = c }

// Execute implements caller.Backend.
func (s *Service) Execute(ctx context.Context, e caller.Execute) (caller.Execution, *problem.Problem) {
	limit, p := s.authorise(e.Plan, e.Index)
	if p == nil && !limit.MayExecute {
		p = refusal(http.StatusForbidden, problem.PlanRefused, "plan "+e.Plan+" may not send requests that may not be repeated")
	}
	if p != nil {
		return caller.Execution{}, p
	}
	if _, known := s.lookup(e.Index); !known {
		return caller.Execution{}, refusal(http.StatusNotFound, problem.UnknownIndex, "no index is named "+e.Index)
	}
	key, err := claim.ParseKey(e.Key)
	if err != nil {
		return caller.Execution{}, refusal(http.StatusBadRequest, problem.BadRequest, err.Error())
	}
	a := s.claims.Execute(ctx, claims.Request{
		Key: key, Plan: e.Plan, Index: e.Index, Body: e.Body, First: e.FirstSubmission,
		Deadline: time.Now().Add(limit.Deadline()),
	})
	if p := claims.Problem(a); p != nil {
		return caller.Execution{}, p
	}
	return caller.Execution{Key: e.Key, Instance: s.instance, Result: a.Result, Repeated: a.Repeated}, nil
}

// SendOnce implements claims.Targets. It sends the request to one target.
func (s *Service) SendOnce(ctx context.Context, r claims.Request) (string, query.Outcome) {
	ix, known := s.lookup(r.Index)
	if !known {
		return "", query.OutcomeNotRun
	}
	m, known := ix.chooseSnapshot()
	if !known {
		return "", query.OutcomeNotRun
	}
	id, ok := ix.peek(m.Shards[0])
	if !ok {
		return "", query.OutcomeNotRun
	}
	result, outcome := s.targets.Execute(ctx, target.Execution{
		Address: ix.address(id), Key: string(r.Key), Attempt: s.nextAttempt(), Index: r.Index, Body: []byte(r.Body),
		TimeLeft: time.Until(r.Deadline),
	})
	return string(result), outcome
}
