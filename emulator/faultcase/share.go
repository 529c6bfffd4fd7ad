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
	// arrivalInterval is the time between two requests at each holder. The demand of the three holders is 90 requests
	// per second, above the plan's limit of 60.
	arrivalInterval = time.Second / 30
	serviceTime     = 20 * time.Millisecond
	runTime         = 5 * time.Second
	// From lossStart to lossEnd, answers to holder a are lost. From pauseStart to pauseEnd, holder a is paused, which is
	// longer than the lifetime of its last loan.
	lossStart  = 1200 * time.Millisecond
	lossEnd    = 4200 * time.Millisecond
	pauseStart = 1500 * time.Millisecond
	pauseEnd   = 3800 * time.Millisecond
)

var planLimit = share.Amount{Rate: 60, Concurrency: 12}

// pausedHolder loses the answers to one of three holders while that holder is paused.
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

// repeat calls f periodically until the end of the run, except during the pause if pausable is set.
func repeat(loop *measure.Loop, interval time.Duration, pausable bool, f func()) {
	for at := interval; at < runTime; at += interval {
		if !pausable || at < pauseStart || at >= pauseEnd {
			runAt(loop, at, f)
		}
	}
}

// sendAsk sends the holder's next ask to the lender if one is due. The answer is lost between lossStart and lossEnd if
// lossy is set.
func sendAsk(loop *measure.Loop, lender *trace.Lender, h *trace.Holder, lossy bool) {
	sent := loop.Now()
	ask, due := h.NextLoanRequest(sent)
	if !due {
		return
	}
	loop.After(networkDelay, func() {
		loan := lender.OnLoanRequest(loop.Now(), ask)
		if at := loop.Elapsed(); lossy && at >= lossStart && at < lossEnd {
			return
		}
		loop.After(networkDelay, func() { h.OnLoan(sent, loop.Now(), loan) })
	})
}
