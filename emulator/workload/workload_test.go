package workload_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/emulator/workload"
	"hyssopcroft.example/kernel/settings"
)

func testWorkload() workload.Workload {
	return workload.Workload{
		Seed: 3, Duration: settings.Duration(10 * time.Second), MaxRequests: 1_000_000, MaxInFlight: 1000,
		Plans: []workload.Plan{{
			Plan: "counter", RatePerSecond: 100, NonRepeatableShare: 0.25,
			Mix: []workload.Query{{Index: "a", Weight: 3}, {Index: "b", Weight: 1}},
		}},
	}
}

// slowSender answers every request after one second.
type slowSender struct{}

func (slowSender) Send(context.Context, workload.Request) string {
	time.Sleep(time.Second)
	return workload.Answered
}

// Guards against a run that exceeds its bounds, and against latency that is measured from the time of sending
// instead of from the intended start.
func TestRunBoundsAndLatency(t *testing.T) {
	cases := []struct {
		name   string
		change func(*workload.Workload)
		check  func(*testing.T, workload.Summary)
	}{
		{"bounded by count", func(w *workload.Workload) { w.MaxRequests = 50 }, func(t *testing.T, s workload.Summary) {
			require.EqualValues(t, 50, s.Finished)
			require.EqualValues(t, 1000, s.Rows[0].P50Millis)
		}},
		{"bounded by time", func(w *workload.Workload) { w.Duration = settings.Duration(time.Second) }, func(t *testing.T, s workload.Summary) {
			require.Less(t, s.ElapsedSeconds, 2.1)
			require.Equal(t, s.Started, s.Finished)
		}},
		{"latency includes the wait for a slot", func(w *workload.Workload) { w.MaxRequests, w.MaxInFlight = 10, 1 }, func(t *testing.T, s workload.Summary) {
			maxMillis := max(s.Rows[0].MaxMillis, s.Rows[1].MaxMillis)
			require.Greater(t, maxMillis, 9000.0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := testWorkload()
				c.change(&w)
				c.check(t, workload.Driver{Workload: w, Sender: slowSender{}}.Run(t.Context()))
			})
		})
	}
}

// Guards against arrivals that differ between two runs, ignore the swing, or deviate from the shares of the
// mix. The bounds are five standard deviations.
func TestArrivalsFollowTheWorkload(t *testing.T) {
	w := testWorkload()
	w.Plans[0].Swing = &workload.Swing{Period: settings.Duration(20 * time.Second), Low: 0}
	first, second := workload.NewArrivals(w), workload.NewArrivals(w)
	peak, trough, executes, indexA, all := 0, 0, 0, 0, 0
	var last time.Duration
	for {
		r := first.Next()
		require.Equal(t, r, second.Next())
		require.GreaterOrEqual(t, r.At, last)
		if last = r.At; r.At >= 20*time.Second {
			break
		}
		all++
		if r.At < 5*time.Second || r.At >= 15*time.Second {
			peak++
		} else {
			trough++
		}
		if r.NonRepeatable {
			executes++
		}
		if r.Index == "a" {
			indexA++
		}
	}
	// The mean rate is half of 100/s. The half period around the peak contains a fraction of 1/2 + 1/π of the
	// arrivals.
	require.InDelta(t, 1000, all, 5*32)
	require.InDelta(t, 818, peak, 5*29)
	require.InDelta(t, 182, trough, 5*14)
	require.InDelta(t, 0.25, float64(executes)/float64(all), 5*0.014)
	require.InDelta(t, 0.75, float64(indexA)/float64(all), 5*0.014)
}

// Guards against load on addresses that were not given to the sender or are not loopback addresses.
func TestSenderDialsOnlyGivenLoopbackAddresses(t *testing.T) {
	for _, address := range []string{"192.0.2.1:80", "localhost:80", "127.0.0.1", ""} {
		_, err := workload.NewHTTPSender([]string{address}, 1)
		require.Error(t, err, address)
	}
	reached := false
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer other.Close()
	given := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer given.Close()
	s, err := workload.NewHTTPSender([]string{strings.TrimPrefix(given.URL, "http://")}, 1)
	require.NoError(t, err)
	require.Equal(t, "status_307", s.Send(t.Context(), workload.Request{}))
	require.False(t, reached)
}

// Guards against responses that are reported as the wrong outcome.
func TestSenderReportsOutcomes(t *testing.T) {
	cases := []struct {
		status     int
		body, want string
	}{
		{200, `{"complete":true}`, workload.Answered},
		{200, `{"complete":false}`, workload.Incomplete},
		{200, `{`, "malformed_response"},
		{429, `{"error":{"code":"limit_reached"}}`, "limit_reached"},
		{500, `oops`, "status_500"},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		s, err := workload.NewHTTPSender([]string{strings.TrimPrefix(server.URL, "http://")}, 1)
		require.NoError(t, err)
		require.Equal(t, c.want, s.Send(t.Context(), workload.Request{}))
		server.Close()
		require.Equal(t, workload.NoResponse, s.Send(t.Context(), workload.Request{}))
	}
}

// Guards against an invalid workload file that is accepted, and against an example that is rejected.
func TestLoadValidatesWorkload(t *testing.T) {
	w, err := workload.Load("../../examples/workload.json")
	require.NoError(t, err)
	require.Positive(t, w.MaxInFlight)
	require.EqualValues(t, 1, w.Plans[0].Mix[1].Weight)
	file := filepath.Join(t.TempDir(), "workload.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"duration":"1s","max_requests":0,"plans":[{"plan":"p","rate_per_second":0,"mix":[]}]}`), 0o600))
	_, err = workload.Load(file)
	var faults *settings.FaultsError
	require.ErrorAs(t, err, &faults)
	require.Equal(t, []settings.Fault{
		{Path: "/max_requests", Message: "expected a whole number from 1 to 10000000, got 0"},
		{Path: "/plans/0/mix", Message: "expected a list of at least 1, got []"},
		{Path: "/plans/0/rate_per_second", Message: "expected a number above 0 and at most 1000000, got 0"},
	}, faults.Faults)
}
