package http1

import (
	"runtime"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrNoMemory means that the responses that are being read or are still in use leave no memory for another large one.
var ErrNoMemory = errors.New("responses of targets occupy the memory that is set aside for them")

// memory bounds the memory of responses. It is safe for concurrent use.
type memory struct {
	limit int64 // in bytes, 0 for no limit
	used  atomic.Int64
}

// reserve reserves more bytes for a response that has reserved own bytes. A response never gets more than is left to others:
// many that grow without end then leave room for those that end.
func (m *memory) reserve(own, more int64) bool {
	if more == 0 || m.limit == 0 {
		return true
	}
	if left := m.limit - m.used.Add(more); left < own+more {
		m.used.Add(-more)
		return false
	}
	return true
}

func (m *memory) release(bytes int64) {
	if m.limit > 0 {
		m.used.Add(-bytes)
	}
}

// hold counts the memory of a complete body until it is garbage.
func (m *memory) hold(body []byte) {
	size := int64(cap(body))
	if m.limit == 0 || size <= freeBodyBytes {
		return
	}
	m.used.Add(size)
	runtime.AddCleanup(&body[0], func(size int64) { m.used.Add(-size) }, size)
}
