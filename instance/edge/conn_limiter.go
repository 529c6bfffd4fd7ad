package edge

import (
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// callerConnShare is the fraction of the process's file descriptors that connections of callers may use before they
// are closed after their responses. The rest is for connections with a request in progress, for 8 connections to each
// of some hundred targets, and for peers.
const callerConnShare = 0.5

// connLimiter limits the connections that callers keep open. Without it, a burst from many callers leaves idle
// connections that use all descriptors until their idle timeout, and the instance can neither accept callers nor
// connect to targets. The response announces that its connection is closed, so that no request is lost on it.
type connLimiter struct {
	maxOpen int64
	open    atomic.Int64
}

// newConnLimiter returns a limiter for callerConnShare of the process's file descriptor limit.
func newConnLimiter() (*connLimiter, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, errors.Wrap(err, "read the file descriptor limit")
	}
	return &connLimiter{maxOpen: int64(callerConnShare * float64(min(limit.Cur, math.MaxInt32)))}, nil
}

// onConnState is the ConnState hook of the server for callers.
func (l *connLimiter) onConnState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		l.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// wrap closes connections after their responses while more than maxOpen are open.
func (l *connLimiter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.open.Load() > l.maxOpen {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
