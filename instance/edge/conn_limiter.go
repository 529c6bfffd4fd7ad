package edge

import (
	"net"
	"net/http"
	"sync/atomic"
)

// keptConnShare is the fraction of the connections of callers that may be kept open after their responses.
const keptConnShare = 5.0 / 6

// connLimiter limits the connections that callers keep open. Without it, a burst from many callers leaves idle
// connections that use all descriptors until their idle timeout, and the instance can neither accept callers nor
// connect to targets. The response announces that its connection is closed, so that no request is lost on it.
type connLimiter struct {
	maxOpen int64
	open    atomic.Int64
}

// newConnLimiter returns a limiter for keptConnShare of a number of connections.
func newConnLimiter(connections int) *connLimiter {
	return &connLimiter{maxOpen: int64(keptConnShare * float64(connections))}
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
