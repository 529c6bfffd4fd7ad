package admission

import "time"

const (
	// shortestStartReturn is advised by an instance that has just started: reading routes and targets takes two
	// calls of some milliseconds each.
	shortestStartReturn = 100 * time.Millisecond
	// longestStartReturn is about the time that a caller has in all.
	longestStartReturn = time.Second
)

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

// StartRetryAfter returns when a caller is asked to come back that was refused because the instance knows no routes
// or targets yet, given the age of the instance. An outage of the store that has lasted for some time is likely
// to last about as long again.
//
// The load that it answers: all instances start while the store is away, and callers come back once or twice.
// Those that come back at once are refused again and have no attempt left when the store returns.
func StartRetryAfter(age time.Duration) time.Duration {
	return min(max(age, shortestStartReturn), longestStartReturn)
}
