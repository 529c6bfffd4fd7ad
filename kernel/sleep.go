package kernel

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	alarm := NewAlarm(d)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
