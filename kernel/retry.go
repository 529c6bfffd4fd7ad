package kernel

import (
	"context"
	"sync"
	"time"
)

// RetryAny calls each function repeatedly, with a delay before each call, until one of them returns true. The functions
// run concurrently; the context passed to them is cancelled when one succeeds. It returns false if ctx ends first.
func RetryAny(ctx context.Context, nextDelay func() time.Duration, attempts ...func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	succeeded := make(chan struct{}, len(attempts))
	var wg sync.WaitGroup
	for _, attempt := range attempts {
		wg.Go(func() {
			for Sleep(ctx, nextDelay()) {
				if attempt(ctx) {
					succeeded <- struct{}{}
					cancel()
					return
				}
			}
		})
	}
	wg.Wait()
	return len(succeeded) > 0
}
