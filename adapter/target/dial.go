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
	// dialsPerSecond with a burst of one keeps every window of one second at 20 connections or fewer.
	dialsPerSecond = 19
	// dialJitter bounds the random wait before a connection is opened. It spreads the reconnects of
	// instances that lost the same target at the same time.
	dialJitter = 50 * time.Millisecond
)

// DialLimiter spreads the connections that one instance opens: at most 20 a second over all
// transports that share it. It is safe for concurrent use.
type DialLimiter struct {
	limiter *rate.Limiter
	jitter  func() time.Duration
}

// NewDialLimiter returns a limiter for one instance.
func NewDialLimiter() *DialLimiter {
	return &DialLimiter{
		limiter: rate.NewLimiter(dialsPerSecond, 1),
		jitter:  func() time.Duration { return rand.N(dialJitter) },
	}
}

// Limit makes the transport wait for the limiter before it opens a connection.
func (l *DialLimiter) Limit(transport *http.Transport) {
	open := transport.DialContext
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	transport.DialContext = l.limited(open)
}

// limited returns a *net.OpError of a dial when the wait ends early, so that the request counts as not run.
func (l *DialLimiter) limited(open DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := l.wait(ctx); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return open(ctx, network, address)
	}
}

func (l *DialLimiter) wait(ctx context.Context) error {
	if !kernel.Sleep(ctx, l.jitter()) {
		return ctx.Err()
	}
	return l.limiter.Wait(ctx)
}
