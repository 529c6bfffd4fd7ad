package config

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an edit that is reported as failed although it takes effect, that is reported as
// accepted although it does not, that is lost or that takes effect twice, and against an instance that
// reverts to an older version, under lost, delayed, duplicated and reordered messages, stale reads, lost
// answers, pauses and restarts.
func TestEditsAndVersionsUnderArbitraryFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"edit": s.startEdit, "step": s.stepEdit, "more steps": s.stepEdit, "late write": s.applyDelayedWrite,
			"abandon": s.abandonEdit, "publish": s.publish, "forward": s.forward,
			"deliver": s.deliverMessage, "lose": s.loseMessage, "pause": s.togglePause, "restart": s.restartInstance,
		})
		s.t = t
		s.finishAndCheck()
	})
}

// finishAndCheck applies delayed writes, ends all edits, delivers the newest value and checks the
// reported results.
func (s *simulation) finishAndCheck() {
	for _, write := range s.delayedWrites {
		s.apply(write)
	}
	for len(s.operators) > 0 {
		o := s.operators[0]
		if o.step.Write == nil {
			o.step = o.op.OnRead(s.newest(), uint64(len(s.history)-1))
		} else if s.apply(storeWrite{lists: *o.step.Write, expected: o.step.Expected, id: o.id}) {
			o.step = o.op.OnWrite(Written)
		} else {
			o.step = o.op.OnWrite(NotWritten)
		}
		s.removeIfEnded(0)
	}
	for _, o := range s.ended {
		revision, applied := s.appliedAt[o.id]
		switch o.step.Verdict {
		case Accepted:
			require.True(s.t, applied, "%s was reported as accepted", o.id)
			require.Equal(s.t, revision, o.step.Revision)
		case Refused, Unavailable:
			require.False(s.t, applied, "%s was reported as failed", o.id)
		}
	}
	for id, revision := range s.appliedAt {
		found, ok := s.newest().EditRevision(id)
		require.True(s.t, ok, "accepted edit %s is lost", id)
		require.Equal(s.t, revision, found)
	}
	for i := range s.instances {
		s.instances[i].paused = false
		s.deliver(&s.instances[i], s.object(s.newest()))
		lists, _ := s.instances[i].state.InForce()
		require.Equal(s.t, s.newest().Sequence, lists.Sequence)
	}
}

// Guards against an edit that is reported as failed because of a stale read after the answer to its write
// was lost.
func TestRefusalRequiresCurrentRead(t *testing.T) {
	put := func(expected Revision) func(Lists) (Lists, error) {
		return func(l Lists) (Lists, error) {
			return l.PutPlan(Plan{Name: "a", Priority: PriorityHigh, Prefer: PreferTail}, Edit{ID: "mine", Expected: expected})
		}
	}
	first, err := Lists{}.PutPlan(Plan{Name: "a", Priority: PriorityHigh, Prefer: PreferTail}, Edit{ID: "other"})
	require.NoError(t, err)
	loseAnswer := func(o *Operation) {
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
			for range maxStaleReads {
				s = o.OnRead(first, 1)
			}
			return s
		}, Refused},
		{"abandoned after a lost answer", 0, 0, func(o *Operation) Step { loseAnswer(o); return o.Abandon(errors.New("")) }, Unknown},
		{"abandoned before a write", 0, 0, func(o *Operation) Step { return o.Abandon(errors.New("")) }, Unavailable},
		{"other edit first after a lost answer", 0, 0, func(o *Operation) Step { loseAnswer(o); return o.OnRead(first, 1) }, Refused},
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

// Guards against members that get pushes from no watcher or from two, and against receivers that
// SplitReceivers omits.
func TestWatchersCoverFailureDomain(t *testing.T) {
	var members []string
	for _, id := range "abcdefghijklmnopq" {
		members = append(members, string(id))
	}
	for n := 1; n <= 2*len(members); n++ {
		perDomain := WatchersPerDomain(3)
		if n > len(members) {
			perDomain = WatchersPerDomain(6)
		}
		n := (n-1)%len(members) + 1
		watchers := Watchers("d", members[:n], perDomain)
		require.Len(t, watchers, min(n, perDomain))
		reached := watchers
		for _, w := range watchers {
			receivers := PushReceivers(watchers, w, members[:n])
			var split []string
			for _, group := range SplitReceivers(receivers) {
				split = append(split, group...)
			}
			require.Equal(t, receivers, split)
			require.LessOrEqual(t, len(SplitReceivers(receivers)), FanOut)
			reached = append(reached, receivers...)
		}
		require.ElementsMatch(t, members[:n], reached)
	}
}
