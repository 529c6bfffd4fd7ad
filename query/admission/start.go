package admission

import "time"

// longestStart is the age up to which an instance holds requests until it knows routes and targets: a
// connection and a call to the store in another region take 60 ms, and 150 ms while all instances start.
// After that the store is away, and a refusal at once lets the caller go elsewhere.
const longestStart = 300 * time.Millisecond

// StartWait returns how long a request may wait for the first routes and targets, given the age of the
// instance and the time that the caller has left. A result of 0 or less is no wait.
//
// The load that it answers: all instances are killed and come back one by one. The callers that found none
// come at once to the first one that listens; each has few attempts, and an answer now is worth more to them
// than a refusal that costs one.
func StartWait(age, timeLeft time.Duration) time.Duration {
	return min(longestStart-age, timeLeft)
}
