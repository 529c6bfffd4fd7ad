package edge

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pause of the process that delays requests without a log line, and against log lines for the usual
// scheduling delays of a loaded instance.
func TestStalls(t *testing.T) {
	var out bytes.Buffer
	at := time.Unix(0, 0)
	ticks := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	clockRead := make(chan struct{})
	go func() {
		defer close(ended)
		sleep := func(ctx context.Context, _ time.Duration) bool {
			select {
			case <-ticks:
				return true
			case <-ctx.Done():
				return false
			}
		}
		now := func() time.Time {
			defer func() { clockRead <- struct{}{} }()
			return at
		}
		watchStalls(ctx, sleep, now, slog.New(slog.NewTextHandler(&out, nil)))
	}()
	<-clockRead
	for _, gap := range []time.Duration{stallPollInterval, 2 * stallPollInterval, 2750 * time.Millisecond, stallPollInterval} {
		at = at.Add(gap)
		ticks <- struct{}{}
		<-clockRead
	}
	cancel()
	<-ended
	require.Equal(t, 1, strings.Count(out.String(), "process stood still"), out.String())
	require.Contains(t, out.String(), "pause_ms=2500")
}
