package quarantine

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

const (
	// sameMoment is the maximum time between the first and the last of crashes that may have a common cause. It covers the
	// transit time of a report between regions.
	sameMoment = 100 * time.Millisecond
	// defaultHeartbeat is the time between two heartbeats of a target, unless SetHeartbeat is called.
	defaultHeartbeat = 1200 * time.Millisecond
	// sameBurst is the maximum time between the starts of two submissions that may have been in flight together when targets
	// crashed for another reason.
	sameBurst = 500 * time.Millisecond
	// sharedMoments is the number of moments that count as one crash if several submissions of the request were in flight.
	sharedMoments = 2
	// maxMomentWeight is the number of crashes as which a moment counts that has a single submission at several targets.
	maxMomentWeight = 2
	// enoughOfMoment is the number of silent crashes that decide how a moment counts.
	enoughOfMoment = 4
)

// countCrashes returns the number of crashes that count against a request.
func (l *List) countCrashes(crashes []Crash) int {
	sorted := slices.SortedStableFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	var seen, silent []Crash
	for _, c := range sorted {
		if c.isSilent() {
			silent = append(silent, c)
		} else {
			seen = append(seen, c)
		}
	}
	return countSeen(seen) + l.countSilent(silent)
}

// countSeen counts crashes whose time is known, in the order of that time. Those of one moment count as one, except for those
// of one submission.
func countSeen(sorted []Crash) int {
	total := 0
	for len(sorted) > 0 {
		n := 1
		for n < len(sorted) && !sorted[0].At.IsZero() && sorted[n].At.Sub(sorted[0].At) <= sameMoment {
			n++
		}
		total += max(1, largestSubmission(sorted[:n]))
		sorted = sorted[n:]
	}
	return total
}

// largestSubmission returns the maximum number of crashes that have the same submission.
func largestSubmission(crashes []Crash) int {
	largest, bySubmission := 0, map[query.RequestID]int{}
	for _, c := range crashes {
		if c.Submission != 0 {
			bySubmission[c.Submission]++
			largest = max(largest, bySubmission[c.Submission])
		}
	}
	return largest
}

// silentMoment is a set of silent crashes that may have a common cause.
type silentMoment []Crash

// includes reports whether a crash may have the same cause: the list shows it within a heartbeat, or submissions that began
// together were in flight. Entries lapse a fixed time after the last heartbeat, and targets send these at different times, so
// that the list shows the loss of a failure domain over that time.
func (m silentMoment) includes(c Crash, heartbeat time.Duration) bool {
	first := m[0]
	return c.At.Sub(first.At).Abs() < heartbeat || c.Began.Sub(first.Began).Abs() < sameBurst
}

// isShared reports whether several submissions that began together were in flight. A request that many callers send is in
// flight at most targets that a failure domain loses, so that this is weak evidence against it.
func (m silentMoment) isShared() bool {
	for i, a := range m {
		if a.Shared {
			return true
		}
		for _, b := range m[:i] {
			if a.Submission != b.Submission && a.Began.Sub(b.Began).Abs() < sameBurst {
				return true
			}
		}
	}
	return false
}

// countSilent counts crashes that only the list has shown, in the order in which it did. Those of one moment count as one
// together, and less if several submissions were in flight: what a moment has in common may be a failure domain, and three
// separate moments that a request has in common point at the request.
func (l *List) countSilent(sorted []Crash) int {
	alone, shared := 0, 0
	moments := l.silentMoments(sorted)
	for i, m := range moments {
		switch isLatest := i == len(moments)-1; {
		case m.isShared():
			shared++
		case isLatest:
			alone++ // Other submissions may still be reported.
		default:
			alone += m.weight()
		}
	}
	return alone + shared/sharedMoments
}

// weight returns how many crashes a moment counts for that is not shared. A single submission at several targets counts for two at
// most, not for the three that confirm a request: one event may have met all of them.
func (m silentMoment) weight() int {
	isOther := func(c Crash) bool { return c.Submission != m[0].Submission }
	if len(m) > 1 && !slices.ContainsFunc(m, isOther) {
		return maxMomentWeight
	}
	return 1
}

// silentMoments divides crashes, which are sorted by time, into moments.
func (l *List) silentMoments(sorted []Crash) []silentMoment {
	var moments []silentMoment
	for _, c := range sorted {
		if n := len(moments); n > 0 && moments[n-1].includes(c, l.heartbeat) {
			moments[n-1] = append(moments[n-1], c)
		} else {
			moments = append(moments, silentMoment{c})
		}
	}
	return moments
}

// isRedundant reports whether a silent crash adds nothing to a moment of which enough is known. A failure domain would
// otherwise fill the memory of each request that was in flight there.
func (l *List) isRedundant(crashes []Crash, c Crash) bool {
	if !c.isSilent() {
		return false
	}
	silent := slices.DeleteFunc(slices.Clone(crashes), func(k Crash) bool { return !k.isSilent() })
	slices.SortStableFunc(silent, func(a, b Crash) int { return a.At.Compare(b.At) })
	return slices.ContainsFunc(l.silentMoments(silent), func(m silentMoment) bool { return m.includes(c, l.heartbeat) && m.hasEnough(c) })
}

// hasEnough reports whether another crash would not change how the moment counts.
func (m silentMoment) hasEnough(c Crash) bool {
	isKnown := slices.ContainsFunc(m, func(k Crash) bool { return k.Submission == c.Submission })
	return len(m) >= enoughOfMoment && (isKnown || m.isShared())
}
