package admission

import (
	"slices"
	"time"
)

// rankDelay is how much earlier a request has to be due to go before one of the next more urgent rank: about
// the objective of a usual route, so that urgent requests go first and less urgent ones wait for a bounded
// number of them.
const rankDelay = 100 * time.Millisecond

// firstEvery is the number of places of which one goes to the first request in the order, late or not. It
// takes an eighth of the places from requests that could be in time, at most.
const firstEvery = 8

// Queue orders the requests that wait for a place at the targets of one shard.
//
// The load that it answers: a burst of 2 to 3 times what the targets take, and callers that all come back
// at once after a loss of power. A place that is free for as long as waiting requests pause between two looks
// takes capacity away when it is most needed. Those that can still be in time go first, in the order in which
// they are due, since one that is late already gains little from a place that another one needs. Ranks shift
// that order by a fixed time, and every eighth place goes to the first one, late or not, so that none waits
// for good.
//
// It is not safe for concurrent use.
type Queue[R comparable] struct {
	waiting []waiter[R] // ordered by turn
	given   int         // places since one went to the first request in the order
}

type waiter[R comparable] struct {
	request R
	due     time.Time
	turn    time.Time // due, shifted by the rank
}

// Add lets a request wait that is due at the given time. One that waits already keeps its place.
func (q *Queue[R]) Add(r R, due time.Time, rank int) {
	if q.find(r) >= 0 {
		return
	}
	w := waiter[R]{request: r, due: due, turn: due.Add(time.Duration(rank) * rankDelay)}
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b waiter[R]) int {
		if a.turn.After(b.turn) {
			return 1
		}
		return -1 // Behind those of the same turn.
	})
	q.waiting = slices.Insert(q.waiting, at, w)
}

// Remove takes out a request that waits no longer.
func (q *Queue[R]) Remove(r R) {
	if i := q.find(r); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Next takes out the request that gets a free place. It returns false if none waits.
func (q *Queue[R]) Next(now time.Time) (R, bool) {
	if len(q.waiting) == 0 {
		var none R
		return none, false
	}
	q.given++
	i := 0
	if q.given < firstEvery {
		i = max(slices.IndexFunc(q.waiting, func(w waiter[R]) bool { return now.Before(w.due) }), 0)
	}
	if i == 0 {
		q.given = 0
	}
	r := q.waiting[i].request
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r, true
}

// Len returns the number of requests that wait.
func (q *Queue[R]) Len() int { return len(q.waiting) }

func (q *Queue[R]) find(r R) int {
	return slices.IndexFunc(q.waiting, func(w waiter[R]) bool { return w.request == r })
}
