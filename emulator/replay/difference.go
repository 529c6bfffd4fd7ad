package replay

import (
	"fmt"
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/query/scatter"
)

// rateTolerance is the difference up to which two rates count as equal: absolute, in requests per second,
// for rates below 1, and relative above. A lender sums the rates of its holders in map order, so the last
// bits of a sum vary: a replay of limit-bound had 1.1e-13 in place of 0.
const rateTolerance = 1e-9

// Difference is the first event of a decision at which the replay diverged from the trace.
type Difference struct {
	// Decision names the query, edit, lender or holder.
	Decision string `json:"decision"`
	// Event is the index among the events of the decision.
	Event int `json:"event"`
	// Description is the kind of the event and its time since the start of the recording.
	Description string `json:"what"`
	// Field is the path of the first value that differs.
	Field    string `json:"field"`
	Expected string `json:"expected"`
	Actual   string `json:"actual"`
}

// String formats the difference as one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: event %d, %s: %s: expected %s, actual %s",
		d.Decision, d.Event, d.Description, d.Field, d.Expected, d.Actual)
}

// fieldDiff is a field whose value differs from the recorded one.
type fieldDiff struct{ path, expected, actual string }

// firstDifference returns the first field that differs, in the order of the message definition.
func firstDifference(path string, want, got protoreflect.Message) (fieldDiff, bool) {
	fields := want.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		fieldPath := strings.TrimPrefix(path+"."+string(f.Name()), ".")
		if d, differs := compareField(fieldPath, f, want, got); differs {
			return d, true
		}
	}
	return fieldDiff{}, false
}

func compareField(path string, f protoreflect.FieldDescriptor, want, got protoreflect.Message) (fieldDiff, bool) {
	switch {
	case f.IsList():
		return compareLists(path, f, want.Get(f).List(), got.Get(f).List())
	case f.Kind() == protoreflect.MessageKind:
		if want.Has(f) != got.Has(f) {
			return fieldDiff{path, formatOptional(f, want), formatOptional(f, got)}, true
		}
		if !want.Has(f) {
			return fieldDiff{}, false
		}
		return firstDifference(path, want.Get(f).Message(), got.Get(f).Message())
	case !equal(f, want.Get(f), got.Get(f)):
		return fieldDiff{path, formatValue(f, want.Get(f)), formatValue(f, got.Get(f))}, true
	}
	return fieldDiff{}, false
}

func compareLists(path string, f protoreflect.FieldDescriptor, want, got protoreflect.List) (fieldDiff, bool) {
	for i := range max(want.Len(), got.Len()) {
		element := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case i >= want.Len():
			return fieldDiff{element, "none", formatValue(f, got.Get(i))}, true
		case i >= got.Len():
			return fieldDiff{element, formatValue(f, want.Get(i)), "none"}, true
		case f.Kind() != protoreflect.MessageKind:
			if !equal(f, want.Get(i), got.Get(i)) {
				return fieldDiff{element, formatValue(f, want.Get(i)), formatValue(f, got.Get(i))}, true
			}
		default:
			if _, differs := firstDifference(element, want.Get(i).Message(), got.Get(i).Message()); differs {
				return fieldDiff{element, formatValue(f, want.Get(i)), formatValue(f, got.Get(i))}, true
			}
		}
	}
	return fieldDiff{}, false
}

func equal(f protoreflect.FieldDescriptor, a, b protoreflect.Value) bool {
	if f.Kind() != protoreflect.DoubleKind {
		return a.Equal(b)
	}
	x, y := a.Float(), b.Float()
	return x == y || math.Abs(x-y) <= rateTolerance*max(1, math.Abs(x), math.Abs(y))
}

func formatOptional(f protoreflect.FieldDescriptor, m protoreflect.Message) string {
	if !m.Has(f) {
		return "none"
	}
	return formatValue(f, m.Get(f))
}

func formatValue(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return formatMessage(v.Message())
	case protoreflect.BytesKind:
		return string(v.Bytes())
	case protoreflect.StringKind:
		return fmt.Sprintf("%q", v.String())
	case protoreflect.Int64Kind:
		if isDurationField(f.Name()) {
			return time.Duration(v.Int()).String()
		}
	}
	return fmt.Sprint(v.Interface())
}

func isDurationField(name protoreflect.Name) bool {
	switch name {
	case "at", "next_wake", "time_left", "hedge_after", "way_back", "retry_after", "time", "held_for", "sent":
		return true
	}
	return false
}

// actionKindNames holds the names of scatter.ActionKind in differences.
var actionKindNames = map[scatter.ActionKind]string{scatter.Send: "send", scatter.Cancel: "cancel", scatter.Finish: "finish"}

func formatMessage(m protoreflect.Message) string {
	if a, ok := m.Interface().(*tracepb.Action); ok {
		kind := actionKindNames[scatter.ActionKind(a.GetKind())]
		if kind == "finish" {
			return kind
		}
		return fmt.Sprintf("%s attempt %d for shard %d at %s with %s left",
			kind, a.GetAttempt(), a.GetShard(), a.GetTarget(), time.Duration(a.GetTimeLeft()))
	}
	var parts []string
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if !m.Has(f) {
			continue
		}
		if f.IsList() {
			parts = append(parts, fmt.Sprintf("%s: %d values", f.Name(), m.Get(f).List().Len()))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s: %s", f.Name(), formatValue(f, m.Get(f))))
	}
	return "{" + strings.Join(parts, ", ") + "}"
}
