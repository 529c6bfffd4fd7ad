package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/query"
)

// kindClaims is the kind of the objects that record claims.
const kindClaims = "claims"

// claimRetention is the time after which a claim object expires.
const claimRetention = time.Hour

// claim is the data of a claim object.
type claim struct {
	Instance string `json:"instance"`
	Done     bool   `json:"done"`
	Result   string `json:"result,omitempty"`
}

// Execute implements caller.Backend. A claim is stored before the request is sent, so that no
// instance sends the same key again.
func (s *Service) Execute(ctx context.Context, e caller.Execute) (caller.Execution, *problem.Problem) {
	limit, p := s.authorise(e.Plan, e.Index)
	if p == nil && !limit.MayExecute {
		p = refusal(http.StatusForbidden, problem.PlanRefused, "plan "+e.Plan+" may not send requests that may not be repeated")
	}
	if p != nil {
		return caller.Execution{}, p
	}
	ix, known := s.lookup(e.Index)
	if !known {
		return caller.Execution{}, refusal(http.StatusNotFound, problem.UnknownIndex, "no index is named "+e.Index)
	}
	version, p := s.storeClaim(ctx, e)
	if p != nil {
		return s.resend(ctx, e, p)
	}
	result, outcome := s.sendOnce(ctx, ix, e, time.Now().Add(limit.Deadline()))
	if outcome != query.OutcomeAnswered {
		return caller.Execution{}, unknownOutcome("the target did not answer; the request may have run")
	}
	s.storeResult(ctx, e.Key, version, result)
	return caller.Execution{Key: e.Key, Instance: s.instance, Result: result}, nil
}

func (s *Service) storeClaim(ctx context.Context, e caller.Execute) (platform.Version, *problem.Problem) {
	data, err := json.Marshal(claim{Instance: s.instance})
	if err != nil {
		panic(errors.Wrap(err, "encode claim"))
	}
	obj := platform.Object{Kind: kindClaims, Name: e.Key, Data: data}
	version, err := s.platform.Put(ctx, "claim", obj, 0, claimRetention)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return 0, &problem.Problem{Status: http.StatusConflict, Code: problem.Conflict, Run: problem.MayHaveRun}
	case err != nil:
		return 0, s.platformUnavailable(e)
	}
	return version, nil
}

// platformUnavailable promises "not run" only for the first submission of a key, because an
// earlier one may have run.
func (s *Service) platformUnavailable(e caller.Execute) *problem.Problem {
	p := &problem.Problem{
		Status: http.StatusServiceUnavailable, Code: problem.PlatformUnavailable, Run: problem.MayHaveRun,
		Message: "the claim could not be stored; this submission was not sent to a target",
	}
	if e.FirstSubmission {
		p.Run = problem.NotRun
	}
	return p
}

// resend answers a key that has a claim already.
func (s *Service) resend(ctx context.Context, e caller.Execute, p *problem.Problem) (caller.Execution, *problem.Problem) {
	if p.Code != problem.Conflict {
		return caller.Execution{}, p
	}
	obj, err := s.platform.Get(ctx, "claim_read", kindClaims, e.Key)
	var c claim
	if err != nil || json.Unmarshal(obj.Data, &c) != nil || !c.Done {
		return caller.Execution{}, unknownOutcome("an earlier submission of the key has no recorded result")
	}
	return caller.Execution{Key: e.Key, Instance: s.instance, Result: c.Result, Repeated: true}, nil
}

// sendOnce sends the request to one target and never again.
func (s *Service) sendOnce(ctx context.Context, ix *index, e caller.Execute, deadline time.Time) (string, query.Outcome) {
	m, known := ix.chooseSnapshot()
	if !known {
		return "", query.OutcomeNotRun
	}
	id, ok := ix.peek(m.Shards[0])
	if !ok {
		return "", query.OutcomeNotRun
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result, outcome := s.targets.Execute(ctx, target.Execution{
		Address: ix.address(id), Key: e.Key, Attempt: s.nextAttempt(), Index: e.Index, Body: []byte(e.Body),
		TimeLeft: time.Until(deadline),
	})
	return string(result), outcome
}

func (s *Service) storeResult(ctx context.Context, key string, version platform.Version, result string) {
	data, err := json.Marshal(claim{Instance: s.instance, Done: true, Result: result})
	if err != nil {
		panic(errors.Wrap(err, "encode claim"))
	}
	obj := platform.Object{Kind: kindClaims, Name: key, Data: data}
	if _, err := s.platform.Put(ctx, "claim_result", obj, version, claimRetention); err != nil {
		s.counters.Counter("claim_results_not_stored").Add(1)
	}
}

func unknownOutcome(message string) *problem.Problem {
	return &problem.Problem{
		Status: http.StatusGatewayTimeout, Code: problem.OutcomeUnknown, Message: message, Run: problem.MayHaveRun,
	}
}
