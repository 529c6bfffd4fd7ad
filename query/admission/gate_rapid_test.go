package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssopcroft.example/query/admission"
)

// Guards against a gate that exceeds its limit, refuses everything permanently, refuses a more urgent rank
// while it admits a less urgent one, or advises an immediate retry, for any order of arrivals and ends.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := admission.NewGate()
		now := time.Unix(0, 0)
		admitted := 0
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				rank := rapid.IntRange(-1, 9).Draw(t, "rank")
				before, limit := g.State()
				if g.Admit(rank) {
					admitted++
					require.True(t, float64(before) < limit || before == 0)
				} else if g.Admit(rank + 1) {
					t.Fatalf("rank %d is refused and %d admitted", rank, rank+1)
				}
			},
			"done": func(t *rapid.T) {
				if admitted == 0 {
					t.Skip("nothing in flight")
				}
				admitted--
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				result := rapid.SampledFrom([]admission.Result{admission.InTime, admission.Late, admission.RefusedByTargets}).Draw(t, "result")
				g.Done(now, time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Millisecond, result)
			},
			"": func(t *rapid.T) {
				inFlight, limit := g.State()
				require.Equal(t, admitted, inFlight)
				require.True(t, limit >= 8 && limit <= 1024, limit)
				require.GreaterOrEqual(t, g.RetryAfter(rapid.Float64Range(0, 1).Draw(t, "random")), 50*time.Millisecond)
			},
		})
		for admitted > 0 {
			admitted--
			g.Done(now, time.Millisecond, admission.RefusedByTargets)
		}
		require.True(t, g.Admit(9), "an idle gate admits every rank")
	})
}
