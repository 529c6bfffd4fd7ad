package kernel

import "time"

// Alarm wakes the goroutine that reads C. It is used instead of the channel of a time.Timer or time.Ticker:
// in virtual time (testing/synctest) a timer that is due already is run by the goroutine that sets or reads
// it, and two that do so at once crash the race detector. Only the runtime runs the timer of an alarm.
type Alarm struct {
	// C receives once after each time that the alarm was set for. A wake-up that was under way as the alarm
	// was set again may still come, so its reader looks at the clock or at its state.
	C     <-chan struct{}
	wake  chan struct{}
	timer *time.Timer // nil until the alarm is first set for a later time
}

// NewAlarm returns an alarm that wakes its reader after d, or at once if d is not positive.
func NewAlarm(d time.Duration) *Alarm {
	wake := make(chan struct{}, 1)
	a := &Alarm{C: wake, wake: wake}
	a.Set(d)
	return a
}

// Set lets the alarm wake its reader after d instead, or at once if d is not positive. It must not be called
// by two goroutines at once.
func (a *Alarm) Set(d time.Duration) {
	switch {
	case d <= 0:
		a.Stop()
		a.ring()
	case a.timer == nil:
		a.timer = time.AfterFunc(d, a.ring)
	default:
		a.timer.Reset(d)
	}
}

// Stop releases the timer.
func (a *Alarm) Stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *Alarm) ring() {
	select {
	case a.wake <- struct{}{}:
	default: // An earlier wake-up has not been read.
	}
}

// AfterFunc is time.AfterFunc, but leaves work that is due already to the runtime's timers too, for the reason
// that Alarm gives.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(max(d, time.Nanosecond), f)
}
