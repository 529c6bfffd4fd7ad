package admission

import "time"

const (
	// minStartRetryAfter applies just after the start: reading routes and targets takes two calls of a few
	// milliseconds each.
	minStartRetryAfter = 100 * time.Millisecond
	// maxStartRetryAfter is about the total time that a caller has.
	maxStartRetryAfter = time.Second
)

// maxStartWait is the age of an instance up to which requests may wait for routes and targets. A connection and
// a call to the store in another region take 60 ms, and 150 ms while all instances start. After maxStartWait
// the store is presumably unavailable, and after an immediate refusal the caller can try another instance.
const maxStartWait = 300 * time.Millisecond

// StartWait returns how long a request may wait for the first routes and targets, given the age of the
// instance and the time that the caller has left. A result of 0 or less means that it must not wait.
//
// It is designed for the case that all instances are killed and restart one by one. Callers that found no
// instance all send to the first one that listens. Each has few attempts, so that a short wait serves it
// better than a refusal that uses up an attempt.
func StartWait(age, timeLeft time.Duration) time.Duration {
	return min(maxStartWait-age, timeLeft)
}

// StartRetryAfter returns the retry delay for a caller that is refused because the instance has no routes or
// targets yet, given the age of the instance. An outage of the store that has lasted for some time is likely
// to last about as long again.
//
// It is designed for the case that all instances start while the store is unavailable and callers retry once
// or twice. Those that retry at once are refused again and have no attempt left when the store recovers.
func StartRetryAfter(age time.Duration) time.Duration {
	return min(max(age, minStartRetryAfter), maxStartRetryAfter)
}
