package quarantine

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

const (
	// unansweredMemory is the time for which an unanswered submission is remembered. An entry lapses three heartbeats after
	// its target has crashed, a target that hangs may stay listed until it starts anew, and the list lags by seconds.
	unansweredMemory = 30 * time.Second
	// aliveAfter is the time from the end of a submission to an answer of the same target that shows that the target has
	// survived the submission: it may have begun to run it late.
	aliveAfter = 2 * time.Second
	// maxUnansweredPerTarget bounds the submissions remembered of one target. The first are kept: those that came later
	// found the target silent already.
	maxUnansweredPerTarget = 32
	// maxUnanswered bounds all that is remembered, at about 0.5 KB each.
	maxUnanswered = 2048
)

// Submission is one submission of a request that targets have not answered.
type Submission struct {
	ID          query.RequestID
	Fingerprint Fingerprint
	Began       time.Time
	// Attrs names the request in the log: submissions of one request have different ids.
	Attrs []any
}

// Unanswered remembers which submissions ended without an answer at which start of which target. A target that crashes
// without closing its connections is known to have crashed only when the list shows it, after they have ended. T identifies
// one start of a target. Unanswered is not safe for concurrent use.
type Unanswered[T comparable] struct {
	targets map[T][]unansweredAttempt
	total   int
}

// unansweredAttempt is the attempt of a submission at a target.
type unansweredAttempt struct {
	submission Submission
	ended      time.Time
}

// NewUnanswered returns an empty memory.
func NewUnanswered[T comparable]() *Unanswered[T] {
	return &Unanswered[T]{targets: map[T][]unansweredAttempt{}}
}

// Add remembers a submission that has ended now without the answer of a target.
func (u *Unanswered[T]) Add(now time.Time, target T, s Submission) {
	if u.total >= maxUnanswered {
		u.expire(now)
	}
	known := u.targets[target]
	isKnown := slices.ContainsFunc(known, func(a unansweredAttempt) bool { return a.submission.ID == s.ID })
	if isKnown || len(known) >= maxUnansweredPerTarget || u.total >= maxUnanswered {
		return
	}
	u.targets[target] = append(known, unansweredAttempt{submission: s, ended: now})
	u.total++
}

// OnAnswer handles an answer of a target to any request. The target has survived the submissions that ended long enough before.
func (u *Unanswered[T]) OnAnswer(now time.Time, target T) {
	if len(u.targets[target]) > 0 {
		u.forget(target, now.Add(-aliveAfter))
	}
}

// Forget removes what is remembered of a target.
func (u *Unanswered[T]) Forget(target T) {
	u.total -= len(u.targets[target])
	delete(u.targets, target)
}

// Targets returns the targets of which submissions are remembered, in no particular order.
func (u *Unanswered[T]) Targets(now time.Time) []T {
	u.expire(now)
	targets := make([]T, 0, len(u.targets))
	for t := range u.targets {
		targets = append(targets, t)
	}
	return targets
}

// Take returns the submissions that are remembered of a target, in the order in which they ended, and forgets them.
func (u *Unanswered[T]) Take(target T) []Submission {
	submissions := make([]Submission, 0, len(u.targets[target]))
	for _, a := range u.targets[target] {
		submissions = append(submissions, a.submission)
	}
	u.Forget(target)
	return submissions
}

// Len returns the number of remembered attempts.
func (u *Unanswered[T]) Len() int { return u.total }

func (u *Unanswered[T]) expire(now time.Time) {
	for t := range u.targets {
		u.forget(t, now.Add(-unansweredMemory))
	}
}

// forget removes the submissions of a target that had ended at the given time.
func (u *Unanswered[T]) forget(target T, ended time.Time) {
	before := u.targets[target]
	after := slices.DeleteFunc(before, func(a unansweredAttempt) bool { return !a.ended.After(ended) })
	u.total -= len(before) - len(after)
	if len(after) == 0 {
		delete(u.targets, target)
		return
	}
	u.targets[target] = after
}
