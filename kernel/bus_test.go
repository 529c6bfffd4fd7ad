package kernel_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel"
)

type numbered struct{ N int }

func (numbered) Topic() string { return "numbered" }

// Guards against an older configuration that replaces a newer one because its event is delivered later.
func TestEventsArriveInTheOrderOfPublishing(t *testing.T) {
	const events = 2000
	for _, processors := range []int{1, 4} {
		func() {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
			bus := kernel.NewBus()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var got []int
			done := make(chan struct{})
			require.NoError(t, kernel.Subscribe(ctx, bus, func(ev numbered) {
				if got = append(got, ev.N); len(got) == events {
					close(done)
				}
			}))
			var want []int
			for n := range events {
				require.NoError(t, bus.Publish(numbered{N: n}))
				want = append(want, n)
			}
			<-done
			require.Equal(t, want, got, "with %d processors", processors)
		}()
	}
}
