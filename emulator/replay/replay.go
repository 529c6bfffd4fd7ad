// Package replay feeds the events and times of recorded traces to the current decision code, compares
// the actions with the recorded ones, and checks the outcomes stated in the file that accompanies a trace.
package replay

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/tracepb"
)

// Report is the result of the replay of one trace.
type Report struct {
	File    string `json:"file"`
	Source  string `json:"source"`
	Records int    `json:"records"`
	// Differences holds the first difference of each decision that diverged from the trace.
	Differences []Difference `json:"differences"`
	// Violations lists the violated invariants and the stated outcomes that were not met.
	Violations []string `json:"violations"`
	// HasStatedOutcomes is set if a file of stated outcomes accompanies the trace.
	HasStatedOutcomes bool `json:"stated"`
	// Admitted is the number of admitted requests by plan.
	Admitted map[string]int `json:"admitted"`
	// Found holds the outcomes of the replay.
	Found Outcomes `json:"found"`
}

// Passed reports whether the replay found neither a difference nor a violation.
func (r Report) Passed() bool { return len(r.Differences) == 0 && len(r.Violations) == 0 }

// File replays the trace in a file and checks its stated outcomes, if there are any. It fails with
// trace.ErrMalformed, trace.ErrTruncated, a *trace.VersionError, ErrMalformedOutcomes or a file system error.
func File(path string) (Report, error) {
	in, err := os.Open(path)
	if err != nil {
		return Report{}, errors.Wrap(err, "open trace")
	}
	defer in.Close()
	t, err := trace.Read(in)
	if err != nil {
		return Report{}, errors.Wrap(err, path)
	}
	report := Run(t)
	report.File = path
	stated, found, err := readOutcomes(OutcomesFile(path))
	if err != nil {
		return Report{}, err
	}
	if found {
		report.HasStatedOutcomes = true
		report.Violations = append(report.Violations, stated.compare(report.Found)...)
	}
	return report, nil
}

// Run replays a trace and checks the invariants.
func Run(t trace.Trace) Report {
	r := &replayer{
		start: time.Unix(0, t.Header.GetStartUnixNano()), configState: map[string]*configState{},
		lenders: map[lenderKey]*lenderReplay{}, plans: map[string]*planReplay{},
		report: Report{Source: t.Header.GetSource(), Records: len(t.Records), Admitted: map[string]int{}},
	}
	r.recorder = trace.NewFuncRecorder(r.start, func() time.Time { return r.now }, func(record *tracepb.Record) { r.got = record })
	for _, record := range t.Records {
		r.replay(record)
	}
	r.finishPlans()
	return r.report
}

// replayer is the replay of one trace.
type replayer struct {
	start    time.Time
	now      time.Time
	recorder *trace.Recorder
	got      *tracepb.Record // latest record of the replayed decision
	report   Report

	configState map[string]*configState
	lenders     map[lenderKey]*lenderReplay
	plans       map[string]*planReplay
}

func (r *replayer) replay(record *tracepb.Record) {
	switch x := record.GetRecord().(type) {
	case *tracepb.Record_Query:
		r.replayQuery(x.Query)
	case *tracepb.Record_Offer:
		r.replayOffer(x.Offer)
	case *tracepb.Record_Operation:
		r.replayOperation(x.Operation)
	case *tracepb.Record_Lender:
		r.replayLender(x.Lender)
	case *tracepb.Record_Holder:
		r.replayHolder(x.Holder)
	}
}

// advanceTo sets the current time to that of an event and returns it.
func (r *replayer) advanceTo(nanos int64) time.Time {
	r.now = r.start.Add(time.Duration(nanos))
	return r.now
}

// catchPanic runs f and returns the text of its panic, or an empty string.
func catchPanic(f func()) (panicked string) {
	defer func() {
		if p := recover(); p != nil {
			panicked = fmt.Sprint("panic: ", p)
		}
	}()
	f()
	return ""
}

// compare adds a difference if the messages of an event differ or the decision panicked. It reports
// whether the replay agrees with the trace.
func (r *replayer) compare(decision string, event int, desc string, panicked string, want, got proto.Message) bool {
	d := Difference{Decision: decision, Event: event, Description: desc}
	if panicked != "" {
		d.Field, d.Expected, d.Actual = "event", formatMessage(want.ProtoReflect()), panicked
	} else {
		f, differs := firstDifference("", want.ProtoReflect(), got.ProtoReflect())
		if !differs {
			return true
		}
		d.Field, d.Expected, d.Actual = f.path, f.expected, f.actual
	}
	r.report.Differences = append(r.report.Differences, d)
	return false
}

func (r *replayer) addViolation(format string, args ...any) {
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// describeEvent formats an event and its time since the start of the recording.
func describeEvent(event string, nanos int64) string {
	return event + " at " + time.Duration(nanos).String()
}
