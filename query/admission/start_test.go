package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query/admission"
)

// Guards against requests that wait although the store has been away since the start, or beyond the time of
// their callers.
func TestStartWait(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct{ age, left, want time.Duration }{
		"just started":         {0, time.Second, 300 * ms},
		"started a moment ago": {100 * ms, time.Second, 200 * ms},
		"little time left":     {0, 40 * ms, 40 * ms},
		"no time left":         {0, -5 * ms, -5 * ms},
		"store has been away":  {time.Minute, time.Second, 300*ms - time.Minute},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, admission.StartWait(c.age, c.left)) })
	}
}

// Guards against callers who spend their second attempt while the store is still away. It replays callers that
// come every 10 ms to an instance that started without the store. Each has one more attempt, and waits as advised
// but not for more than a third of its 1.2 s.
func TestStartRetryAfterServesMoreThanAFixedTime(t *testing.T) {
	const deadline, spacing = 1200 * time.Millisecond, 10 * time.Millisecond
	served := func(away time.Duration, advice func(age time.Duration) time.Duration) int {
		n := 0
		for at := time.Duration(0); at < away; at += spacing {
			if at+min(advice(at), deadline/3) >= away {
				n++
			}
		}
		return n
	}
	fixed := func(time.Duration) time.Duration { return 100 * time.Millisecond }
	for _, away := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		byAge := served(away, admission.StartRetryAfter)
		require.Greater(t, byAge, 2*served(away, fixed), "store away for %v", away)
	}
	require.Equal(t, 100*time.Millisecond, admission.StartRetryAfter(0))
	require.Equal(t, time.Second, admission.StartRetryAfter(time.Hour))
}
