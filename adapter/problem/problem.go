// Package problem holds the error body that callers and operators get, and what it promises.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Code names the kind of a problem. Codes are part of the interface and never change.
type Code string

const (
	// BadRequest says that the body or a parameter is malformed.
	BadRequest Code = "bad_request"
	// TooLarge says that the body exceeds the size limit.
	TooLarge Code = "too_large"
	// BodyLate says that the body did not arrive in time.
	BodyLate Code = "body_late"
	// UnknownPlan says that no plan has the given name.
	UnknownPlan Code = "unknown_plan"
	// PlanRefused says that the plan is suspended or may not do this.
	PlanRefused Code = "plan_refused"
	// UnknownIndex says that no index has the given name.
	UnknownIndex Code = "unknown_index"
	// LimitReached says that the plan's rate or concurrency is used up.
	LimitReached Code = "limit_reached"
	// Overloaded says that the request could not finish by its deadline.
	Overloaded Code = "overloaded"
	// NotReady says that the instance has no configuration yet or is leaving.
	NotReady Code = "not_ready"
	// CoverageShort says that the answer covers fewer shards than the plan demands.
	CoverageShort Code = "coverage_short"
	// PlatformUnavailable says that the platform's object API did not answer.
	PlatformUnavailable Code = "platform_unavailable"
	// Conflict says that the entry changed since it was read.
	Conflict Code = "conflict"
	// NotFound says that the entry does not exist.
	NotFound Code = "not_found"
	// Invalid says that the entry has an impossible value.
	Invalid Code = "invalid"
	// OutcomeUnknown says that a request that may not be repeated may have run.
	OutcomeUnknown Code = "outcome_unknown"
	// Quarantined says that the request has crashed targets and is held back.
	Quarantined Code = "quarantined"
)

// Run says whether a refused request was run.
type Run string

const (
	// NotRun is certain: no target ran any part of the request.
	NotRun Run = "not_run"
	// MayHaveRun says that nothing is certain.
	MayHaveRun Run = "unknown"
)

// Problem is a refusal or a failure as a caller sees it.
type Problem struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Run is empty where the question does not arise, as for edits of a list.
	Run Run `json:"run,omitempty"`
	// RetryAfterMillis is the time after which a new attempt makes sense; 0 gives no advice.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Expected and Actual are the revisions of a conflict.
	Expected uint64 `json:"expected_revision,omitempty"`
	Actual   uint64 `json:"actual_revision,omitempty"`
}

// Error returns the code and the message.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Message }

// WithRetryAfter returns a copy of p that advises to wait for d.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfterMillis = max(1, d.Milliseconds())
	return &c
}

type errorBody struct {
	Error *Problem `json:"error"`
}

// Write sends p as the response.
func Write(w http.ResponseWriter, p *Problem) {
	if p.RetryAfterMillis > 0 {
		seconds := (p.RetryAfterMillis + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, p.Status, errorBody{Error: p})
}

// WriteJSON sends a value as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // A write error means that the client has gone.
}

// Read decodes the problem in an error response. It returns nil if the body holds none.
func Read(raw []byte, status int) *Problem {
	var b errorBody
	if err := json.Unmarshal(raw, &b); err != nil || b.Error == nil {
		return nil
	}
	b.Error.Status = status
	return b.Error
}
