package replay

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/control/config"
)

// configState is the replay of the config.State of one instance.
type configState struct {
	state      trace.State
	events     int
	maxOffered uint64
	inForce    uint64
	diverged   bool
}

func (r *replayer) replayOffer(want *tracepb.Offer) {
	s, ok := r.configState[want.GetSubject()]
	if !ok {
		s = &configState{}
		s.state.RecordTo(r.recorder, want.GetSubject())
		r.configState[want.GetSubject()] = s
	}
	if s.diverged {
		return
	}
	r.advanceTo(want.GetAt())
	panicked := catchPanic(func() { s.state.Offer(config.Lists{Sequence: config.Revision(want.GetSequence())}) })
	name := "configuration at " + want.GetSubject()
	s.diverged = !r.compare(name, s.events, describeEvent("offer", want.GetAt()), panicked, want, r.got.GetOffer())
	s.events++
	if s.diverged {
		return
	}
	if want.GetInForce() < s.inForce {
		r.addViolation("%s: the sequence number in force falls from %d to %d", name, s.inForce, want.GetInForce())
	}
	s.maxOffered, s.inForce = max(s.maxOffered, want.GetSequence()), want.GetInForce()
	if s.inForce != s.maxOffered {
		r.addViolation("%s: %d is in force after %d was offered", name, s.inForce, s.maxOffered)
	}
	r.report.Found.setSequence(want.GetSubject(), s.inForce)
}

func (r *replayer) replayOperation(want *tracepb.Operation) {
	name := "edit " + want.GetEdit()
	change, err := changeOf(want)
	if err != nil {
		r.addViolation("%s: %s", name, err)
		return
	}
	edit := config.Edit{ID: want.GetEdit(), Expected: config.Revision(want.GetExpected())}
	var got *tracepb.OperationStep
	op := trace.NewOperation(edit, config.Revision(want.GetKnown()), change, r.recorder)
	for i, step := range want.GetSteps() {
		r.advanceTo(step.GetAt())
		panicked := catchPanic(func() { got = feedOperation(op, step) })
		desc := describeEvent(strings.ToLower(strings.TrimPrefix(step.GetEvent().String(), "OPERATION_EVENT_")), step.GetAt())
		if !r.compare(name, i, desc, panicked, step, proto.Message(got)) {
			return
		}
	}
	found := editOutcome(want)
	for _, other := range r.report.Found.Edits {
		if found.Revision != 0 && other.Revision == found.Revision {
			r.addViolation("%s: edit %s was accepted with the same revision %d", name, other.Edit, found.Revision)
		}
	}
	r.report.Found.Edits = append(r.report.Found.Edits, found)
}

// feedOperation passes an event to the operation and returns its record.
func feedOperation(op *trace.Operation, step *tracepb.OperationStep) *tracepb.OperationStep {
	switch step.GetEvent() {
	case tracepb.OperationEvent_OPERATION_EVENT_READ:
		var lists config.Lists
		if err := json.Unmarshal(step.GetRead(), &lists); err != nil {
			panic(errors.Wrap(err, "decode recorded configuration lists"))
		}
		op.OnRead(lists, step.GetVersion())
	case tracepb.OperationEvent_OPERATION_EVENT_READ_FAILED:
		op.OnReadFailed(errors.New("recorded failure of a read"))
	case tracepb.OperationEvent_OPERATION_EVENT_WRITE:
		op.OnWrite(config.WriteOutcome(step.GetOutcome()))
	case tracepb.OperationEvent_OPERATION_EVENT_ABANDON:
		op.Abandon(errors.New("recorded end of the time"))
	}
	return op.LastStep()
}

func changeOf(o *tracepb.Operation) (trace.Change, error) {
	c := trace.Change{Kind: o.GetKind(), Name: o.GetName()}
	var err error
	switch o.GetKind() {
	case tracepb.ChangeKind_CHANGE_KIND_PUT_PLAN:
		err = json.Unmarshal(o.GetValue(), &c.Plan)
	case tracepb.ChangeKind_CHANGE_KIND_PUT_LIMIT:
		err = json.Unmarshal(o.GetValue(), &c.Limit)
	}
	return c, errors.Wrap(err, "decode recorded change")
}

// verdictNames holds the names of config.Verdict in outcome files.
var verdictNames = map[config.Verdict]string{
	config.Accepted: "accepted", config.Refused: "refused", config.Unavailable: "unavailable", config.Unknown: "unknown",
}

func editOutcome(o *tracepb.Operation) EditOutcome {
	e := EditOutcome{Edit: o.GetEdit()}
	for _, step := range o.GetSteps() {
		e.Verdict, e.Revision = verdictNames[config.Verdict(step.GetVerdict())], step.GetRevision()
		if step.GetEvent() == tracepb.OperationEvent_OPERATION_EVENT_WRITE {
			e.Writes++
		}
	}
	return e
}

// timeAt returns the time that is the given number of nanoseconds after the start of the recording.
func (r *replayer) timeAt(nanos int64) time.Time { return r.start.Add(time.Duration(nanos)) }
