// Package faultcase drives decisions through small fault cases in virtual time, so that they can be
// recorded. The recordings lie in emulator/replay/testdata; what each has to lead to is stated there.
package faultcase

import (
	"io"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/emulator/measure"
)

// Case is one fault case. It takes the same course on every run.
type Case struct {
	// Name is the name of the recording without its ending.
	Name string
	run  func(loop *measure.Loop, r *trace.Recorder)
}

// All returns the cases.
func All() []Case {
	return []Case{
		{Name: "slow-replica", run: slowReplica},
		{Name: "target-crash", run: targetCrash},
		{Name: "dropped-snapshot", run: droppedSnapshot},
		{Name: "crossed-replies", run: crossedReplies},
		{Name: "paused-holder", run: pausedHolder},
		{Name: "racing-edits", run: racingEdits},
	}
}

// Record runs the case and writes its trace to out.
func (c Case) Record(out io.Writer) error {
	loop := measure.NewLoop()
	r, err := trace.NewRecorder(out, c.Name, trace.DefaultMaxBytes, loop.Now)
	if err != nil {
		return err
	}
	c.run(loop, r)
	loop.Run()
	return r.Close()
}

// runAt runs f when d has passed since the start of the loop.
func runAt(loop *measure.Loop, d time.Duration, f func()) { loop.After(d-loop.Elapsed(), f) }
