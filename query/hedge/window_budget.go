package hedge

import "time"

const (
	// slotCount is the number of slots into which a WindowBudget divides its span.
	slotCount = 20
	// usableShare is the part of the limits that a WindowBudget grants. The rest covers attempts that it does
	// not count: those of a process that has ended, and those that another counter assigns to a different
	// window.
	usableShare = 0.85
	// restrictedShare is the part of BudgetLimits.Share that a process grants after a restart. It suffices for the pauses
	// of targets.
	restrictedShare = 0.25
)

// BudgetLimits bounds the extra attempts of all instances together at a service, in any window of length Span.
type BudgetLimits struct {
	// Share is the number of extra attempts allowed for each request.
	Share float64
	// Slack is the number of extra attempts allowed in addition, over all instances.
	Slack float64
	Span  time.Duration
}

// Scale returns the limits of a part of the extra attempts.
func (l BudgetLimits) Scale(part float64) BudgetLimits {
	l.Share *= part
	l.Slack *= part
	return l
}

// WindowBudget counts the first and the extra attempts of this instance at one service over a sliding
// window, and grants extra attempts within the instance's part of the common bound. The part grows with the
// first attempts that the instance sends, so instances with more load may spend more. The slack is divided
// evenly.
//
// It is designed for two conditions: a tenth of the targets slower by a factor of ten, so that every query
// needs a hedge, and the restart of all instances under full load, when no first attempts have been counted.
//
// It is not safe for concurrent use.
type WindowBudget struct {
	limits   BudgetLimits
	firsts   [slotCount]int
	extras   [slotCount]int
	firstSum int // sum of firsts
	extraSum int // sum of extras
	start    time.Time
	slot     int64 // number of the current slot since start
	// restrictedUntil is the end of the restriction after a restart, and latest the latest time of a call.
	restrictedUntil, latest time.Time
}

// NewWindowBudget returns a budget that has counted no attempts.
func NewWindowBudget(l BudgetLimits) *WindowBudget { return &WindowBudget{limits: l} }

// SetLimits replaces the limits. The attempts of the current window stay counted.
func (b *WindowBudget) SetLimits(l BudgetLimits) { b.limits = l }

// Restrict grants a small part of the limits until a time. A process that has started again does not know what an earlier
// process has spent within the window.
func (b *WindowBudget) Restrict(until time.Time) { b.restrictedUntil = until }

// RecordFirst counts a first attempt.
func (b *WindowBudget) RecordFirst(now time.Time) {
	i := b.advance(now)
	b.firsts[i]++
	b.firstSum++
}

// TryTake counts an extra attempt. It returns false if the bound would be exceeded. instances is the
// number of instances that share the slack.
func (b *WindowBudget) TryTake(now time.Time, instances int) bool {
	i := b.advance(now)
	if float64(b.extraSum+1) > b.Bound(instances) {
		return false
	}
	b.extras[i]++
	b.extraSum++
	return true
}

// Refund gives back an extra attempt that was taken at the given time or later, because an attempt of its request has
// reached no target. An attempt that has left the window counts no more, and is not given back.
func (b *WindowBudget) Refund(now, taken time.Time) {
	b.advance(now)
	first := max(b.slotOf(taken), b.slot-slotCount+1, 0)
	for slot := first; slot <= b.slot; slot++ {
		if i := slot % slotCount; b.extras[i] > 0 {
			b.extras[i]--
			b.extraSum--
			return
		}
	}
}

// Bound returns the number of extra attempts that the current window allows.
func (b *WindowBudget) Bound(instances int) float64 {
	if b.latest.Before(b.restrictedUntil) {
		return usableShare * restrictedShare * b.limits.Share * float64(b.firstSum)
	}
	return usableShare * (b.limits.Share*float64(b.firstSum) + b.limits.Slack/float64(max(1, instances)))
}

// RemainingShare returns the share of the bound that is not spent, from 0 to 1.
func (b *WindowBudget) RemainingShare(now time.Time, instances int) float64 {
	b.advance(now)
	bound := b.Bound(instances)
	if bound <= 0 {
		return 0
	}
	return max(0, 1-float64(b.extraSum)/bound)
}

// slotOf returns the number of the slot of a time.
func (b *WindowBudget) slotOf(t time.Time) int64 {
	return int64(t.Sub(b.start)) / (int64(b.limits.Span) / slotCount)
}

// advance clears the slots that have left the window and returns the index of the current one.
func (b *WindowBudget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	if now.After(b.latest) {
		b.latest = now
	}
	slot := b.slotOf(now)
	for n := min(slot-b.slot, slotCount); n > 0; n-- {
		i := int((slot - n + 1) % slotCount)
		b.firstSum -= b.firsts[i]
		b.extraSum -= b.extras[i]
		b.firsts[i], b.extras[i] = 0, 0
	}
	// Callers may read the clock in one order and call in another, so now may lie before the previous call.
	b.slot = max(b.slot, slot)
	return int(b.slot % slotCount)
}
