package http1_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/http1"
)

// Guards against reporting a target as unreachable although it accepts connections, or as reachable although it
// does not. Also guards against checks that open connections beyond the limit.
func TestCheckReachable(t *testing.T) {
	s := serve(t, okResponse)
	address := s.Addr().String()
	var open, most atomic.Int64
	c := http1.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		most.Store(max(most.Load(), open.Add(1)))
		return &countedConn{Conn: conn, open: &open}, nil
	}, nil)
	c.SetLimits(map[string]int{address: 1})
	for range 3 {
		require.NoError(t, c.CheckReachable(t.Context(), address))
		require.False(t, c.NeedsConnection(address), "the connection stays open")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	c.SetLimits(map[string]int{address: 1, closed: 1})
	require.Error(t, c.CheckReachable(t.Context(), closed))
	require.True(t, c.NeedsConnection(closed))
	require.Equal(t, int64(1), most.Load())
}

// Guards against a target that counts as reachable because it has left the list: without a limit, a check has to dial all the
// same, and keeps no connection (review/8).
func TestCheckReachableDialsTargetsThatHaveLeftTheList(t *testing.T) {
	s := serve(t, okResponse)
	address := s.Addr().String()
	silent := false
	var open atomic.Int64
	c := http1.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		if silent {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &countedConn{Conn: conn, open: &open}, nil
	}, nil)
	check := func(address string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		return c.CheckReachable(ctx, address)
	}
	c.SetLimits(map[string]int{address: 1})
	require.NoError(t, check(address))
	c.SetLimits(nil)
	require.NoError(t, check(address))
	require.Zero(t, open.Load(), "no connection stays open")
	require.False(t, c.NeedsConnection(address))
	require.ErrorIs(t, check("127.0.0.1:1"), syscall.ECONNREFUSED)
	silent = true
	require.ErrorIs(t, check(address), context.DeadlineExceeded)
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Guards against a crashed target that is found reachable because the end of an idle connection has not arrived yet.
func TestCheckReachableDoesNotTrustIdleConnection(t *testing.T) {
	for _, limit := range []int{1, 2} {
		s := serve(t, okResponse)
		address := s.Addr().String()
		crashed := false
		c := http1.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
			if crashed {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}, nil)
		c.SetLimits(map[string]int{address: limit})
		_, err := c.Do(t.Context(), address, newRequest("a"))
		require.NoError(t, err)
		crashed = true
		require.ErrorIs(t, c.CheckReachable(t.Context(), address), syscall.ECONNREFUSED, limit)
	}
}
