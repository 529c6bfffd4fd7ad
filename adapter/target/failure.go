package target

import (
	"context"
	"io"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"hyssopcroft.example/query"
)

// attemptTrace notes how far one request got. Its connection is nil until one took the request.
type attemptTrace struct {
	hooks httptrace.ClientTrace
	sent  atomic.Bool
	conn  atomic.Pointer[observedConn]
}

// trace returns a context under which the transport reports to the trace.
func (t *attemptTrace) trace(ctx context.Context) context.Context {
	t.hooks.GotConn = t.gotConn
	return httptrace.WithClientTrace(ctx, &t.hooks)
}

func (t *attemptTrace) gotConn(info httptrace.GotConnInfo) {
	t.sent.Store(true)
	if c, ok := info.Conn.(*observedConn); ok {
		t.conn.Store(c)
	}
}

// outcome says what a transport error tells about the request. Only an error before any
// connection took the request, or a GOAWAY that excludes it, proves that the target did not run it.
//
// A target that ends the connection while the request is in flight counts as crashed. One that
// ends it before it has sent anything has refused the connection, which says nothing about the
// request: it must not make the request a suspect.
func (t *attemptTrace) outcome(err error) query.Outcome {
	if !t.sent.Load() || ExcludedByGoAway(err) {
		return query.OutcomeNotRun
	}
	crashed := endOfConnection(err)
	if c := t.conn.Load(); c != nil {
		crashed = c.received.Load() && c.ended.Load()
	}
	if crashed {
		return query.OutcomeCrashed
	}
	return query.OutcomeUnknown
}

// goAwayText is part of the error by which net/http reports a request whose stream lies above the last
// one that the server's GOAWAY names. net/http exports no such error, and wraps it as text when it
// cannot send the body again.
const goAwayText = "received Server's graceful shutdown GOAWAY"

// ExcludedByGoAway reports whether a server that is shutting down said that it has not processed and
// will not process the request (RFC 9113, section 6.8).
func ExcludedByGoAway(err error) bool { return strings.Contains(err.Error(), goAwayText) }

// endOfConnection reports whether an error is one that the far end causes by ending a connection.
func endOfConnection(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
