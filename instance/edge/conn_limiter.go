package edge

import (
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// callerConnShare is the part of the process's file descriptors that connections of callers may take before they
// are closed after their answers. The rest is for connections that are being served, for 8 to each of some
// hundred targets, and for peers.
const callerConnShare = 0.5

// connLimiter bounds the connections that callers keep open. Under a burst from many callers, idle connections
// otherwise take all descriptors until their idle time ends; then the instance can neither accept callers
// nor connect to targets. The answer says that its connection ends, so that no request is lost with it.
type connLimiter struct {
	maxOpen int64
	open    atomic.Int64
}

// newConnLimiter returns a bound that follows from the limit of the process.
func newConnLimiter() (*connLimiter, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, errors.Wrap(err, "read the limit of file descriptors")
	}
	return &connLimiter{maxOpen: int64(callerConnShare * float64(min(limit.Cur, math.MaxInt32)))}, nil
}

// onConnState is the ConnState hook of the callers' server.
func (l *connLimiter) onConnState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		l.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// wrap closes connections after their answers while there are too many.
func (l *connLimiter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.open.Load() > l.maxOpen {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
