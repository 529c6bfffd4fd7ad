package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxConfirmed bounds the confirmed requests that instances share. At about 200 bytes each they take at
// most a fifth of the maximum size of a platform object, 1 MB.
const maxConfirmed = 1024

// Confirmed is a confirmed request in the form in which instances share it through the platform.
type Confirmed struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Shape       Shape       `json:"shape"`
	Crashes     []Crash     `json:"crashes"`
	// UntilMillis is the end of the hold in Unix milliseconds, by the clock of the instance that confirmed
	// the request.
	UntilMillis int64 `json:"until_ms"`
	// AnsweredMillis is the last complete answer before the confirmation in Unix milliseconds, by the same clock, 0 if none is
	// known. A request that had one may have met crashes with another cause, and is tried before its hold ends.
	AnsweredMillis int64 `json:"answered_ms,omitempty"`
}

// Confirmed returns the request as confirmed if it is refused at the given time, or false.
func (l *List) Confirmed(now time.Time, f Fingerprint, s Shape) (Confirmed, bool) {
	e, ok := l.entries.get(f)
	if !ok || !l.Refuses(now, f) {
		return Confirmed{}, false
	}
	c := Confirmed{
		Fingerprint: f, Shape: s, Crashes: slices.Clone(e.crashes), UntilMillis: e.holdStart.Add(HoldDuration).UnixMilli(),
	}
	if l.mayBeHarmless(f, e) {
		c.AnsweredMillis = l.LastAnswered(f).UnixMilli()
	}
	return c, true
}

// AllConfirmed returns the requests that are refused at the given time, without their shapes.
func (l *List) AllConfirmed(now time.Time) []Confirmed {
	var all []Confirmed
	for f := range l.entries.items {
		if c, confirmed := l.Confirmed(now, f, 0); confirmed {
			all = append(all, c)
		}
	}
	return all
}

// Import adds a request that another instance has confirmed. It ignores one whose hold has ended, and one that has had a
// complete answer since it was confirmed. A hold never exceeds HoldDuration by the local clock, even if the clock of the
// other instance is ahead.
func (l *List) Import(now time.Time, c Confirmed) {
	holdStart := time.UnixMilli(c.UntilMillis).Add(-HoldDuration)
	if !now.Before(holdStart.Add(HoldDuration)) || len(c.Crashes) < l.crashThreshold || l.LastAnswered(c.Fingerprint).After(holdStart) {
		return
	}
	l.shapes.remove(c.Shape)
	l.importAnswer(c, holdStart)
	known, ok := l.entries.get(c.Fingerprint)
	if ok && known.confirmed && !known.holdStart.Before(holdStart) {
		return
	}
	e := &entry{crashes: c.Crashes[:l.crashThreshold:l.crashThreshold], confirmed: true, holdStart: earlier(holdStart, now)}
	if ok {
		e.trials, e.lastTrial = known.trials, known.lastTrial
	}
	l.entries.put(c.Fingerprint, e)
}

// importAnswer takes over the answer to a request that was confirmed later.
func (l *List) importAnswer(c Confirmed, holdStart time.Time) {
	at := earlier(time.UnixMilli(c.AnsweredMillis), holdStart)
	if c.AnsweredMillis > 0 && at.After(l.LastAnswered(c.Fingerprint)) {
		l.answered.put(c.Fingerprint, at)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// MergeConfirmed returns the union of shared and added, ordered by the end of the holds and without expired
// requests of shared. It returns false if added contains neither a new request nor an answer to a known one.
func MergeConfirmed(now time.Time, shared, added []Confirmed) ([]Confirmed, bool) {
	merged := slices.DeleteFunc(slices.Clone(shared), func(c Confirmed) bool { return c.UntilMillis <= now.UnixMilli() })
	changed := false
	for _, c := range added {
		i := slices.IndexFunc(merged, func(o Confirmed) bool { return o.Fingerprint == c.Fingerprint })
		switch {
		case i < 0:
			merged, changed = append(merged, c), true
		case merged[i].AnsweredMillis == 0 && c.AnsweredMillis > 0:
			merged[i], changed = c, true
		}
	}
	slices.SortFunc(merged, func(a, b Confirmed) int { return cmp.Compare(a.UntilMillis, b.UntilMillis) })
	return merged[max(0, len(merged)-maxConfirmed):], changed
}

// RemoveConfirmed returns a list without the given requests. It returns false if it contains none of them.
func RemoveConfirmed(shared []Confirmed, released []Fingerprint) ([]Confirmed, bool) {
	left := slices.DeleteFunc(slices.Clone(shared), func(c Confirmed) bool { return slices.Contains(released, c.Fingerprint) })
	return left, len(left) < len(shared)
}
