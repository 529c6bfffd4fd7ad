package kernel

import "time"

// Alarm wakes the goroutine that reads C. It replaces the channel of a time.Timer or time.Ticker: in virtual time
// (testing/synctest) a timer that is already due runs on the goroutine that sets or reads it, and two goroutines that
// do so concurrently crash the race detector. Only the runtime runs the timer of an Alarm.
type Alarm struct {
	// C receives one value each time the alarm expires. A wake-up that was in progress when the alarm was reset
	// may still be delivered, so the reader must check the clock or its own state.
	C     <-chan struct{}
	wake  chan struct{}
	timer *time.Timer // nil until Set is first called with a positive duration
}

// NewAlarm returns an alarm that wakes its reader after d, or at once if d is not positive.
func NewAlarm(d time.Duration) *Alarm {
	wake := make(chan struct{}, 1)
	a := &Alarm{C: wake, wake: wake}
	a.Set(d)
	return a
}

// Set resets the alarm to wake its reader after d, or at once if d is not positive. Set must not be called
// concurrently.
func (a *Alarm) Set(d time.Duration) {
	switch {
	case d <= 0:
		a.Stop()
		a.notify()
	case a.timer == nil:
		a.timer = time.AfterFunc(d, a.notify)
	default:
		a.timer.Reset(d)
	}
}

// Stop stops the timer. A wake-up that was already delivered stays in C.
func (a *Alarm) Stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *Alarm) notify() {
	select {
	case a.wake <- struct{}{}:
	default: // An earlier wake-up is still unread.
	}
}

// AfterFunc is like time.AfterFunc, but the runtime runs the timer even if d is not positive, for the reason given
// at Alarm.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(d, time.Nanosecond), f)
}
