package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testKeys = 9

// Guards against a request that is sent twice, a request that ran although the answer was NotRun, and a
// submission that is never answered. The faults are lost, delayed and duplicated writes, stale reads, paused,
// restarted and competing writers, and clock skew, in random order.
func TestLogUnderArbitraryFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"submit":           sim.stepSubmit,
			"deliver":          sim.stepDeliver,
			"submit more":      sim.stepSubmit,
			"progress":         sim.stepProgress,
			"more progress":    sim.stepProgress, // makes progress as probable as faults
			"wake all":         sim.stepWakeAll,
			"lose answer":      sim.stepLoseAnswer,
			"late effect":      sim.stepLateWrite,
			"finish":           sim.stepFinish,
			"abandon":          sim.stepAbandon,
			"choose":           sim.stepChoose,
			"restart":          sim.stepRestart,
			"result due":       sim.stepResultDue,
			"advance":          sim.stepAdvanceTime,
			"skew a clock":     sim.stepSkewClock,
			"fill up the head": sim.stepForceCompaction,
		})
		sim.checkRecovery()
	})
}

func (sim *simulation) writer(t *rapid.T) *writer {
	return sim.writers[rapid.IntRange(0, len(sim.writers)-1).Draw(t, "writer")]
}

func (sim *simulation) writerWithCall(t *rapid.T) *writer {
	wr := sim.writer(t)
	if len(wr.calls) == 0 {
		t.Skip("no call")
	}
	return wr
}

// stepSubmit draws from a small set of keys, so that most submissions are resends.
func (sim *simulation) stepSubmit(t *rapid.T) {
	n := rapid.IntRange(0, testKeys-1).Draw(t, "key")
	age := time.Duration([testKeys]int{0, 0, 0, 0, 1, 59, 61, -4, -6}[n]) * time.Minute
	k := Key(fmt.Sprintf("%d-%d", startTime.Add(-age).UnixMilli(), n))
	sim.submit(sim.writer(t), k)
}

// stepProgress completes the next store calls of a writer without a fault.
func (sim *simulation) stepProgress(t *rapid.T) {
	wr := sim.writer(t)
	for range rapid.IntRange(1, 4).Draw(t, "calls") {
		sim.now = sim.now.Add(RetryDelay)
		sim.wake(wr)
		if len(wr.calls) > 0 {
			sim.deliver(wr, 0)
		}
	}
}

func (sim *simulation) stepDeliver(t *rapid.T) {
	wr := sim.writerWithCall(t)
	sim.deliver(wr, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 3}).Draw(t, "behind"))
}

func (sim *simulation) stepLoseAnswer(t *rapid.T) {
	sim.loseAnswer(sim.writerWithCall(t), rapid.Bool().Draw(t, "effect"))
}

func (sim *simulation) stepLateWrite(t *rapid.T) {
	if len(sim.lateWrites) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(sim.lateWrites)-1).Draw(t, "late")
	sim.apply(sim.lateWrites[i])
	sim.lateWrites = append(sim.lateWrites[:i:i], sim.lateWrites[i+1:]...)
}

func (sim *simulation) stepFinish(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("no request in flight")
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "send")
	switch rapid.SampledFrom([]string{"done", "done", "refused", "answer lost", "request lost"}).Draw(t, "end") {
	case "done":
		sim.finish(i, Done, true)
	case "refused":
		sim.finish(i, NotRun, false)
	case "answer lost":
		sim.finish(i, Unknown, true)
	case "request lost":
		sim.finish(i, Unknown, false)
	}
}

func (sim *simulation) stepAbandon(t *rapid.T) {
	var open []*submission
	for id := SubmissionID(1); int(id) <= len(sim.submissions); id++ {
		if s := sim.submissions[id]; s.answer == nil {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		t.Skip("no submission waits")
	}
	s := rapid.SampledFrom(open).Draw(t, "submission")
	sim.perform(s.writer, s.writer.log.Abandon(sim.clock(s.writer), s.Key, s.ID))
	require.NotNil(t, s.answer)
}

func (sim *simulation) stepChoose(t *rapid.T) {
	wr := sim.writer(t)
	sim.perform(wr, wr.log.SetChosen(sim.clock(wr), rapid.SampledFrom([]bool{true, true, false}).Draw(t, "chosen")))
}

func (sim *simulation) stepRestart(t *rapid.T) { sim.restart(sim.writer(t)) }

func (sim *simulation) stepWakeAll(*rapid.T) {
	sim.now = sim.now.Add(RetryDelay)
	for _, wr := range sim.writers {
		sim.wake(wr)
	}
}

func (sim *simulation) stepResultDue(t *rapid.T) {
	sim.now = sim.now.Add(ResultDelay)
	sim.stepProgress(t)
}

func (sim *simulation) stepAdvanceTime(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 1, 30}).Draw(t, "minutes")) * time.Minute)
}

// stepSkewClock restarts a writer with a different clock offset. The offset of a running process does not change,
// because it measures waits by its monotonic clock.
func (sim *simulation) stepSkewClock(t *rapid.T) {
	wr := sim.writer(t)
	wr.skew = time.Duration(rapid.SampledFrom([]int{0, 0, 1, -1, 70, -70}).Draw(t, "minutes")) * time.Minute
	sim.restart(wr)
}

// stepForceCompaction makes a writer move final claims to a segment before each later update.
func (sim *simulation) stepForceCompaction(t *rapid.T) { sim.writer(t).log.compactBytes = 0 }

// checkRecovery ends all faults and checks that every submission is answered, that a new request runs, and that no
// request ran twice or ran although a definite answer was NotRun.
func (sim *simulation) checkRecovery() {
	for i := range sim.lateWrites {
		sim.apply(sim.lateWrites[i])
	}
	sim.lateWrites = nil
	for i, wr := range sim.writers {
		sim.perform(wr, wr.log.SetChosen(sim.now, i == 0))
	}
	sim.runWithoutFaults()
	for _, s := range sim.submissions {
		require.NotNil(sim.t, s.answer, "%s has no answer", s.Key)
	}
	sim.now = sim.now.Add(3 * time.Hour) // past any floor that a writer with a fast clock has set
	k := Key(fmt.Sprintf("%d-new", sim.clock(sim.writers[0]).UnixMilli()))
	sim.submit(sim.writers[0], k)
	sim.runWithoutFaults()
	require.Equal(sim.t, 1, sim.runCount[k])
	for key, n := range sim.runCount {
		require.LessOrEqual(sim.t, n, 1, key)
		require.False(sim.t, sim.notRun[key], "%s ran although a definite answer was not_run", key)
	}
}

func (sim *simulation) runWithoutFaults() {
	for range 200 {
		sim.now = sim.now.Add(ResultDelay)
		for _, wr := range sim.writers {
			sim.wake(wr)
			for len(wr.calls) > 0 {
				sim.deliver(wr, 0)
			}
		}
		for len(sim.inFlight) > 0 {
			sim.finish(0, Done, true)
		}
	}
}
