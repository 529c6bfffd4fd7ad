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

// unresponsiveList is a Lister that never answers.
type unresponsiveList struct{}

func (unresponsiveList) Instances(ctx context.Context, _ platform.Purpose) ([]platform.Instance, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a cold instance that waits for an unresponsive list before it calls the seeds, or that rarely
// retries a seed: a seed that has just started refuses connections at first.
func TestSeedsAreTriedInParallelWithList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			dials.Add(1)
			if address == "b:1" { // Its host is powered off.
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		defer startInstanceWithDial(t, unresponsiveList{}, dial, "a:1", "b:1", "c:1")()
		time.Sleep(3 * time.Second)
		// 0.8 s for the list, then at most 0.3 s between two calls to the seed that refuses them.
		require.GreaterOrEqual(t, dials.Load(), int32(7))
	})
}
