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

// Guards against reconnect storms: an instance must not open more than 20 connections within any second.
func TestDialLimiterRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex // guards opened
		var opened []time.Time
		rng := rand.New(rand.NewPCG(1, 1))
		l := NewDialLimiter()
		l.jitter = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(rng.Int64N(int64(maxDialJitter)))
		}
		dial := l.limitedDial(func(context.Context, string, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			opened = append(opened, time.Now())
			return nil, nil
		})
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { _, _ = dial(t.Context(), "tcp", "target") })
		}
		wg.Wait()
		require.Len(t, opened, 100)
		slices.SortFunc(opened, time.Time.Compare)
		for i := 20; i < len(opened); i++ {
			require.GreaterOrEqual(t, opened[i].Sub(opened[i-20]), time.Second, "connection %d", i)
		}
	})
}

// Guards against an unknown outcome for a request whose deadline passes while it waits for the dial limiter:
// nothing was sent, so the request was not run.
func TestDialWaitTimeoutIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewDialLimiter()
		l.limiter.Allow() // takes the only token, so that the next dial has to wait
		transport := NewTransport(time.Second, time.Second)
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
		l.Limit(transport)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		r := NewClient(transport).Search(ctx, Search{Address: "127.0.0.1:1", TimeLeft: time.Second})
		require.Equal(t, query.OutcomeNotRun, r.Outcome)
		time.Sleep(time.Second) // the transport continues its dial after the request has ended
	})
}
