// Package faultcase runs the decision logic through small fault cases in virtual time and records traces of them. The
// recordings are in emulator/replay/testdata, together with the expected outcome of each.
package faultcase

import (
	"io"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/emulator/measure"
)

// Case is one fault case. Every run of it is the same.
type Case struct {
	// Name is the file name of the recording without its extension.
	Name string
	run  func(loop *measure.Loop, r *trace.Recorder)
}

// All returns all fault cases.
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

// runAt schedules f to run d after the start of the loop.
func runAt(loop *measure.Loop, d time.Duration, f func()) { loop.After(d-loop.Elapsed(), f) }
