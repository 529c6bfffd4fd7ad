// Package problem defines the JSON error responses for callers and operators, and reads and writes them.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Code identifies a kind of problem. Codes are part of the public API and never change.
type Code string

const (
	// BadRequest means that the body or a parameter is malformed.
	BadRequest Code = "bad_request"
	// TooLarge means that the body exceeds the size limit.
	TooLarge Code = "too_large"
	// BodyLate means that the body did not arrive in time.
	BodyLate Code = "body_late"
	// UnknownPlan means that no plan has the given name.
	UnknownPlan Code = "unknown_plan"
	// PlanRefused means that the plan is suspended or does not permit the request.
	PlanRefused Code = "plan_refused"
	// UnknownIndex means that no index has the given name.
	UnknownIndex Code = "unknown_index"
	// LimitReached means that the plan's rate limit or concurrency limit is reached.
	LimitReached Code = "limit_reached"
	// Overloaded means that the request could not finish by its deadline.
	Overloaded Code = "overloaded"
	// NotReady means that the instance has no configuration yet or is leaving.
	NotReady Code = "not_ready"
	// CoverageShort means that the answer covers fewer shards than the plan requires.
	CoverageShort Code = "coverage_short"
	// PlatformUnavailable means that the platform's object API did not answer.
	PlatformUnavailable Code = "platform_unavailable"
	// Conflict means that the entry changed since it was read.
	Conflict Code = "conflict"
	// NotFound means that the entry does not exist.
	NotFound Code = "not_found"
	// Invalid means that the entry has an invalid value.
	Invalid Code = "invalid"
	// OutcomeUnknown means that a request that may not be repeated may have run.
	OutcomeUnknown Code = "outcome_unknown"
	// Quarantined means that the request has crashed targets and is not sent to any more targets for now.
	Quarantined Code = "quarantined"
)

// RunState states whether a target may have run a refused request.
type RunState string

const (
	// NotRun means that certainly no target ran any part of the request.
	NotRun RunState = "not_run"
	// MayHaveRun means that it is unknown whether a target ran the request.
	MayHaveRun RunState = "unknown"
)

// Problem is the body of an error response. It describes a refused or failed request.
type Problem struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RunState is empty for requests that no target runs, such as edits of a list.
	RunState RunState `json:"run,omitempty"`
	// RetryAfterMillis is the recommended delay before a retry, 0 if there is no recommendation.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Expected and Actual are the expected and the current revision in a conflict.
	Expected uint64 `json:"expected_revision,omitempty"`
	Actual   uint64 `json:"actual_revision,omitempty"`
}

// Error returns the code and the message.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Message }

// WithRetryAfter returns a copy of p that recommends a retry after d.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfterMillis = max(1, d.Milliseconds())
	return &c
}

type errorBody struct {
	Error *Problem `json:"error"`
}

// Write sends p as the response, with a Retry-After header if p recommends a retry.
func Write(w http.ResponseWriter, p *Problem) {
	if p.RetryAfterMillis > 0 {
		seconds := (p.RetryAfterMillis + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, p.Status, errorBody{Error: p})
}

// Encode returns the body of the response for p.
func Encode(p *Problem) []byte {
	body, err := json.Marshal(errorBody{Error: p})
	if err != nil {
		panic(err) // unreachable: a problem can be encoded
	}
	return body
}

// WriteJSON sends a JSON response with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // A write error means that the client has disconnected.
}

// Read decodes the body of an error response. It returns nil if the body does not contain a problem.
func Read(raw []byte, status int) *Problem {
	var b errorBody
	if err := json.Unmarshal(raw, &b); err != nil || b.Error == nil {
		return nil
	}
	b.Error.Status = status
	return b.Error
}
