package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/kernel/settings"
)

const (
	testShards = 4
	// settleTimeout bounds the wait until the instances have discovered each other or applied an edit.
	settleTimeout      = 5 * time.Second
	settlePollInterval = 5 * time.Millisecond
)

func testLists() config.Lists {
	plan := config.Plan{Name: "counter", Priority: config.PriorityHigh, Prefer: config.PreferTail}
	limit := config.Limit{
		Plan: "counter", Indexes: []string{"ledger"}, RatePerSecond: 1000, Concurrency: 100,
		DeadlineMillis: 5000, LeastCoverage: 1, MayExecute: true,
	}
	return config.Lists{
		Sequence: 1,
		Plans:    map[string]config.Entry[config.Plan]{"counter": {Value: plan, Revision: 1}},
		Limits:   map[string]config.Entry[config.Limit]{"counter": {Value: limit, Revision: 1}},
	}
}

// start starts stand-ins and two instances, and waits until both are ready and see each other as live.
func start(t *testing.T) (*fleet.Fleet, []*app.App) {
	return startWithSettings(t, func(*app.Settings) {})
}

// startWithSettings is start with changed settings of each instance.
func startWithSettings(t *testing.T, change func(*app.Settings)) (*fleet.Fleet, []*app.App) {
	t.Helper()
	f, err := fleet.Start(fleet.Deployment{
		Host: "127.0.0.1", FailureDomains: []string{"caernarfon", "llandrindod"}, Lists: testLists(), Seed: 1,
		Indexes: []fleet.Index{{Name: "ledger", Shards: testShards, Replicas: 2, Slots: 2, Connections: 25}},
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	var apps []*app.App
	var list []platform.Instance
	for _, id := range []string{"entry-1", "entry-2"} {
		s := app.Settings{
			Instance: id, FailureDomain: "caernarfon", Region: "wales", Listen: "127.0.0.1:0", Platform: f.PlatformURL(),
			BalancerLag: settings.Duration(time.Millisecond), // no balancer sends requests here
		}
		change(&s)
		a, err := app.New(s, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		apps = append(apps, a)
		list = append(list, platform.Instance{ID: id, Address: a.Address(), FailureDomain: "caernarfon", State: platform.InstanceLive})
	}
	f.SetInstances(list)
	for _, a := range apps {
		require.NoError(t, a.Start(context.Background()))
		t.Cleanup(func() { require.NoError(t, a.Stop(context.Background())) })
	}
	for _, a := range apps {
		require.Eventually(t, func() bool { return settled(t, a) }, settleTimeout, settlePollInterval)
	}
	return f, apps
}

func settled(t *testing.T, a *app.App) bool {
	var status admin.Status
	require.Equal(t, http.StatusOK, do(t, http.MethodGet, a, "/v1/status", nil, nil, &status))
	live := 0
	for _, m := range status.Members {
		if m.State == "live" {
			live++
		}
	}
	var result caller.SearchResult
	code := do(t, http.MethodPost, a, "/v1/search", nil, searchBody, &result)
	return status.Ready && live == 2 && code == http.StatusOK && result.Complete
}

var searchBody = caller.SearchRequest{Plan: "counter", Index: "ledger", Query: "washed jars"}

func do(t *testing.T, method string, a *app.App, path string, header http.Header, in, out any) int {
	t.Helper()
	raw, err := json.Marshal(in)
	require.NoError(t, err)
	return doRaw(t, method, a, path, header, raw, out)
}

func doRaw(t *testing.T, method string, a *app.App, path string, header http.Header, raw []byte, out any) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+a.Address()+path, bytes.NewReader(raw))
	require.NoError(t, err)
	if header != nil {
		req.Header = header
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	if out != nil {
		require.NoError(t, json.Unmarshal(body, out), "%s", body)
	}
	return resp.StatusCode
}

// Guards against instances that answer the same search with different results or without all shards.
func TestInstancesReturnSameSearchResult(t *testing.T) {
	_, apps := start(t)
	var first, second caller.SearchResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &first))
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[1], "/v1/search", nil, searchBody, &second))
	require.True(t, first.Complete)
	require.Len(t, first.Coverage.Included, testShards)
	require.Equal(t, first.Hits, second.Hits)
	require.Equal(t, first.Snapshot, second.Snapshot)
	require.Equal(t, first.Coverage, second.Coverage)
}

// Guards against an edit that is applied only at the instance that accepted it.
func TestPlanEditTakesEffectAtBothInstances(t *testing.T) {
	_, apps := start(t)
	plan := testLists().Plans["counter"].Value
	plan.Suspended = true
	header := http.Header{}
	header.Set(admin.HeaderIfRevision, "1")
	header.Set(admin.HeaderEditID, "suspend")
	require.Equal(t, http.StatusOK, do(t, http.MethodPut, apps[0], "/v1/plans/counter", header, plan, nil))
	for _, a := range apps {
		require.Eventually(t, func() bool {
			return do(t, http.MethodPost, a, "/v1/search", nil, searchBody, nil) == http.StatusForbidden
		}, settleTimeout, settlePollInterval)
	}
}

// Guards against a second run of a request that may not be repeated when it is resent through another instance.
func TestResendIsAnsweredFromTheFirstRun(t *testing.T) {
	f, apps := start(t)
	key := newKey("credit")
	body := caller.ExecuteRequest{Plan: "counter", Index: "ledger", Key: key, Body: "credit 2", FirstSubmission: true}
	var first, second caller.ExecuteResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/execute", nil, body, &first))
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[1], "/v1/execute", nil, body, &second))
	require.True(t, second.Repeated)
	require.Equal(t, first.Result, second.Result)
	runs := 0
	for _, s := range f.Searchers {
		runs += s.Executions(key)
	}
	require.Equal(t, 1, runs)
}

// newKey returns a key with the current time, because keys with an old time are refused as expired.
func newKey(name string) string { return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name) }

// Guards against crashes on malformed requests and against errors without a code.
func TestMalformedRequestsGetTypedErrors(t *testing.T) {
	_, apps := start(t)
	cases := []struct {
		name, body string
		status     int
		code       problem.Code
	}{
		{"not JSON", `{`, http.StatusBadRequest, problem.BadRequest},
		{"unknown key", `{"plan":"counter","index":"ledger","colour":1}`, http.StatusBadRequest, problem.BadRequest},
		{"no plan", `{"index":"ledger"}`, http.StatusBadRequest, problem.BadRequest},
		{"unknown plan", `{"plan":"nobody","index":"ledger"}`, http.StatusForbidden, problem.UnknownPlan},
		{"index not allowed", `{"plan":"counter","index":"other"}`, http.StatusForbidden, problem.PlanRefused},
		{"too large", `{"plan":"` + strings.Repeat("x", 100_000) + `"}`, http.StatusRequestEntityTooLarge, problem.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var body struct{ Error problem.Problem }
			require.Equal(t, c.status, doRaw(t, http.MethodPost, apps[0], "/v1/search", nil, []byte(c.body), &body))
			require.Equal(t, c.code, body.Error.Code)
			require.Equal(t, problem.NotRun, body.Error.RunState)
		})
	}
}

// Guards against searches that fail because the platform is stopped, and against edits and executes that are then
// refused without an error code.
func TestRequestsWhilePlatformIsStopped(t *testing.T) {
	f, apps := start(t)
	f.StopPlatform()
	var result caller.SearchResult
	require.Equal(t, http.StatusOK, do(t, http.MethodPost, apps[0], "/v1/search", nil, searchBody, &result))
	require.True(t, result.Complete)
	header := http.Header{}
	header.Set(admin.HeaderIfRevision, "1")
	header.Set(admin.HeaderEditID, "suspend")
	var body struct{ Error problem.Problem }
	code := do(t, http.MethodPut, apps[0], "/v1/plans/counter", header, testLists().Plans["counter"].Value, &body)
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, problem.PlatformUnavailable, body.Error.Code)
	execute := caller.ExecuteRequest{Plan: "counter", Index: "ledger", Key: newKey("a"), FirstSubmission: true}
	require.Equal(t, http.StatusServiceUnavailable, do(t, http.MethodPost, apps[0], "/v1/execute", nil, execute, &body))
	require.Equal(t, problem.NotRun, body.Error.RunState)
}
