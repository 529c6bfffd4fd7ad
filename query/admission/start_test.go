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
