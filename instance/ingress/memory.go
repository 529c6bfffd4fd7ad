package ingress

import "sync"

// memory counts what requests occupy. It is safe for concurrent use.
type memory struct {
	limit           int64 // in bytes, 0 for no limit
	incompleteLimit int64

	mu         sync.Mutex // guards the fields below
	used       int64      // by all requests
	incomplete int64      // by large incomplete ones
	released   chan struct{}
}

func newMemory(limit int64) *memory {
	return &memory{limit: limit, incompleteLimit: int64(incompleteShare * float64(limit))}
}

// reserve reserves bytes for a request, of which incomplete bytes count as those of large incomplete ones. If there are none left, it
// returns a channel that is closed by the next release.
func (m *memory) reserve(bytes, incomplete int64) (released <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && (m.used+bytes > m.limit || incomplete > 0 && m.incomplete+incomplete > m.incompleteLimit) {
		if m.released == nil {
			m.released = make(chan struct{})
		}
		return m.released, false
	}
	m.used += bytes
	m.incomplete += incomplete
	return nil, true
}

// release ends a reservation, or a part of it.
func (m *memory) release(bytes, incomplete int64) {
	if bytes == 0 && incomplete == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	m.incomplete -= incomplete
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}
