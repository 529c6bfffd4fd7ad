package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/admission"
)

// Guards against requests that wait although the store has been unavailable since the start, or that wait
// beyond their callers' deadlines.
func TestStartWait(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct{ age, left, want time.Duration }{
		"just started":      {0, time.Second, 300 * ms},
		"started recently":  {100 * ms, time.Second, 200 * ms},
		"little time left":  {0, 40 * ms, 40 * ms},
		"no time left":      {0, -5 * ms, -5 * ms},
		"store unavailable": {time.Minute, time.Second, 300*ms - time.Minute},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, admission.StartWait(c.age, c.left)) })
	}
}

// Guards against callers that use up their second attempt while the store is still unavailable. It simulates
// callers that arrive every 10 ms at an instance that started without the store. Each has one more attempt, and
// waits as advised but at most a third of its 1.2 s.
func TestStartRetryAfterServesMoreThanFixedDelay(t *testing.T) {
	const deadline, spacing = 1200 * time.Millisecond, 10 * time.Millisecond
	served := func(outage time.Duration, retryAfter func(age time.Duration) time.Duration) int {
		n := 0
		for at := time.Duration(0); at < outage; at += spacing {
			if at+min(retryAfter(at), deadline/3) >= outage {
				n++
			}
		}
		return n
	}
	fixed := func(time.Duration) time.Duration { return 100 * time.Millisecond }
	for _, outage := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		byAge := served(outage, admission.StartRetryAfter)
		require.Greater(t, byAge, 2*served(outage, fixed), "store unavailable for %v", outage)
	}
	require.Equal(t, 100*time.Millisecond, admission.StartRetryAfter(0))
	require.Equal(t, time.Second, admission.StartRetryAfter(time.Hour))
}
