// Package admin serves the HTTP interface of operators: the lists of plans and limits, status, the timeline, counters
// and health.
package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/kernel/timeline"
)

const (
	maxEditBytes = 64 << 10
	// HeaderIfRevision carries the revision at which the entry was read; "0" creates the entry.
	HeaderIfRevision = "If-Revision"
	// HeaderEditID carries the id of the edit, by which a resend after a lost response is recognised.
	HeaderEditID = "Edit-Id"
)

// Edit is a change of one entry.
type Edit struct {
	// ID identifies the edit across resends.
	ID string
	// Expected is the revision at which the entry was read, 0 if it must not exist.
	Expected config.Revision
}

// EditResult is the body of the response to a successful edit.
type EditResult struct {
	Revision config.Revision `json:"revision"`
	Edit     string          `json:"edit"`
}

// MemberStatus is the state of one member as seen by an instance.
type MemberStatus struct {
	ID             string          `json:"id"`
	Address        string          `json:"address"`
	FailureDomain  string          `json:"failure_domain"`
	State          string          `json:"state"`
	ConfigSequence config.Revision `json:"config_sequence"`
}

// Status is the state of one instance.
type Status struct {
	Instance       string          `json:"instance"`
	FailureDomain  string          `json:"failure_domain"`
	Ready          bool            `json:"ready"`
	ConfigSequence config.Revision `json:"config_sequence"`
	// Watching is set while the instance watches the store.
	Watching bool `json:"watching"`
	// UnconfirmedSince is set while the instance cannot determine whether the store has a newer configuration.
	// It is the time at which the instance last could.
	UnconfirmedSince *time.Time     `json:"unconfirmed_since,omitempty"`
	Members          []MemberStatus `json:"members"`
}

// Backend implements the operations of the operator interface.
type Backend interface {
	Lists(ctx context.Context) (config.Lists, *problem.Problem)
	PutPlan(ctx context.Context, p config.Plan, e Edit) (EditResult, *problem.Problem)
	DeletePlan(ctx context.Context, name string, e Edit) (EditResult, *problem.Problem)
	PutLimit(ctx context.Context, l config.Limit, e Edit) (EditResult, *problem.Problem)
	DeleteLimit(ctx context.Context, plan string, e Edit) (EditResult, *problem.Problem)
	Status() Status
	Ready() bool
	Timeline() []timeline.Event
}

// Routes adds the operator interface to a router. vars serves the counters.
func Routes(r chi.Router, b Backend, vars http.Handler) {
	r.Get("/v1/plans", listRoute(b, func(l config.Lists) map[string]config.Entry[config.Plan] { return l.Plans }))
	r.Get("/v1/plans/{name}", entryRoute(b, func(l config.Lists) map[string]config.Entry[config.Plan] { return l.Plans }))
	r.Put("/v1/plans/{name}", putRoute(func(p config.Plan) string { return p.Name }, b.PutPlan))
	r.Delete("/v1/plans/{name}", deleteRoute(b.DeletePlan))
	r.Get("/v1/limits", listRoute(b, func(l config.Lists) map[string]config.Entry[config.Limit] { return l.Limits }))
	r.Get("/v1/limits/{name}", entryRoute(b, func(l config.Lists) map[string]config.Entry[config.Limit] { return l.Limits }))
	r.Put("/v1/limits/{name}", putRoute(func(l config.Limit) string { return l.Plan }, b.PutLimit))
	r.Delete("/v1/limits/{name}", deleteRoute(b.DeleteLimit))
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		problem.WriteJSON(w, http.StatusOK, b.Status())
	})
	r.Get("/v1/timeline", func(w http.ResponseWriter, _ *http.Request) {
		problem.WriteJSON(w, http.StatusOK, b.Timeline())
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(readyStatus(b.Ready())) })
	r.Handle("/debug/vars", vars)
}

func readyStatus(ready bool) int {
	if ready {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

func listRoute[T any](b Backend, pick func(config.Lists) map[string]config.Entry[T]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		lists, p := b.Lists(r.Context())
		if p != nil {
			problem.Write(w, p)
			return
		}
		problem.WriteJSON(w, http.StatusOK, pick(lists))
	}
}

func entryRoute[T any](b Backend, pick func(config.Lists) map[string]config.Entry[T]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		lists, p := b.Lists(r.Context())
		if p != nil {
			problem.Write(w, p)
			return
		}
		name := chi.URLParam(r, "name")
		entry, ok := pick(lists)[name]
		if !ok {
			problem.Write(w, notFound(name))
			return
		}
		problem.WriteJSON(w, http.StatusOK, entry)
	}
}

func putRoute[T any](nameOf func(T) string, put func(context.Context, T, Edit) (EditResult, *problem.Problem)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if p := problem.DecodeBody(w, r, maxEditBytes, &value); p != nil {
			p.RunState = ""
			problem.Write(w, p)
			return
		}
		edit, p := parseEdit(r)
		if p == nil && nameOf(value) != chi.URLParam(r, "name") {
			p = badRequest("the name in the body differs from the name in the path")
		}
		if p != nil {
			problem.Write(w, p)
			return
		}
		result, p := put(r.Context(), value, edit)
		respond(w, result, p)
	}
}

func deleteRoute(del func(context.Context, string, Edit) (EditResult, *problem.Problem)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		edit, p := parseEdit(r)
		if p != nil {
			problem.Write(w, p)
			return
		}
		result, p := del(r.Context(), chi.URLParam(r, "name"), edit)
		respond(w, result, p)
	}
}

func respond(w http.ResponseWriter, result EditResult, p *problem.Problem) {
	if p != nil {
		problem.Write(w, p)
		return
	}
	problem.WriteJSON(w, http.StatusOK, result)
}

func parseEdit(r *http.Request) (Edit, *problem.Problem) {
	expected, err := strconv.ParseUint(r.Header.Get(HeaderIfRevision), 10, 64)
	if err != nil {
		return Edit{}, badRequest("header " + HeaderIfRevision + ": must be the revision at which the entry was read, 0 to create it")
	}
	id := r.Header.Get(HeaderEditID)
	if id == "" {
		return Edit{}, badRequest("header " + HeaderEditID + ": must hold an id that is unique to the edit")
	}
	return Edit{ID: id, Expected: config.Revision(expected)}, nil
}

func badRequest(message string) *problem.Problem {
	return &problem.Problem{Status: http.StatusBadRequest, Code: problem.BadRequest, Message: message}
}

func notFound(name string) *problem.Problem {
	return &problem.Problem{Status: http.StatusNotFound, Code: problem.NotFound, Message: "no entry is named " + name}
}
