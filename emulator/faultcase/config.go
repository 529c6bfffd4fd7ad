package faultcase

import (
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/measure"
)

// store contains one versioned object that is written by compare-and-swap.
type store struct {
	lists   config.Lists
	version uint64
}

func (s *store) write(step config.Step) config.WriteOutcome {
	if step.Expected != s.version {
		return config.NotWritten
	}
	s.lists = *step.Write
	s.version++
	return config.Written
}

// racingEdits runs two concurrent edits of different plans, in which the answer to the write that takes effect is lost,
// and a third edit of a plan that has changed since it was read. The versions are offered to instance a in order, and to
// instance b out of order and more than once.
func racingEdits(loop *measure.Loop, r *trace.Recorder) {
	s := &store{version: 1, lists: config.Lists{Sequence: 1}}
	first := operation(r, "edit-1", 0, plan("proof-desk", config.PreferCoverage))
	second := operation(r, "edit-2", 0, plan("fitters", config.PreferTail))
	third := operation(r, "edit-3", 0, plan("proof-desk", config.PreferTail))
	a, b := &trace.State{}, &trace.State{}
	a.RecordTo(r, "a")
	b.RecordTo(r, "b")
	a.Offer(s.lists)
	steps := []func(){
		func() {
			firstWrite, secondWrite := first.OnRead(s.lists, s.version), second.OnRead(s.lists, s.version)
			s.write(firstWrite)
			first.OnWrite(config.WriteUnknown)
			second.OnWrite(s.write(secondWrite))
			a.Offer(s.lists)
			b.Offer(s.lists)
		},
		func() { first.OnReadFailed(errors.New("the store is unavailable")) },
		func() {
			previous := s.lists
			second.OnWrite(s.write(second.OnRead(s.lists, s.version)))
			a.Offer(s.lists)
			b.Offer(s.lists)
			b.Offer(previous)
			b.Offer(s.lists)
		},
		func() { first.OnRead(s.lists, s.version) },
		func() { third.OnRead(s.lists, s.version) },
	}
	for i, step := range steps {
		runAt(loop, time.Duration(i+1)*10*time.Millisecond, step)
	}
}

func operation(r *trace.Recorder, id string, expected config.Revision, change trace.Change) *trace.Operation {
	return trace.NewOperation(config.Edit{ID: id, Expected: expected}, 1, change, r)
}

func plan(name string, prefer config.Prefer) trace.Change {
	return trace.Change{
		Kind: tracepb.ChangeKind_CHANGE_KIND_PUT_PLAN,
		Plan: config.Plan{Name: name, Priority: config.PriorityNormal, Prefer: prefer},
	}
}
