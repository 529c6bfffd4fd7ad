package target

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"
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
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialLimiter returns a limiter for one instance.
func NewDialLimiter() *DialLimiter {
	return &DialLimiter{
		limiter: rate.NewLimiter(dialsPerSecond, 1),
		jitter:  func() time.Duration { return rand.N(dialJitter) },
		dialer:  (&net.Dialer{}).DialContext,
	}
}

// Limit makes the transport open its connections through the limiter.
func (l *DialLimiter) Limit(transport *http.Transport) { transport.DialContext = l.dial }

// dial returns a *net.OpError of a dial when the wait ends early, so that the request counts as not run.
func (l *DialLimiter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.wait(ctx); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return l.dialer(ctx, network, address)
}

func (l *DialLimiter) wait(ctx context.Context) error {
	timer := time.NewTimer(l.jitter())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.limiter.Wait(ctx)
}
