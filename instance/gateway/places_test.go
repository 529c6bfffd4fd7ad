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

// answerTime is how long each target works on an attempt.
const answerTime = 20 * time.Millisecond

// steady returns targets that all answer after answerTime.
func steady() *fleet {
	return &fleet{behave: func(string, int) (time.Duration, query.Reply) { return answerTime, part("xa") }}
}

// Guards against places that stay empty while requests wait for one, which takes capacity away when it is
// most needed. Load: three times what the places of two targets take, all at one moment.
func TestFreedPlaceIsUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := steady()
		s := service(t, f)
		places := placesOf(t, s, f)
		rounds := 3
		start := time.Now()
		var done sync.WaitGroup
		for range rounds * places {
			done.Go(func() {
				if got := ask(t.Context(), s, "/one/x"); got.Kind != gateway.Answered {
					t.Error(got.Kind, got.Reason)
				}
			})
		}
		done.Wait()
		require.Equal(t, time.Duration(rounds)*answerTime, time.Since(start))
	})
}

// placesOf returns the number of requests that are answered after one service time when many come.
func placesOf(t *testing.T, s *gateway.Service, f *fleet) int {
	t.Helper()
	var mu sync.Mutex
	var done sync.WaitGroup
	at, start := 0, time.Now()
	for range 40 {
		done.Go(func() {
			ask(t.Context(), s, "/one/x")
			mu.Lock()
			defer mu.Unlock()
			if time.Since(start) <= answerTime {
				at++
			}
		})
	}
	done.Wait()
	require.Positive(t, at)
	return at
}

// Guards against a place that is lost when the request that it went to ends at that moment, because its caller
// has left: the next one that waits gets it.
func TestPlaceOfACallerThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := steady()
		s := service(t, f)
		places := placesOf(t, s, f)
		start := time.Now()
		var done sync.WaitGroup
		for i := range 2 * places {
			ctx, cancel := t.Context(), func() {}
			if i >= places && i%2 == 0 {
				ctx, cancel = context.WithTimeout(t.Context(), answerTime)
			}
			done.Go(func() {
				defer cancel()
				ask(ctx, s, "/one/x")
			})
			synctest.Wait()
		}
		done.Wait()
		require.Equal(t, 2*answerTime, time.Since(start))
	})
}
