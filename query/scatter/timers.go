package scatter

import "time"

// timer is the time at which a shard wakes.
type timer struct {
	at    time.Time
	shard int32
}

// timers is a binary heap with the earliest timer first. container/heap would allocate for each
// timer.
type timers []timer

func (t *timers) push(n timer) {
	h := append(*t, n)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].at.Before(h[parent].at) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
	*t = h
}

func (t *timers) pop() {
	h := *t
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && h[child+1].at.Before(h[child].at) {
			child++
		}
		if !h[child].at.Before(h[i].at) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*t = h
}
