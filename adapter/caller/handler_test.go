package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
)

// backend echoes a field of the request and returns p.
type backend struct{ p *problem.Problem }

func (b backend) Search(_ context.Context, s caller.SearchRequest) (caller.SearchResult, *problem.Problem) {
	return caller.SearchResult{Index: s.Index}, b.p
}

func (b backend) Execute(_ context.Context, e caller.ExecuteRequest) (caller.ExecuteResult, *problem.Problem) {
	return caller.ExecuteResult{Key: e.Key}, b.p
}

func post(b backend, path, body string) *httptest.ResponseRecorder {
	r := chi.NewRouter()
	caller.Routes(r, b)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

// Guards against a malformed request that reaches the backend, or whose refusal does not state that it has not run.
func TestMalformedRequests(t *testing.T) {
	const search, execute = "/v1/search", "/v1/execute"
	large := `{"plan":"` + strings.Repeat("x", 64<<10) + `"}`
	cases := []struct {
		name, path, body string
		status           int
		code             problem.Code
		message          string
	}{
		{"no body", search, ``, 400, problem.BadRequest, "body: EOF"},
		{"not JSON", search, `{`, 400, problem.BadRequest, "body: "},
		{"wrong type", search, `{"plan":1}`, 400, problem.BadRequest, "body: "},
		{"unknown key", search, `{"plan":"p","index":"i","colour":1}`, 400, problem.BadRequest, `"colour"`},
		{"two values", search, `{"plan":"p","index":"i"}{}`, 400, problem.BadRequest, "more than one"},
		{"no plan", search, `{"index":"i"}`, 400, problem.BadRequest, "plan: "},
		{"no index", search, `{"plan":"p"}`, 400, problem.BadRequest, "index: "},
		{"negative limit", search, `{"plan":"p","index":"i","limit":-1}`, 400, problem.BadRequest, "limit: "},
		{"large limit", search, `{"plan":"p","index":"i","limit":1001}`, 400, problem.BadRequest, "limit: "},
		{"negative deadline", search, `{"plan":"p","index":"i","deadline_ms":-1}`, 400, problem.BadRequest, "deadline_ms: "},
		{"too large", search, large, 413, problem.TooLarge, "65536 bytes"},
		{"execute without plan", execute, `{"index":"i","key":"k"}`, 400, problem.BadRequest, "plan: "},
		{"execute without index", execute, `{"plan":"p","key":"k"}`, 400, problem.BadRequest, "index: "},
		{"execute without key", execute, `{"plan":"p","index":"i"}`, 400, problem.BadRequest, "key: "},
		{"execute too large", execute, large, 413, problem.TooLarge, "65536 bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := post(backend{}, c.path, c.body)
			require.Equal(t, c.status, w.Code)
			p := problem.Read(w.Body.Bytes(), w.Code)
			require.NotNil(t, p)
			require.Equal(t, c.code, p.Code)
			require.Contains(t, p.Message, c.message)
			require.Equal(t, problem.NotRun, p.RunState)
		})
	}
}

// Guards against a problem whose code, run state or retry delay does not reach the caller.
func TestProblemsReachCaller(t *testing.T) {
	cases := []problem.Problem{
		{Status: 403, Code: problem.PlanRefused, Message: "m", RunState: problem.NotRun},
		{Status: 429, Code: problem.LimitReached, Message: "m", RunState: problem.NotRun, RetryAfterMillis: 1},
		{Status: 503, Code: problem.Overloaded, Message: "m", RunState: problem.NotRun, RetryAfterMillis: 1500},
		{Status: 504, Code: problem.OutcomeUnknown, Message: "m", RunState: problem.MayHaveRun},
	}
	retryAfter := []string{"", "1", "2", ""}
	bodies := map[string]string{"/v1/search": `{"plan":"p","index":"i"}`, "/v1/execute": `{"plan":"p","index":"i","key":"k"}`}
	for i, want := range cases {
		for path, body := range bodies {
			w := post(backend{p: &want}, path, body)
			got := problem.Read(w.Body.Bytes(), w.Code)
			require.Equal(t, &want, got)
			require.Equal(t, retryAfter[i], w.Header().Get("Retry-After"))
		}
	}
}

// Guards against a valid request that does not reach the backend.
func TestValidRequests(t *testing.T) {
	w := post(backend{}, "/v1/search", `{"plan":"p","index":"i","limit":1000}`)
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), `"index":"i"`)
	w = post(backend{}, "/v1/execute", `{"plan":"p","index":"i","key":"k"}`)
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), `"key":"k"`)
}
