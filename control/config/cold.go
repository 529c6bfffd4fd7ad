package config

import "time"

const (
	// coldPause is the mean pause between two reads by a cold instance. A caller that a cold instance refuses
	// retries after 100 ms and has a deadline of about 1 s.
	coldPause = 200 * time.Millisecond
	// coldCallsPerSecond bounds the calls to the store by all cold instances together, to a tenth of the capacity
	// of the smallest store.
	coldCallsPerSecond = 200
	// coldTimeout is the time limit of the first read. A store that takes 60 times as long as usual answers in 240 ms,
	// and reaching it takes up to four round trips of 24 ms.
	coldTimeout = 400 * time.Millisecond
	// coldTimeoutStep is the increase of the time limit per attempt. A store that answers after 1 s is then read
	// within half of the fleet's recovery limit of 12 s.
	coldTimeoutStep = 125 * time.Millisecond
)

// ColdPause returns the mean pause between two reads of the store by a cold instance, that is one without any
// objects yet. instances is the size of the fleet, all of which may be cold; calls is the number of calls of
// one read.
//
// All instances are cold at once if they lose power while the store is unavailable, or if the store becomes
// unavailable as they start. Every request is refused until the first instance has read the store.
func ColdPause(instances, calls int) time.Duration {
	sharedPause := time.Duration(instances*calls) * time.Second / coldCallsPerSecond
	return max(coldPause, sharedPause)
}

// ColdTimeout returns the time limit of a read by a cold instance. attempt counts from 0. The limit is short at
// first, since a call that was lost while the store was unavailable stays unanswered after it recovers, and
// increases for a store that is slow.
func ColdTimeout(attempt int) time.Duration {
	return coldTimeout + time.Duration(attempt)*coldTimeoutStep
}
