package gateway_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/query"
)

// answerTime is the service time of each attempt.
const answerTime = 20 * time.Millisecond

// newSteadySender returns a sender whose targets all answer after answerTime.
func newSteadySender() *fakeSender {
	return &fakeSender{behave: func(string, int) (time.Duration, query.Reply) { return answerTime, answer("xa") }}
}

// Guards against freed capacity that stays unused while requests wait for it, which reduces throughput under overload.
// Load: simultaneous requests for three times the capacity of two targets.
func TestFreedCapacityIsReusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSteadySender()
		s := newService(t, f)
		capacity := measureCapacity(t, s, f)
		rounds := 3
		start := time.Now()
		var done sync.WaitGroup
		for range rounds * capacity {
			done.Go(func() {
				if got := do(t.Context(), s, "/one/x"); got.Kind != gateway.Answered {
					t.Error(got.Kind, got.Reason)
				}
			})
		}
		done.Wait()
		require.Equal(t, time.Duration(rounds)*answerTime, time.Since(start))
	})
}

// measureCapacity returns the number of simultaneous requests that are answered after one service time.
func measureCapacity(t *testing.T, s *gateway.Service, f *fakeSender) int {
	t.Helper()
	var mu sync.Mutex
	var done sync.WaitGroup
	answered, start := 0, time.Now()
	for range 40 {
		done.Go(func() {
			do(t.Context(), s, "/one/x")
			mu.Lock()
			defer mu.Unlock()
			if time.Since(start) <= answerTime {
				answered++
			}
		})
	}
	done.Wait()
	require.Positive(t, answered)
	return answered
}

// Guards against capacity that is lost when it is offered to a request whose caller disconnects at the same moment: the
// next waiting request has to get it.
func TestCapacityOfferedToDepartedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSteadySender()
		s := newService(t, f)
		capacity := measureCapacity(t, s, f)
		start := time.Now()
		var done sync.WaitGroup
		for i := range 2 * capacity {
			ctx, cancel := t.Context(), func() {}
			if i >= capacity && i%2 == 0 {
				ctx, cancel = context.WithTimeout(t.Context(), answerTime)
			}
			done.Go(func() {
				defer cancel()
				do(ctx, s, "/one/x")
			})
			synctest.Wait()
		}
		done.Wait()
		require.Equal(t, 2*answerTime, time.Since(start))
	})
}
