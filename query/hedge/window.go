package hedge

import "time"

const (
	// slots is the number of parts into which a Window divides its span.
	slots = 20
	// used is the part of the share that a Window spends. The rest covers what the window cannot see:
	// attempts of a process that ended, and requests that are counted elsewhere in another window.
	used = 0.85
)

// BudgetLimits bound the extra attempts at a service. They hold for the whole fleet in any window.
type BudgetLimits struct {
	// Share is the number of extra attempts for each request.
	Share float64
	// Slack is the number of extra attempts besides, over all instances.
	Slack float64
	Span  time.Duration
}

// WindowBudget counts the first and the extra attempts of this instance at one service over a sliding span,
// and grants extra ones within the instance's part of the fleet's bound. First attempts count where
// they are sent, so that instances with more load may spend more; the slack is divided evenly.
//
// The load that it answers: a tenth of the targets slow by ten, where every query asks for a second
// attempt, and the restart of all instances under full load, where nothing has been earned.
//
// It is not safe for concurrent use.
type WindowBudget struct {
	terms  BudgetLimits
	firsts [slots]int
	extras [slots]int
	first  int // sums of the slots
	extra  int
	start  time.Time
	slot   int64 // number of the present slot since start
}

// NewWindowBudget returns a window that has counted nothing.
func NewWindowBudget(t BudgetLimits) *WindowBudget { return &WindowBudget{terms: t} }

// RecordFirst counts a first attempt.
func (w *WindowBudget) RecordFirst(now time.Time) {
	i := w.advance(now)
	w.firsts[i]++
	w.first++
}

// TryTake counts an extra attempt. It returns false if the bound would be exceeded. instances is the
// number of instances that share the slack.
func (w *WindowBudget) TryTake(now time.Time, instances int) bool {
	i := w.advance(now)
	if float64(w.extra+1) > w.Bound(instances) {
		return false
	}
	w.extras[i]++
	w.extra++
	return true
}

// Refund takes back an attempt that was counted and that reached no target: the next one in its place is no extra
// one.
func (w *WindowBudget) Refund(now time.Time) {
	w.extras[w.advance(now)]--
	w.extra--
}

// Bound returns the number of extra attempts that the present window allows.
func (w *WindowBudget) Bound(instances int) float64 {
	return used * (w.terms.Share*float64(w.first) + w.terms.Slack/float64(max(1, instances)))
}

// RemainingShare returns the share of the bound that is not spent, from 0 to 1.
func (w *WindowBudget) RemainingShare(now time.Time, instances int) float64 {
	w.advance(now)
	bound := w.Bound(instances)
	if bound <= 0 {
		return 0
	}
	return max(0, 1-float64(w.extra)/bound)
}

// advance empties the slots that have left the span and returns the index of the present one.
func (w *WindowBudget) advance(now time.Time) int {
	if w.start.IsZero() {
		w.start = now
	}
	slot := int64(now.Sub(w.start)) / (int64(w.terms.Span) / slots)
	for n := min(slot-w.slot, slots); n > 0; n-- {
		i := int((slot - n + 1) % slots)
		w.first -= w.firsts[i]
		w.extra -= w.extras[i]
		w.firsts[i], w.extras[i] = 0, 0
	}
	// Two goroutines may read the clock in one order and call in the other.
	w.slot = max(w.slot, slot)
	return int(w.slot % slots)
}
