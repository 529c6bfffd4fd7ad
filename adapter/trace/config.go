package trace

import (
	"encoding/json"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/control/config"
)

// State is a config.State whose offers are recorded. A record has only the sequence numbers, because Offer depends on
// nothing else.
type State struct {
	config.State
	recorder *Recorder
	subject  string
}

// RecordTo starts recording to r. subject is the id of the instance.
func (s *State) RecordTo(r *Recorder, subject string) { s.recorder, s.subject = r, subject }

// Offer calls config.State.Offer and records the call.
func (s *State) Offer(lists config.Lists) bool {
	accepted := s.State.Offer(lists)
	if s.recorder != nil {
		inForce, _ := s.InForce()
		s.recorder.write(&tracepb.Record{Record: &tracepb.Record_Offer{Offer: &tracepb.Offer{
			Subject: s.subject, At: s.recorder.offset(s.recorder.now()), Sequence: uint64(lists.Sequence),
			Taken: accepted, InForce: uint64(inForce.Sequence),
		}}})
	}
	return accepted
}

// Change is an edit in a form that can be recorded. Kind determines which of the other fields are set.
type Change struct {
	Kind  tracepb.ChangeKind
	Plan  config.Plan
	Limit config.Limit
	// Name is the plan of the entry to delete.
	Name string
}

// Apply returns the lists with the change applied, or the error of the method of config.Lists that applies it.
func (c Change) Apply(l config.Lists, e config.Edit) (config.Lists, error) {
	switch c.Kind {
	case tracepb.ChangeKind_CHANGE_KIND_PUT_PLAN:
		return l.PutPlan(c.Plan, e)
	case tracepb.ChangeKind_CHANGE_KIND_PUT_LIMIT:
		return l.PutLimit(c.Limit, e)
	case tracepb.ChangeKind_CHANGE_KIND_DELETE_PLAN:
		return l.DeletePlan(c.Name, e)
	case tracepb.ChangeKind_CHANGE_KIND_DELETE_LIMIT:
		return l.DeleteLimit(c.Name, e)
	}
	return l, errors.Wrap(config.ErrInvalid, "unknown kind of change")
}

func (c Change) value() []byte {
	switch c.Kind {
	case tracepb.ChangeKind_CHANGE_KIND_PUT_PLAN:
		return mustMarshal(c.Plan)
	case tracepb.ChangeKind_CHANGE_KIND_PUT_LIMIT:
		return mustMarshal(c.Limit)
	}
	return nil
}

// Operation is a recorded config.Operation. It is written as one record once it has a verdict.
type Operation struct {
	operation *config.Operation
	recorder  *Recorder
	record    *tracepb.Operation
	last      *tracepb.OperationStep
}

// NewOperation returns the operation of an edit; the arguments are those of config.NewOperation.
func NewOperation(e config.Edit, minSequence config.Revision, c Change, r *Recorder) *Operation {
	apply := func(l config.Lists) (config.Lists, error) { return c.Apply(l, e) }
	o := &Operation{operation: config.NewOperation(e.ID, minSequence, apply), recorder: r}
	if r != nil {
		o.record = &tracepb.Operation{
			Edit: e.ID, Expected: uint64(e.Expected), Known: uint64(minSequence), Kind: c.Kind, Name: c.Name, Value: c.value(),
		}
	}
	return o
}

// OnRead calls config.Operation.OnRead and records the call.
func (o *Operation) OnRead(lists config.Lists, version uint64) config.Step {
	step := o.operation.OnRead(lists, version)
	if o.recorder != nil {
		event := &tracepb.OperationStep{Event: tracepb.OperationEvent_OPERATION_EVENT_READ, Version: version}
		event.Read = mustMarshal(lists)
		o.addStep(event, step)
	}
	return step
}

// OnReadFailed calls config.Operation.OnReadFailed and records the call.
func (o *Operation) OnReadFailed(err error) config.Step {
	step := o.operation.OnReadFailed(err)
	o.addStep(&tracepb.OperationStep{Event: tracepb.OperationEvent_OPERATION_EVENT_READ_FAILED}, step)
	return step
}

// OnWrite calls config.Operation.OnWrite and records the call.
func (o *Operation) OnWrite(outcome config.WriteOutcome) config.Step {
	step := o.operation.OnWrite(outcome)
	o.addStep(&tracepb.OperationStep{Event: tracepb.OperationEvent_OPERATION_EVENT_WRITE, Outcome: uint32(outcome)}, step)
	return step
}

// Abandon calls config.Operation.Abandon and records the call.
func (o *Operation) Abandon(err error) config.Step {
	step := o.operation.Abandon(err)
	o.addStep(&tracepb.OperationStep{Event: tracepb.OperationEvent_OPERATION_EVENT_ABANDON}, step)
	return step
}

// LastStep returns the record of the latest call, or nil if there is none.
func (o *Operation) LastStep() *tracepb.OperationStep { return o.last }

// addStep records a step. The text of an error is recorded only for the verdict Refused: other errors come from the
// transport and are not part of the decision.
func (o *Operation) addStep(event *tracepb.OperationStep, step config.Step) {
	if o.recorder == nil {
		return
	}
	event.At = o.recorder.offset(o.recorder.now())
	event.Expected, event.Verdict, event.Revision = step.Expected, uint32(step.Verdict), uint64(step.Revision)
	if step.Write != nil {
		event.Write = mustMarshal(step.Write)
	}
	if step.Verdict == config.Refused {
		event.Error = step.Err.Error()
	}
	o.last = event
	o.record.Steps = append(o.record.Steps, event)
	if step.Verdict != 0 {
		o.recorder.write(&tracepb.Record{Record: &tracepb.Record_Operation{Operation: o.record}})
		o.recorder = nil
	}
}

func mustMarshal(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	return raw
}
