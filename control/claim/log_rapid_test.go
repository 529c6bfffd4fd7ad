package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testKeys = 9

// Guards against a request that is sent twice, that ran although a caller was told otherwise, or
// whose submission is never answered, for every order of lost, late and repeated writes, paused,
// restarted and competing writers, stale reads and clocks that differ.
func TestLogUnderArbitraryFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"submit":           w.moveSubmit,
			"deliver":          w.moveDeliver,
			"submit more":      w.moveSubmit,
			"progress":         w.moveProgress,
			"more progress":    w.moveProgress, // makes progress as likely as faults
			"wake all":         w.moveWake,
			"lose answer":      w.moveLoseAnswer,
			"late effect":      w.moveLateEffect,
			"finish":           w.moveFinish,
			"abandon":          w.moveAbandon,
			"choose":           w.moveChoose,
			"restart":          w.moveRestart,
			"result due":       w.moveResultDue,
			"advance":          w.moveAdvance,
			"skew a clock":     w.moveSkew,
			"fill up the head": w.moveFill,
		})
		w.heal()
	})
}

func (w *world) writer(t *rapid.T) *writer {
	return w.writers[rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")]
}

func (w *world) writerWithCall(t *rapid.T) *writer {
	wr := w.writer(t)
	if len(wr.calls) == 0 {
		t.Skip("no call")
	}
	return wr
}

// moveSubmit draws from few keys, so that most submissions are resends.
func (w *world) moveSubmit(t *rapid.T) {
	n := rapid.IntRange(0, testKeys-1).Draw(t, "key")
	age := time.Duration([testKeys]int{0, 0, 0, 0, 1, 59, 61, -4, -6}[n]) * time.Minute
	k := Key(fmt.Sprintf("%d-%d", start.Add(-age).UnixMilli(), n))
	w.submit(w.writer(t), k)
}

// moveProgress lets a writer make its next store calls without a fault.
func (w *world) moveProgress(t *rapid.T) {
	wr := w.writer(t)
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		w.now = w.now.Add(RetryDelay)
		w.wake(wr)
		if len(wr.calls) > 0 {
			w.deliver(wr, 0)
		}
	}
}

func (w *world) moveDeliver(t *rapid.T) {
	wr := w.writerWithCall(t)
	w.deliver(wr, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 3}).Draw(t, "behind"))
}

func (w *world) moveLoseAnswer(t *rapid.T) {
	w.loseAnswer(w.writerWithCall(t), rapid.Bool().Draw(t, "effect"))
}

func (w *world) moveLateEffect(t *rapid.T) {
	if len(w.late) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
	w.apply(w.late[i])
	w.late = append(w.late[:i:i], w.late[i+1:]...)
}

func (w *world) moveFinish(t *rapid.T) {
	if len(w.sends) == 0 {
		t.Skip("nothing sent")
	}
	i := rapid.IntRange(0, len(w.sends)-1).Draw(t, "send")
	switch rapid.SampledFrom([]string{"done", "done", "refused", "answer lost", "request lost"}).Draw(t, "end") {
	case "done":
		w.finish(i, Done, true)
	case "refused":
		w.finish(i, NotRun, false)
	case "answer lost":
		w.finish(i, Unknown, true)
	case "request lost":
		w.finish(i, Unknown, false)
	}
}

func (w *world) moveAbandon(t *rapid.T) {
	var open []*submission
	for id := SubmissionID(1); int(id) <= len(w.submissions); id++ {
		if s := w.submissions[id]; s.answer == nil {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		t.Skip("nobody waits")
	}
	s := rapid.SampledFrom(open).Draw(t, "submission")
	w.do(s.writer, s.writer.log.Abandon(w.at(s.writer), s.Key, s.ID))
	require.NotNil(t, s.answer)
}

func (w *world) moveChoose(t *rapid.T) {
	wr := w.writer(t)
	w.do(wr, wr.log.SetChosen(w.at(wr), rapid.SampledFrom([]bool{true, true, false}).Draw(t, "chosen")))
}

func (w *world) moveRestart(t *rapid.T) { w.restart(w.writer(t)) }

func (w *world) moveWake(*rapid.T) {
	w.now = w.now.Add(RetryDelay)
	for _, wr := range w.writers {
		w.wake(wr)
	}
}

func (w *world) moveResultDue(t *rapid.T) {
	w.now = w.now.Add(ResultDelay)
	w.moveProgress(t)
}

func (w *world) moveAdvance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 30}).Draw(t, "minutes")) * time.Minute)
}

// moveSkew restarts a writer with another clock. A running process measures waits by its monotonic
// clock, which does not jump.
func (w *world) moveSkew(t *rapid.T) {
	wr := w.writer(t)
	wr.skew = time.Duration(rapid.SampledFrom([]int{0, 0, 1, -1, 70, -70}).Draw(t, "minutes")) * time.Minute
	w.restart(wr)
}

// moveFill makes a writer move settled claims to a segment before its next update.
func (w *world) moveFill(t *rapid.T) { w.writer(t).log.compactBytes = 0 }

// heal ends all faults and checks that every submission is answered and a new key runs.
func (w *world) heal() {
	for i := range w.late {
		w.apply(w.late[i])
	}
	w.late = nil
	for i, wr := range w.writers {
		w.do(wr, wr.log.SetChosen(w.now, i == 0))
	}
	w.settle()
	for _, s := range w.submissions {
		require.NotNil(w.t, s.answer, "%s has no answer", s.Key)
	}
	w.now = w.now.Add(3 * time.Hour) // beyond a floor that a clock ahead has raised
	k := Key(fmt.Sprintf("%d-new", w.at(w.writers[0]).UnixMilli()))
	w.submit(w.writers[0], k)
	w.settle()
	require.Equal(w.t, 1, w.runs[k])
	for key, n := range w.runs {
		require.LessOrEqual(w.t, n, 1, key)
		require.False(w.t, w.notRun[key], "%s ran and was said to be not run", key)
	}
}

func (w *world) settle() {
	for range 200 {
		w.now = w.now.Add(ResultDelay)
		for _, wr := range w.writers {
			w.wake(wr)
			for len(wr.calls) > 0 {
				w.deliver(wr, 0)
			}
		}
		for len(w.sends) > 0 {
			w.finish(0, Done, true)
		}
	}
}
