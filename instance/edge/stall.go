package edge

import (
	"context"
	"log/slog"
	"time"
)

const (
	// stallPollInterval is the time between two readings of the clock.
	stallPollInterval = 250 * time.Millisecond
	// minStall is the minimum pause that is logged. It is several times the scheduling delay of a loaded instance
	// and less than the timeout of any route.
	minStall = 400 * time.Millisecond
)

// watchStalls logs pauses of the whole process, because it was stopped or got no CPU time, until ctx is done. Such a
// pause delays requests in flight, and their own log lines do not show why.
func watchStalls(ctx context.Context, sleep func(context.Context, time.Duration) bool, now func() time.Time, log *slog.Logger) {
	last := now()
	for sleep(ctx, stallPollInterval) {
		at := now()
		if pause := at.Sub(last) - stallPollInterval; pause >= minStall {
			log.Warn("process stood still", "pause_ms", pause.Milliseconds())
		}
		last = at
	}
}
