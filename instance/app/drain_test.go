package app

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/drain"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/settings"
)

// slowBackend takes handlerDuration for each request.
type slowBackend struct{}

func (slowBackend) Search(context.Context, caller.SearchRequest) (caller.SearchResult, *problem.Problem) {
	time.Sleep(handlerDuration)
	return caller.SearchResult{Complete: true}, nil
}

func (slowBackend) Execute(context.Context, caller.ExecuteRequest) (caller.ExecuteResult, *problem.Problem) {
	time.Sleep(handlerDuration)
	return caller.ExecuteResult{}, nil
}

// Guards against a shutdown that refuses requests too early, admits them too late, aborts a request in flight,
// or reports a refused resubmission as not run although an earlier submission may have run.
func TestDrainerPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var phases []drain.Phase
		s := Settings{BalancerLag: settings.Duration(5 * time.Second)}.withDefaults()
		d := newDrainer(slowBackend{}, s, counters.NewSet(), func(p drain.Phase) { phases = append(phases, p) })
		begin := time.Now()
		idle := d.begin()
		time.Sleep(4 * time.Second)
		go func() {
			result, p := d.Search(context.Background(), caller.SearchRequest{})
			require.Nil(t, p)
			require.True(t, result.Complete)
		}()
		time.Sleep(2 * time.Second)
		_, p := d.Search(context.Background(), caller.SearchRequest{})
		require.Equal(t, problem.NotRun, p.RunState)
		require.Positive(t, p.RetryAfterMillis)
		_, p = d.Execute(context.Background(), caller.ExecuteRequest{FirstSubmission: true})
		require.Equal(t, problem.NotRun, p.RunState)
		_, p = d.Execute(context.Background(), caller.ExecuteRequest{})
		require.Equal(t, problem.MayHaveRun, p.RunState)
		<-idle
		require.Equal(t, 4*time.Second+handlerDuration, time.Since(begin))
		require.Equal(t, []drain.Phase{drain.Leaving, drain.Refusing, drain.Stopping}, phases)
		require.Zero(t, d.aborted())
	})
}

// Guards against clients that keep sending on an open connection to a leaving instance.
func TestLeavingInstanceAsksToCloseConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainer(slowBackend{}, Settings{}.withDefaults(), counters.NewSet(), func(drain.Phase) {})
		handler := d.closeWhileLeaving(http.NotFoundHandler())
		header := func() string {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/search", nil))
			return w.Header().Get("Connection")
		}
		require.Empty(t, header())
		<-d.begin()
		require.Equal(t, "close", header())
	})
}
