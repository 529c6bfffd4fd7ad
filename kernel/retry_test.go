package kernel_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel"
)

// Guards against a RetryAny that does not cancel a blocked function after another one has succeeded.
func TestRetryAnyReturnsOnFirstSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := func() time.Duration { return time.Second }
		blocks := func(ctx context.Context) bool {
			<-ctx.Done()
			return false
		}
		calls := 0
		thirdCall := func(context.Context) bool {
			calls++
			return calls == 3
		}
		begin := time.Now()
		require.True(t, kernel.RetryAny(t.Context(), pause, blocks, thirdCall))
		require.Equal(t, 3*time.Second, time.Since(begin))
	})
}

// Guards against a RetryAny that does not return after its context has ended because no function succeeds.
func TestRetryAnyReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		never := func(context.Context) bool { return false }
		require.False(t, kernel.RetryAny(ctx, func() time.Duration { return time.Second }, never))
	})
}
