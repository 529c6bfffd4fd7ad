package edge

import (
	"context"
	"log/slog"
	"time"
)

const (
	// stallPollInterval is the time between two looks at the clock.
	stallPollInterval = 250 * time.Millisecond
	// minStall is the shortest pause that is logged: several times what a loaded instance waits for a
	// processor, and less than the time limit of any route.
	minStall = 400 * time.Millisecond
)

// watchStalls logs the pauses in which the whole process did not run, because it was stopped or got no
// processor, until ctx is done. Requests in flight then end late for no reason that their own lines show.
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
