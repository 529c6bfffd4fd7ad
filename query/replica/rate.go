package replica

import "time"

// rateWindow is the time over which answers are counted. Half a second holds tens of answers of a
// busy target.
const rateWindow = 500 * time.Millisecond

// rate is the number of answers of a target to this instance per second, over the latest full window.
type rate struct {
	perSecond float64
	answers   int // in the window that began at since
	since     time.Time
}

func (r *rate) count(now time.Time) {
	r.answers++
	if d := now.Sub(r.since); d >= rateWindow {
		r.perSecond = float64(r.answers) / d.Seconds()
		r.since, r.answers = now, 0
	}
}
