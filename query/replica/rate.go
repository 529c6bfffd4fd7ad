package replica

import "time"

// rateWindow is the minimum time over which answers are counted. A busy target answers tens of
// requests in it.
const rateWindow = 500 * time.Millisecond

// rate measures how many answers per second a target gives this instance, over the last full window.
type rate struct {
	perSecond   float64
	answers     int // since windowStart
	windowStart time.Time
}

func (r *rate) count(now time.Time) {
	r.answers++
	if d := now.Sub(r.windowStart); d >= rateWindow {
		r.perSecond = float64(r.answers) / d.Seconds()
		r.windowStart, r.answers = now, 0
	}
}
