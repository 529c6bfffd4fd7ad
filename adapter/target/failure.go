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

// attemptTrace records the progress of one request. conn is nil until the request is assigned to an observed
// connection.
type attemptTrace struct {
	hooks httptrace.ClientTrace
	sent  atomic.Bool
	conn  atomic.Pointer[observedConn]
}

// withTrace returns a context with which the transport reports its progress to t.
func (t *attemptTrace) withTrace(ctx context.Context) context.Context {
	t.hooks.GotConn = t.gotConn
	return httptrace.WithClientTrace(ctx, &t.hooks)
}

func (t *attemptTrace) gotConn(info httptrace.GotConnInfo) {
	t.sent.Store(true)
	if c, ok := info.Conn.(*observedConn); ok {
		t.conn.Store(c)
	}
}

// outcome classifies a transport error. The target certainly did not run the request if the error occurred
// before the request was assigned to a connection, or if a GOAWAY excludes the request.
//
// A target that closes the connection while the request is in flight counts as crashed. A target that
// closes it before sending any data has refused the connection. That is no evidence that the request
// crashes targets, so the outcome is unknown.
func (t *attemptTrace) outcome(err error) query.Outcome {
	if !t.sent.Load() || ExcludedByGoAway(err) {
		return query.OutcomeNotRun
	}
	crashed := closedByPeer(err)
	if c := t.conn.Load(); c != nil {
		crashed = c.received.Load() && c.closedByPeer.Load()
	}
	if crashed {
		return query.OutcomeCrashed
	}
	return query.OutcomeUnknown
}

// goAwayText is part of the net/http error for a request whose stream ID is above the last one in the
// server's GOAWAY. The text is matched because net/http does not export the error, and formats it into the
// text of another error when it cannot resend the body.
const goAwayText = "received Server's graceful shutdown GOAWAY"

// ExcludedByGoAway reports whether err means that a server that is shutting down has not processed the
// request and will not process it (RFC 9113, section 6.8).
func ExcludedByGoAway(err error) bool { return strings.Contains(err.Error(), goAwayText) }

// closedByPeer reports whether err is caused by the peer closing or resetting a connection.
func closedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
