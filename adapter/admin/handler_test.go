package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/kernel/timeline"
)

// backend has one plan and one limit, and returns p as the problem of each request.
type backend struct {
	p     *problem.Problem
	ready bool
}

func (b backend) Lists(context.Context) (config.Lists, *problem.Problem) {
	return config.Lists{
		Sequence: 3,
		Plans:    map[string]config.Entry[config.Plan]{"counter": {Value: config.Plan{Name: "counter"}, Revision: 2}},
		Limits:   map[string]config.Entry[config.Limit]{"counter": {Value: config.Limit{Plan: "counter"}, Revision: 3}},
	}, b.p
}

type editResult = admin.EditResult

func (b backend) accept(e admin.Edit) (editResult, *problem.Problem) {
	return editResult{Revision: e.Expected + 1, Edit: e.ID}, b.p
}

func (b backend) PutPlan(_ context.Context, _ config.Plan, e admin.Edit) (editResult, *problem.Problem) {
	return b.accept(e)
}
func (b backend) DeletePlan(_ context.Context, _ string, e admin.Edit) (editResult, *problem.Problem) {
	return b.accept(e)
}
func (b backend) PutLimit(_ context.Context, _ config.Limit, e admin.Edit) (editResult, *problem.Problem) {
	return b.accept(e)
}
func (b backend) DeleteLimit(_ context.Context, _ string, e admin.Edit) (editResult, *problem.Problem) {
	return b.accept(e)
}
func (b backend) Status() admin.Status       { return admin.Status{Instance: "entry-1"} }
func (b backend) Ready() bool                { return b.ready }
func (b backend) Timeline() []timeline.Event { return []timeline.Event{{Kind: "member_changed"}} }

// Guards against operators' requests that fail without a typed error, and against a conflict error without both
// revisions.
func TestOperatorRequests(t *testing.T) {
	const validHeaders = "If-Revision: 2\nEdit-Id: e"
	conflict := &problem.Problem{Status: 409, Code: problem.Conflict, Message: "m", Expected: 1, Actual: 2}
	unavailable := &problem.Problem{Status: 503, Code: problem.PlatformUnavailable, Message: "m", RunState: problem.MayHaveRun}
	large := `{"name":"` + strings.Repeat("x", 64<<10) + `"}`
	cases := []struct {
		name, method, path, headers, body string
		backend                           backend
		status                            int
		want                              string // part of the body
	}{
		{"list plans", "GET", "/v1/plans", "", "", backend{}, 200, `"counter":{"value":{"name":"counter"`},
		{"list limits", "GET", "/v1/limits", "", "", backend{}, 200, `"revision":3`},
		{"one plan", "GET", "/v1/plans/counter", "", "", backend{}, 200, `"revision":2`},
		{"no such plan", "GET", "/v1/plans/other", "", "", backend{}, 404, `"code":"not_found"`},
		{"no such limit", "GET", "/v1/limits/other", "", "", backend{}, 404, `"code":"not_found"`},
		{"list, platform unavailable", "GET", "/v1/plans", "", "", backend{p: unavailable}, 503, `"code":"platform_unavailable"`},
		{"put", "PUT", "/v1/plans/counter", validHeaders, `{"name":"counter"}`, backend{}, 200, `{"revision":3,"edit":"e"}`},
		{"put limit", "PUT", "/v1/limits/counter", validHeaders, `{"plan":"counter"}`, backend{}, 200, `{"revision":3,"edit":"e"}`},
		{"put without revision", "PUT", "/v1/plans/counter", "Edit-Id: e", `{"name":"counter"}`, backend{}, 400, "If-Revision"},
		{"put with a bad revision", "PUT", "/v1/plans/counter", "If-Revision: -1\nEdit-Id: e", `{"name":"counter"}`, backend{}, 400, "If-Revision"},
		{"put without an edit id", "PUT", "/v1/plans/counter", "If-Revision: 2", `{"name":"counter"}`, backend{}, 400, "Edit-Id"},
		{"put under another name", "PUT", "/v1/plans/other", validHeaders, `{"name":"counter"}`, backend{}, 400, `"code":"bad_request"`},
		{"put of malformed JSON", "PUT", "/v1/plans/counter", validHeaders, `{`, backend{}, 400, `"code":"bad_request"`},
		{"put of an unknown key", "PUT", "/v1/plans/counter", validHeaders, `{"name":"counter","colour":1}`, backend{}, 400, "colour"},
		{"put too large", "PUT", "/v1/plans/counter", validHeaders, large, backend{}, 413, `"code":"too_large"`},
		{"put conflict", "PUT", "/v1/plans/counter", validHeaders, `{"name":"counter"}`, backend{p: conflict}, 409, `"expected_revision":1,"actual_revision":2`},
		{"delete", "DELETE", "/v1/plans/counter", validHeaders, "", backend{}, 200, `{"revision":3,"edit":"e"}`},
		{"delete limit conflict", "DELETE", "/v1/limits/counter", validHeaders, "", backend{p: conflict}, 409, `"code":"conflict"`},
		{"delete without revision", "DELETE", "/v1/limits/counter", "Edit-Id: e", "", backend{}, 400, "If-Revision"},
		{"edit, platform unavailable", "DELETE", "/v1/plans/counter", validHeaders, "", backend{p: unavailable}, 503, `"run":"unknown"`},
		{"status", "GET", "/v1/status", "", "", backend{}, 200, `"instance":"entry-1"`},
		{"timeline", "GET", "/v1/timeline", "", "", backend{}, 200, `"kind":"member_changed"`},
		{"healthy but not ready", "GET", "/healthz", "", "", backend{}, 200, ""},
		{"not ready", "GET", "/readyz", "", "", backend{}, 503, ""},
		{"ready", "GET", "/readyz", "", "", backend{ready: true}, 200, ""},
		{"counters", "GET", "/debug/vars", "", "", backend{}, 200, "vars"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := chi.NewRouter()
			admin.Routes(r, c.backend, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("vars")) }))
			req := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for _, line := range strings.Split(c.headers, "\n") {
				if name, value, ok := strings.Cut(line, ": "); ok {
					req.Header.Set(name, value)
				}
			}
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			require.Equal(t, c.status, w.Code, w.Body)
			require.Contains(t, w.Body.String(), c.want)
			if w.Code >= 400 && c.name != "not ready" {
				require.NotNil(t, problem.Read(w.Body.Bytes(), w.Code))
			}
		})
	}
}
