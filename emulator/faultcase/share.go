package faultcase

import (
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/share"
	"hyssopcroft.example/emulator/measure"
)

const (
	limitedPlan  = "returns-counter"
	holderCount  = 3
	askInterval  = 100 * time.Millisecond
	networkDelay = 4 * time.Millisecond
	// arrivalInterval is the time between two requests at each holder. Together they want 90 of the 60
	// requests a second that the plan may use.
	arrivalInterval = time.Second / 30
	serviceTime     = 20 * time.Millisecond
	runTime         = 5 * time.Second
	// From lossFrom to lossUntil holder a gets no answers; it is paused from pauseFrom to pauseUntil,
	// longer than its last loan lasts.
	lossStart  = 1200 * time.Millisecond
	lossEnd    = 4200 * time.Millisecond
	pauseStart = 1500 * time.Millisecond
	pauseEnd   = 3800 * time.Millisecond
)

var planLimit = share.Amount{Rate: 60, Concurrency: 12}

// pausedHolder: the answers to one of three holders are lost while it is paused.
func pausedHolder(loop *measure.Loop, r *trace.Recorder) {
	lender := trace.NewLender(limitedPlan, planLimit, 1, loop.Now(), false, r)
	for i := range holderCount {
		name := string(rune('a' + i))
		h := trace.NewHolder(limitedPlan, name, planLimit, holderCount, loop.Now(), r)
		faulty := i == 0
		repeat(loop, askInterval, faulty, func() { sendAsk(loop, lender, h, faulty) })
		repeat(loop, arrivalInterval, faulty, func() {
			if admitted, _ := h.Admit(loop.Now()); admitted {
				loop.After(serviceTime, h.Done)
			}
		})
	}
}

// repeat calls f again and again until the end of the run, and not during the pause if it applies.
func repeat(loop *measure.Loop, interval time.Duration, pausable bool, f func()) {
	for at := interval; at < runTime; at += interval {
		if !pausable || at < pauseStart || at >= pauseEnd {
			runAt(loop, at, f)
		}
	}
}

func sendAsk(loop *measure.Loop, lender *trace.Lender, h *trace.Holder, lossy bool) {
	sent := loop.Now()
	ask, due := h.NextAsk(sent)
	if !due {
		return
	}
	loop.After(networkDelay, func() {
		loan := lender.OnAsk(loop.Now(), ask)
		if at := loop.Elapsed(); lossy && at >= lossStart && at < lossEnd {
			return
		}
		loop.After(networkDelay, func() { h.OnLoan(sent, loop.Now(), loan) })
	})
}
