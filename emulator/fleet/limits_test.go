package fleet_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/share"
	"hyssopcroft.example/instance/app"
)

// setRateLimit sets the plan's rate limit through the administration API and waits until it is in force at all
// instances.
func setRateLimit(t *testing.T, apps []*app.App, ratePerSecond float64) {
	t.Helper()
	limit := testLists().Limits["counter"].Value
	limit.RatePerSecond = ratePerSecond
	header := http.Header{}
	header.Set(admin.HeaderIfRevision, "1")
	header.Set(admin.HeaderEditID, "limit")
	require.Equal(t, http.StatusOK, do(t, http.MethodPut, apps[0], "/v1/limits/counter", header, limit, nil))
	for _, a := range apps {
		require.Eventually(t, func() bool {
			var status admin.Status
			do(t, http.MethodGet, a, "/v1/status", nil, nil, &status)
			return status.ConfigSequence == 2
		}, settleTimeout, settlePollInterval)
	}
}

// Guards against instances that together exceed a plan's rate limit, and against refusals that do not state that the
// request has not run.
func TestRateLimitHoldsAcrossInstances(t *testing.T) {
	_, apps := start(t)
	// At this rate the wait for the next admission is longer than a refusal takes, so that some requests are refused.
	const rate = 3.0
	setRateLimit(t, apps, rate)
	// Loans that were made under the previous, higher limit expire within LoanTime.
	loansExpired := time.Now().Add(share.LoanDuration)
	require.Eventually(t, func() bool { return time.Now().After(loansExpired) }, settleTimeout, settlePollInterval)
	start, admitted, refused := time.Now(), 0, 0
	for i := 0; time.Since(start) < time.Second; i++ {
		var body struct{ Error problem.Problem }
		if do(t, http.MethodPost, apps[i%2], "/v1/search", nil, searchBody, &body) == http.StatusOK {
			admitted++
			continue
		}
		require.Equal(t, problem.LimitReached, body.Error.Code)
		require.Equal(t, problem.NotRun, body.Error.RunState)
		require.Positive(t, body.Error.RetryAfterMillis)
		refused++
	}
	window := time.Since(start) + share.BurstWindow
	require.LessOrEqual(t, float64(admitted), rate*window.Seconds()+float64(len(apps)))
	require.Positive(t, admitted)
	require.Positive(t, refused)
}

// Guards against a refused resend that is reported as "not run", although an earlier submission may have run.
func TestRefusedResendIsNotReportedAsNotRun(t *testing.T) {
	_, apps := start(t)
	execute := caller.ExecuteRequest{Plan: "counter", Index: "other", Key: "1700000000000-a"}
	var body struct{ Error problem.Problem }
	require.Equal(t, http.StatusForbidden, do(t, http.MethodPost, apps[0], "/v1/execute", nil, execute, &body))
	require.Equal(t, problem.MayHaveRun, body.Error.RunState)
	execute.FirstSubmission = true
	require.Equal(t, http.StatusForbidden, do(t, http.MethodPost, apps[0], "/v1/execute", nil, execute, &body))
	require.Equal(t, problem.NotRun, body.Error.RunState)
}
