package admission

import (
	"slices"
	"time"
)

// rankDelay is added to the due time of a request for each rank when requests are ordered. It is about the
// objective of a typical route, so that urgent requests go first and a less urgent one waits for a bounded
// number of them.
const rankDelay = 100 * time.Millisecond

// headInterval is the number of slots of which one goes to the head of the queue, late or not. At most an
// eighth of the slots is thus not available to requests that can still be in time.
const headInterval = 8

// Queue orders the requests that wait for a slot at the targets of one shard.
//
// It is designed for a burst of 2 to 3 times the capacity of the targets, and for callers that all reconnect
// at once after a power failure. If waiting requests polled for a slot, it would stay idle between two polls,
// when capacity is scarce. Requests that can still be in time go first, in the order of their due times,
// since one that is already late gains little from a slot that another one needs. Each rank shifts that order
// by a fixed time, and every eighth slot goes to the head of the queue, late or not, so that no request
// starves.
//
// It is not safe for concurrent use.
type Queue[R comparable] struct {
	waiting   []waiter[R] // ordered by sortKey
	sinceHead int         // slots assigned since the head got one
}

type waiter[R comparable] struct {
	request R
	due     time.Time
	sortKey time.Time // due, shifted by the rank
}

// Add enqueues a request that is due at the given time. It does nothing if the request is queued already.
func (q *Queue[R]) Add(r R, due time.Time, rank int) {
	if q.find(r) >= 0 {
		return
	}
	w := waiter[R]{request: r, due: due, sortKey: due.Add(time.Duration(rank) * rankDelay)}
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b waiter[R]) int {
		if a.sortKey.After(b.sortKey) {
			return 1
		}
		return -1 // Insert behind those with an equal key.
	})
	q.waiting = slices.Insert(q.waiting, at, w)
}

// Remove dequeues a request that no longer waits.
func (q *Queue[R]) Remove(r R) {
	if i := q.find(r); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Next dequeues the request that gets a free slot: usually the first one that can still be in time, otherwise
// the head. It returns false if the queue is empty.
func (q *Queue[R]) Next(now time.Time) (R, bool) {
	if len(q.waiting) == 0 {
		var none R
		return none, false
	}
	q.sinceHead++
	i := 0
	if q.sinceHead < headInterval {
		i = max(slices.IndexFunc(q.waiting, func(w waiter[R]) bool { return now.Before(w.due) }), 0)
	}
	if i == 0 {
		q.sinceHead = 0
	}
	r := q.waiting[i].request
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r, true
}

// Ahead returns the number of requests that are queued before a request, or all if it is not queued.
func (q *Queue[R]) Ahead(r R) int {
	if i := q.find(r); i >= 0 {
		return i
	}
	return len(q.waiting)
}

// Len returns the number of queued requests.
func (q *Queue[R]) Len() int { return len(q.waiting) }

func (q *Queue[R]) find(r R) int {
	return slices.IndexFunc(q.waiting, func(w waiter[R]) bool { return w.request == r })
}
