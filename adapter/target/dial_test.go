package target

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
)

// Guards against a storm of reconnects: no second may see more than 20 new connections of an instance.
func TestAtMostTwentyConnectionsASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex // guards opened
		var opened []time.Time
		source := rand.New(rand.NewPCG(1, 1))
		l := NewDialLimiter()
		l.jitter = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(source.Int64N(int64(dialJitter)))
		}
		dial := l.limited(func(context.Context, string, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			opened = append(opened, time.Now())
			return nil, nil
		})
		var wait sync.WaitGroup
		for range 100 {
			wait.Go(func() { _, _ = dial(t.Context(), "tcp", "target") })
		}
		wait.Wait()
		require.Len(t, opened, 100)
		slices.SortFunc(opened, time.Time.Compare)
		for i := 20; i < len(opened); i++ {
			require.GreaterOrEqual(t, opened[i].Sub(opened[i-20]), time.Second, "connection %d", i)
		}
	})
}

// Guards against a request that waits for its connection beyond the deadline and then counts as one
// that may have run.
func TestWaitForConnectionCountsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewDialLimiter()
		l.limiter.Allow() // the next connection has to wait
		transport := NewTransport(time.Second, time.Second)
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
		l.Limit(transport)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		r := NewClient(transport).Search(ctx, Search{Address: "127.0.0.1:1", TimeLeft: time.Second})
		require.Equal(t, query.OutcomeNotRun, r.Outcome)
		time.Sleep(time.Second) // the transport dials on without the request
	})
}
