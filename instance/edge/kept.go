package edge

import (
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// keptShare is the part of the process's file descriptors that connections of callers may take before they
// are closed after their answers. The rest is for connections that are being served, for 8 to each of some
// hundred targets, and for peers.
const keptShare = 0.5

// kept bounds the connections that callers keep open. Under a burst from many callers, idle connections
// otherwise take all descriptors until their idle time ends; then the instance can neither accept callers
// nor connect to targets. The answer says that its connection ends, so that no request is lost with it.
type kept struct {
	most int64
	open atomic.Int64
}

// newKept returns a bound that follows from the limit of the process.
func newKept() (*kept, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, errors.Wrap(err, "read the limit of file descriptors")
	}
	return &kept{most: int64(keptShare * float64(min(limit.Cur, math.MaxInt32)))}, nil
}

// follow is the ConnState hook of the callers' server.
func (k *kept) follow(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		k.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		k.open.Add(-1)
	}
}

// wrap closes connections after their answers while there are too many.
func (k *kept) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.open.Load() > k.most {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
