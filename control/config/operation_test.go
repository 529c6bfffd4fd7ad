package config

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an edit that is reported as failed although it took effect or still does, that is
// reported as accepted although it did not, that is lost or takes effect twice, and against an
// instance that goes back to an older version, for every order of lost, late, repeated and
// overtaking messages, stale reads, lost answers, pauses and restarts.
func TestEditsAndVersionsUnderArbitraryFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"edit": w.moveEdit, "step": w.moveStep, "more steps": w.moveStep, "late write": w.moveLate,
			"abandon": w.moveAbandon, "publish": w.movePublish, "forward": w.moveForward,
			"deliver": w.moveDeliver, "lose": w.moveLose, "pause": w.movePause, "restart": w.moveRestart,
		})
		w.t = t
		w.heal()
	})
}

// heal lets late writes take effect, ends all edits, delivers the newest value and checks the promises.
func (w *world) heal() {
	for _, write := range w.late {
		w.apply(write)
	}
	for len(w.operators) > 0 {
		o := w.operators[0]
		if o.step.Write == nil {
			o.step = o.op.OnRead(w.newest(), uint64(len(w.history)-1))
		} else if w.apply(storeWrite{lists: *o.step.Write, expected: o.step.Expected, id: o.id}) {
			o.step = o.op.OnWrite(Written)
		} else {
			o.step = o.op.OnWrite(NotWritten)
		}
		w.settle(0)
	}
	for _, o := range w.ended {
		revision, took := w.effects[o.id]
		switch o.step.Verdict {
		case Accepted:
			require.True(w.t, took, "%s was reported as accepted", o.id)
			require.Equal(w.t, revision, o.step.Revision)
		case Refused, Unavailable:
			require.False(w.t, took, "%s was reported as failed", o.id)
		}
	}
	for id, revision := range w.effects {
		found, ok := w.newest().EditRevision(id)
		require.True(w.t, ok, "accepted edit %s is lost", id)
		require.Equal(w.t, revision, found)
	}
	for i := range w.instances {
		w.instances[i].paused = false
		w.deliver(&w.instances[i], w.object(w.newest()))
		lists, _ := w.instances[i].state.InForce()
		require.Equal(w.t, w.newest().Sequence, lists.Sequence)
	}
}

// Guards against an edit that reports "failed" from a stale read after its write's answer was lost.
func TestRefusalsNeedProof(t *testing.T) {
	put := func(expected Revision) func(Lists) (Lists, error) {
		return func(l Lists) (Lists, error) {
			return l.PutPlan(Plan{Name: "a", Priority: PriorityHigh, Prefer: PreferTail}, Edit{ID: "mine", Expected: expected})
		}
	}
	first, err := Lists{}.PutPlan(Plan{Name: "a", Priority: PriorityHigh, Prefer: PreferTail}, Edit{ID: "other"})
	require.NoError(t, err)
	lost := func(o *Operation) {
		require.NotNil(t, o.OnRead(Lists{}, 0).Write)
		o.OnWrite(WriteUnknown)
	}
	cases := []struct {
		name     string
		expected Revision
		known    Revision
		run      func(o *Operation) Step
		verdict  Verdict
	}{
		{"conflict", 0, 0, func(o *Operation) Step { return o.OnRead(first, 1) }, Refused},
		{"older than what is in force", 0, 5, func(o *Operation) Step { return o.OnRead(first, 1) }, 0},
		{"older than what the operator read", 9, 0, func(o *Operation) Step { return o.OnRead(first, 1) }, 0},
		{"revision that never existed", 9, 0, func(o *Operation) (s Step) {
			for range staleAllowed {
				s = o.OnRead(first, 1)
			}
			return s
		}, Refused},
		{"abandoned after a lost answer", 0, 0, func(o *Operation) Step { lost(o); return o.Abandon(errors.New("")) }, Unknown},
		{"abandoned before a write", 0, 0, func(o *Operation) Step { return o.Abandon(errors.New("")) }, Unavailable},
		{"other edit first after a lost answer", 0, 0, func(o *Operation) Step { lost(o); return o.OnRead(first, 1) }, Refused},
	}
	remove := func(l Lists) (Lists, error) { return l.DeletePlan("a", Edit{ID: "mine", Expected: 1}) }
	stale := NewOperation("mine", 0, remove)
	require.NotNil(t, stale.OnRead(first, 1).Write)
	stale.OnWrite(WriteUnknown)
	require.Zero(t, stale.OnRead(Lists{}, 0).Verdict, "a read from before the entry existed, after a lost answer")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.verdict, c.run(NewOperation("mine", c.known, put(c.expected))).Verdict)
		})
	}
}

// Guards against members that no watcher pushes to or two watchers push to, and against a split
// that drops receivers.
func TestWatchersShareTheirDomain(t *testing.T) {
	var members []string
	for _, id := range "abcdefghijklmnopq" {
		members = append(members, string(id))
	}
	for n := 1; n <= len(members); n++ {
		watchers := Watchers("d", members[:n])
		require.Len(t, watchers, min(n, WatchersPerDomain))
		reached := watchers
		for _, w := range watchers {
			share := PushReceivers(watchers, w, members[:n])
			var split []string
			for _, group := range SplitReceivers(share) {
				split = append(split, group...)
			}
			require.Equal(t, share, split)
			require.LessOrEqual(t, len(SplitReceivers(share)), FanOut)
			reached = append(reached, share...)
		}
		require.ElementsMatch(t, members[:n], reached)
	}
}
