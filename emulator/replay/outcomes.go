package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/wire/tracepb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

// ErrMalformedOutcomes means that a file of stated outcomes cannot be decoded.
var ErrMalformedOutcomes = errors.New("cannot decode the stated outcomes")

// Outcomes are the results of the decisions in a trace. A file of outcomes that accompanies a trace states
// the required results; a list that is absent from the file is not checked.
type Outcomes struct {
	// Queries are ordered by their end time.
	Queries []QueryOutcome `json:"queries,omitempty"`
	// Edits are ordered by their end time.
	Edits []EditOutcome `json:"edits,omitempty"`
	// Sequences holds the sequence number of the configuration in force at the end, by instance.
	Sequences map[string]uint64 `json:"sequences,omitempty"`
	// Plans are ordered by name.
	Plans []PlanOutcome `json:"plans,omitempty"`
}

// QueryOutcome is the outcome of one query.
type QueryOutcome struct {
	Request  string               `json:"request"`
	Answered bool                 `json:"answered"`
	Snapshot uint64               `json:"snapshot"`
	Included []uint32             `json:"included"`
	Missing  []query.MissingShard `json:"missing"`
	Attempts int                  `json:"attempts"`
	Hedges   int                  `json:"hedges"`
	// Dropped is the number of dropped replies by reason.
	Dropped map[string]int64 `json:"dropped,omitempty"`
}

// EditOutcome is the outcome of one edit.
type EditOutcome struct {
	Edit     string `json:"edit"`
	Verdict  string `json:"verdict"`
	Revision uint64 `json:"revision,omitempty"`
	// Writes is the number of conditional writes.
	Writes int `json:"writes"`
}

// PlanOutcome describes what the holders of one plan admitted.
type PlanOutcome struct {
	Plan             string  `json:"plan"`
	LimitRate        float64 `json:"limit_rate"` // requests per second
	LimitConcurrency int     `json:"limit_concurrency"`
	Holders          int     `json:"holders"`
	// Requests is the number of admitted and refused requests, retries included.
	Requests int `json:"requests"`
	// WithinLimit is set if neither the holders' total allowance nor their admissions within any second
	// exceeded the limit.
	WithinLimit bool `json:"within_limit"`
}

// OutcomesFile returns the path of the stated outcomes that belong to a trace.
func OutcomesFile(path string) string {
	return strings.TrimSuffix(path, ".trace.gz") + ".outcomes.json"
}

func readOutcomes(path string) (stated Outcomes, found bool, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Outcomes{}, false, nil
	}
	if err != nil {
		return Outcomes{}, false, errors.Wrap(err, "read outcomes")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&stated); err != nil {
		return Outcomes{}, false, errors.Wrapf(ErrMalformedOutcomes, "%s: %s", path, err)
	}
	return stated, true, nil
}

func (o *Outcomes) setSequence(subject string, inForce uint64) {
	if o.Sequences == nil {
		o.Sequences = map[string]uint64{}
	}
	o.Sequences[subject] = inForce
}

// compare returns a line for each stated outcome that differs from the one found, and for each list whose
// length differs.
func (o Outcomes) compare(found Outcomes) []string {
	mismatches := compareList("query", o.Queries, found.Queries)
	mismatches = append(mismatches, compareList("edit", o.Edits, found.Edits)...)
	mismatches = append(mismatches, compareList("plan", o.Plans, found.Plans)...)
	if o.Sequences != nil && !reflect.DeepEqual(o.Sequences, found.Sequences) {
		mismatches = append(mismatches, fmt.Sprintf("sequences in force: stated %v, found %v", o.Sequences, found.Sequences))
	}
	return mismatches
}

func compareList[T any](kind string, stated, found []T) []string {
	if stated == nil {
		return nil
	}
	var mismatches []string
	if len(stated) != len(found) {
		mismatches = append(mismatches, fmt.Sprintf("%s outcomes: %d stated, %d found", kind, len(stated), len(found)))
	}
	for i := range min(len(stated), len(found)) {
		if want, got := asJSON(stated[i]), asJSON(found[i]); want != got {
			mismatches = append(mismatches, fmt.Sprintf("%s %d: stated %s, found %s", kind, i, want, got))
		}
	}
	return mismatches
}

func asJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode outcome"))
	}
	return string(raw)
}

// queryOutcome returns the outcome of a query whose replay agrees with the trace.
func queryOutcome(q *tracepb.Query) QueryOutcome {
	o := QueryOutcome{
		Request: query.RequestID(q.GetRequest()).String(), Answered: q.GetAnswer() != nil,
		Snapshot: q.GetAnswer().GetSnapshot(), Included: slices.Clone(q.GetAnswer().GetIncluded()),
		Missing: []query.MissingShard{},
	}
	if o.Included == nil {
		o.Included = []uint32{}
	}
	for _, m := range q.GetAnswer().GetMissing() {
		o.Missing = append(o.Missing, query.MissingShard{Shard: query.Shard(m.GetShard()), Cause: query.Cause(m.GetCause())})
	}
	for _, step := range q.GetSteps() {
		for _, a := range step.GetActions() {
			if scatter.ActionKind(a.GetKind()) == scatter.Send {
				o.Attempts++
			}
		}
		for _, c := range step.GetChoices() {
			if replica.AttemptKind(c.GetUse()) == replica.Hedge && replica.Verdict(c.GetVerdict()) == replica.Chosen {
				o.Hedges++
			}
		}
	}
	for _, d := range q.GetAnswer().GetDropped() {
		if o.Dropped == nil {
			o.Dropped = map[string]int64{}
		}
		o.Dropped[d.GetReason()] = d.GetReplies()
	}
	return o
}
