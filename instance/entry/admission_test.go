package entry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
)

func missing(c query.Cause) query.Coverage {
	return query.Coverage{Missing: []query.MissingShard{{Shard: 1, Cause: c}}}
}

// Guards against a limit that falls because of answers that do not depend on load, so that searches are refused at
// low load, and against requests that stay counted as in flight after their end.
func TestOnlyLoadLowersTheLimit(t *testing.T) {
	const baselineLatency = 10 * time.Millisecond
	cases := []struct {
		name     string
		took     time.Duration
		finished bool
		got      query.Coverage
		refuses  bool
	}{
		{"complete answers", baselineLatency, true, query.Coverage{}, false},
		{"slow answers", 10 * baselineLatency, true, query.Coverage{}, true},
		{"timeouts", 10 * baselineLatency, true, missing(query.CauseTimeout), true},
		{"timeouts below the baseline latency", baselineLatency / 2, true, missing(query.CauseTimeout), false},
		{"lost shard awaited until the deadline", 10 * baselineLatency, true, missing(query.CauseNoReplica), false},
		{"caller gone", 10 * baselineLatency, false, query.Coverage{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ix := newIndex("ledger", "caernarfon", rand.New(rand.NewPCG(1, 1)))
				run := func(n int, took time.Duration, finished bool, got query.Coverage) {
					for range n {
						a, refused := ix.admit(ix.admission, query.PriorityBatch, time.Second)
						require.Nil(t, refused)
						time.Sleep(took)
						a.end(finished, got)
					}
				}
				run(500, baselineLatency, true, query.Coverage{})
				run(500, c.took, c.finished, c.got)
				var refused *admissionRefusal
				for range 50 {
					if _, refused = ix.admit(ix.admission, query.PriorityBatch, time.Second); refused != nil {
						break
					}
				}
				require.Equal(t, c.refuses, refused != nil)
				if c.refuses {
					require.Equal(t, admission.Full, refused.verdict)
					require.Positive(t, refused.retryAfter)
				}
				_, refused = ix.admit(ix.relayAdmission, query.PriorityBatch, time.Second)
				require.Nil(t, refused, "groups for other instances are judged by their own latency")
			})
		})
	}
}
