package counters_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel/counters"
)

// Guards against two sets in one process that share counters, and against a response that is not
// valid JSON.
func TestSetsAreIndependent(t *testing.T) {
	first, second := counters.NewSet(), counters.NewSet()
	first.Counter("a").Add(2)
	first.Counter("a").Add(1)
	first.Func("state", func() any { return []int{1} })
	require.EqualValues(t, 3, first.Value("a"))
	require.Zero(t, first.Value("state"))
	require.Zero(t, second.Value("a"))
	w := httptest.NewRecorder()
	first.ServeHTTP(w, nil)
	require.JSONEq(t, `{"a":3,"state":[1]}`, w.Body.String())
}
