package target

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"hyssopcroft.example/kernel"
)

const (
	// dialsPerSecond with a burst of one allows at most 20 dials in any window of one second.
	dialsPerSecond = 19
	// maxDialJitter is the maximum random delay before a dial. It spreads the reconnects of instances that
	// lost their connections to the same target at the same time.
	maxDialJitter = 50 * time.Millisecond
)

// DialLimiter limits the rate at which one instance opens connections to 20 per second, summed over all
// transports that share the limiter. It is safe for concurrent use.
type DialLimiter struct {
	limiter *rate.Limiter
	jitter  func() time.Duration
}

// NewDialLimiter returns a limiter for one instance.
func NewDialLimiter() *DialLimiter {
	return &DialLimiter{
		limiter: rate.NewLimiter(dialsPerSecond, 1),
		jitter:  func() time.Duration { return rand.N(maxDialJitter) },
	}
}

// Limit makes the transport wait for the limiter before each dial.
func (l *DialLimiter) Limit(transport *http.Transport) {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = l.limitedDial(dial)
}

// limitedDial returns a DialFunc that waits for the limiter. If the context ends first, it fails with a
// *net.OpError with Op "dial", so that the request counts as not run.
func (l *DialLimiter) limitedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := l.wait(ctx); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return dial(ctx, network, address)
	}
}

func (l *DialLimiter) wait(ctx context.Context) error {
	if !kernel.Sleep(ctx, l.jitter()) {
		return ctx.Err()
	}
	return l.limiter.Wait(ctx)
}
