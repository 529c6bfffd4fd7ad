package kernel

import "sync"

// queue passes values from one goroutine to another in order, without a limit on their number.
type queue[T any] struct {
	mu      sync.Mutex // guards the fields below
	changed *sync.Cond // signalled after an add or close
	values  []T
	closed  bool
}

func newQueue[T any]() *queue[T] {
	q := &queue[T]{}
	q.changed = sync.NewCond(&q.mu)
	return q
}

func (q *queue[T]) add(v T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.values = append(q.values, v)
	q.changed.Signal()
}

// next removes the oldest value, and waits for one if there is none. It returns false once the queue is closed and
// empty.
func (q *queue[T]) next() (T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.values) == 0 && !q.closed {
		q.changed.Wait()
	}
	var oldest T
	if len(q.values) == 0 {
		return oldest, false
	}
	oldest, q.values[0] = q.values[0], oldest // Lets the garbage collector free a handled event.
	q.values = q.values[1:]
	return oldest, true
}

// close lets next return false once the values added before are removed.
func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Signal()
}
