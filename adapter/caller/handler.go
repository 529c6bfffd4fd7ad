// Package caller serves the HTTP interface of callers: searches, and requests that must run at most once.
package caller

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/query"
)

const (
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 64 << 10
	// defaultLimit is the maximum number of hits of a request without a limit.
	defaultLimit = 10
	// maxLimit is the maximum limit that a request may set.
	maxLimit = 1000
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Plan  string `json:"plan"`
	Index string `json:"index"`
	Query string `json:"query"`
	// Limit is the maximum number of hits; 0 means 10.
	Limit int `json:"limit,omitempty"`
	// DeadlineMillis shortens the plan's deadline; 0 leaves it unchanged.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
}

// SearchResult is the body of the response to a successful search.
type SearchResult struct {
	Request  string         `json:"request"`
	Instance string         `json:"instance"`
	Index    string         `json:"index"`
	Snapshot query.Version  `json:"snapshot"`
	Complete bool           `json:"complete"`
	Coverage query.Coverage `json:"coverage"`
	Hits     []query.Hit    `json:"hits"`
}

// ExecuteRequest is the body of POST /v1/execute.
type ExecuteRequest struct {
	Plan  string `json:"plan"`
	Index string `json:"index"`
	// Key identifies the request across resends: "<unix milliseconds>-<random>".
	Key  string `json:"key"`
	Body string `json:"body"`
	// FirstSubmission is set if the caller has not sent the key before.
	FirstSubmission bool `json:"first_submission,omitempty"`
}

// ExecuteResult is the body of the response to a successful execute.
type ExecuteResult struct {
	Key      string `json:"key"`
	Instance string `json:"instance"`
	Result   string `json:"result"`
	// Repeated is set if the result comes from an earlier submission of the key.
	Repeated bool `json:"repeated"`
}

// Backend runs the requests of callers.
type Backend interface {
	Search(ctx context.Context, s SearchRequest) (SearchResult, *problem.Problem)
	Execute(ctx context.Context, e ExecuteRequest) (ExecuteResult, *problem.Problem)
}

// Routes adds the caller interface to a router.
func Routes(r chi.Router, b Backend) {
	r.Post("/v1/search", func(w http.ResponseWriter, req *http.Request) {
		var s SearchRequest
		if p := problem.DecodeBody(w, req, maxBodyBytes, &s); p != nil {
			problem.Write(w, p)
			return
		}
		if p := s.validate(); p != nil {
			problem.Write(w, p)
			return
		}
		result, p := b.Search(req.Context(), s)
		respond(w, result, p)
	})
	r.Post("/v1/execute", func(w http.ResponseWriter, req *http.Request) {
		var e ExecuteRequest
		if p := problem.DecodeBody(w, req, maxBodyBytes, &e); p != nil {
			problem.Write(w, p)
			return
		}
		if p := e.validate(); p != nil {
			problem.Write(w, p)
			return
		}
		result, p := b.Execute(req.Context(), e)
		respond(w, result, p)
	})
}

func respond(w http.ResponseWriter, v any, p *problem.Problem) {
	if p != nil {
		problem.Write(w, p)
		return
	}
	problem.WriteJSON(w, http.StatusOK, v)
}

func (s *SearchRequest) validate() *problem.Problem {
	switch {
	case s.Plan == "":
		return missingField("plan")
	case s.Index == "":
		return missingField("index")
	case s.Limit < 0 || s.Limit > maxLimit:
		return badRequest("limit: must be from 0 to 1000")
	case s.DeadlineMillis < 0:
		return badRequest("deadline_ms: must not be negative")
	}
	if s.Limit == 0 {
		s.Limit = defaultLimit
	}
	return nil
}

func (e *ExecuteRequest) validate() *problem.Problem {
	switch {
	case e.Plan == "":
		return missingField("plan")
	case e.Index == "":
		return missingField("index")
	case e.Key == "":
		return missingField("key")
	}
	return nil
}

func missingField(field string) *problem.Problem { return badRequest(field + ": must not be empty") }

func badRequest(message string) *problem.Problem {
	return &problem.Problem{
		Status: http.StatusBadRequest, Code: problem.BadRequest, Message: message, RunState: problem.NotRun,
	}
}
