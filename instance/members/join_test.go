package members_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
)

// unresponsiveList never answers.
type unresponsiveList struct{}

func (unresponsiveList) Instances(ctx context.Context, _ platform.Purpose) ([]platform.Instance, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a cold instance that waits for a silent list before it asks each seed, and asks again seldom: a
// seed that has just started takes no calls yet.
func TestSeedsAreTriedInParallelWithList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			dials.Add(1)
			if address == "b:1" { // Its machine has no power.
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		defer startInstanceWithDial(t, unresponsiveList{}, dial, "a:1", "b:1", "c:1")()
		time.Sleep(3 * time.Second)
		// 0.8 s for the list, then at most 0.3 s between two calls of the seed that refuses them.
		require.GreaterOrEqual(t, dials.Load(), int32(7))
	})
}
