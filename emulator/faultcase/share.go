package faultcase

import (
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/share"
	"hyssopcroft.example/emulator/measure"
)

const (
	loanPlan    = "returns-counter"
	loanHolders = 3
	askTick     = 100 * time.Millisecond
	oneWay      = 4 * time.Millisecond
	// demandGap is the time between two requests at each holder. Together they want 90 of the 60
	// requests a second that the plan may use.
	demandGap   = time.Second / 30
	serviceTime = 20 * time.Millisecond
	loanRunTime = 5 * time.Second
	// From lossFrom to lossUntil holder a gets no answers; it is paused from pauseFrom to pauseUntil,
	// longer than its last loan lasts.
	lossFrom   = 1200 * time.Millisecond
	lossUntil  = 4200 * time.Millisecond
	pauseFrom  = 1500 * time.Millisecond
	pauseUntil = 3800 * time.Millisecond
)

var loanLimit = share.Amount{Rate: 60, Concurrency: 12}

// pausedHolder: the answers to one of three holders are lost while it is paused.
func pausedHolder(loop *measure.Loop, r *trace.Recorder) {
	lender := trace.NewLender(loanPlan, loanLimit, 1, loop.Now(), false, r)
	for i := range loanHolders {
		name := string(rune('a' + i))
		h := trace.NewHolder(loanPlan, name, loanLimit, loanHolders, loop.Now(), r)
		first := i == 0
		every(loop, askTick, first, func() { ask(loop, lender, h, first) })
		every(loop, demandGap, first, func() {
			if admitted, _ := h.Admit(loop.Now()); admitted {
				loop.After(serviceTime, h.Done)
			}
		})
	}
}

// every calls f again and again until the end of the run, and not during the pause if it applies.
func every(loop *measure.Loop, gap time.Duration, pauses bool, f func()) {
	for at := gap; at < loanRunTime; at += gap {
		if !pauses || at < pauseFrom || at >= pauseUntil {
			after(loop, at, f)
		}
	}
}

func ask(loop *measure.Loop, lender *trace.Lender, h *trace.Holder, lossy bool) {
	sent := loop.Now()
	message, due := h.NextAsk(sent)
	if !due {
		return
	}
	loop.After(oneWay, func() {
		loan := lender.OnAsk(loop.Now(), message)
		if at := loop.Elapsed(); lossy && at >= lossFrom && at < lossUntil {
			return
		}
		loop.After(oneWay, func() { h.OnLoan(sent, loop.Now(), loan) })
	})
}
