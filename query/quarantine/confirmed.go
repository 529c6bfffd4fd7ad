package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// mostConfirmed bounds the confirmed requests that instances share. At about 200 bytes each they stay
// within a fifth of the 1 MB that an object of the platform may hold.
const mostConfirmed = 1024

// Confirmed is a confirmed request as instances share it through the platform.
type Confirmed struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Shape       Shape       `json:"shape"`
	Crashes     []Crash     `json:"crashes"`
	// UntilMillis is the end of the hold in Unix milliseconds, by the clock of the instance that confirmed
	// the request.
	UntilMillis int64 `json:"until_ms"`
}

// Confirmed returns a request that is refused at the time, or false.
func (l *List) Confirmed(now time.Time, f Fingerprint, s Shape) (Confirmed, bool) {
	e, known := l.entries.get(f)
	if !known || !l.Refuses(now, f) {
		return Confirmed{}, false
	}
	return Confirmed{
		Fingerprint: f, Shape: s, Crashes: slices.Clone(e.crashes), UntilMillis: e.held.Add(HoldDuration).UnixMilli(),
	}, true
}

// AllConfirmed returns the requests that are refused at the time, without their shapes.
func (l *List) AllConfirmed(now time.Time) []Confirmed {
	var all []Confirmed
	for f := range l.entries.items {
		if c, held := l.Confirmed(now, f, 0); held {
			all = append(all, c)
		}
	}
	return all
}

// Import takes a confirmed request. One whose hold has ended is of no use, and a clock that is ahead
// does not hold a request for longer than Hold.
func (l *List) Import(now time.Time, c Confirmed) {
	held := time.UnixMilli(c.UntilMillis).Add(-HoldDuration)
	if !now.Before(held.Add(HoldDuration)) || len(c.Crashes) < l.confirming {
		return
	}
	l.shapes.remove(c.Shape)
	if e, known := l.entries.get(c.Fingerprint); known && l.confirmed(e) && !e.held.Before(held) {
		return
	}
	l.entries.put(c.Fingerprint, &entry{crashes: c.Crashes[:l.confirming:l.confirming], held: earlier(held, now)})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// MergeConfirmed returns the shared requests with more of them, in the order in which their holds end and without
// those that have ended. It returns false if nothing is new.
func MergeConfirmed(now time.Time, shared, more []Confirmed) ([]Confirmed, bool) {
	out := slices.DeleteFunc(slices.Clone(shared), func(c Confirmed) bool { return c.UntilMillis <= now.UnixMilli() })
	added := false
	for _, c := range more {
		i := slices.IndexFunc(out, func(o Confirmed) bool { return o.Fingerprint == c.Fingerprint })
		if i < 0 {
			out, added = append(out, c), true
		}
	}
	slices.SortFunc(out, func(a, b Confirmed) int { return cmp.Compare(a.UntilMillis, b.UntilMillis) })
	return out[max(0, len(out)-mostConfirmed):], added
}
