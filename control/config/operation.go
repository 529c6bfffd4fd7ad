package config

import (
	"github.com/pkg/errors"
)

// readsAllowed is the number of failed reads in a row after which an edit that has written nothing
// gives up.
const readsAllowed = 3

// staleAllowed is the number of reads in a row that seem stale after which a refusal that rests on
// them is reported. The revision that an operator names may never have existed.
const staleAllowed = 10

// WriteOutcome says what is known about a conditional write.
type WriteOutcome uint8

const (
	// Written means that the write took effect.
	Written WriteOutcome = iota
	// NotWritten means that the object had another version and the write had no effect.
	NotWritten
	// WriteUnknown means that no answer arrived: the write took effect, did not, or still may.
	WriteUnknown
)

// Verdict says how an edit ended.
type Verdict uint8

const (
	// Accepted edits have taken effect.
	Accepted Verdict = iota + 1
	// Refused edits have not taken effect and never will; Step.Err says why.
	Refused
	// Unavailable edits have not taken effect and never will, because the store did not answer.
	Unavailable
	// Unknown edits may have taken effect or may still do so.
	Unknown
)

// Step is what an Operation wants next: a read, a write or, if Verdict is set, nothing.
type Step struct {
	// Write holds the lists to write if the object still has version Expected. It is nil for a read.
	Write    *Lists
	Expected uint64
	Verdict  Verdict
	// Lists and Revision are set with Accepted: the newest lists known, and the sequence number of
	// the edit itself.
	Lists    Lists
	Revision Revision
	Err      error
}

// Operation carries one edit through lost answers, races and stale reads. It is not safe for
// concurrent use.
type Operation struct {
	id    string
	apply func(Lists) (Lists, error)

	floor        Revision // reads below this sequence are stale
	floorVersion uint64   // reads below this version are stale
	inDoubt      bool     // a write without an answer may have taken effect
	written      Lists
	failedReads  int
	staleReads   int
}

// NewOperation returns the operation of an edit. apply is the edit, for example Lists.PutPlan.
// known is a sequence number that the store is known to have reached.
func NewOperation(id string, known Revision, apply func(Lists) (Lists, error)) *Operation {
	return &Operation{id: id, apply: apply, floor: known}
}

// OnRead takes the lists that were read and the version of their object, 0 if there is none yet.
func (o *Operation) OnRead(lists Lists, version uint64) Step {
	o.failedReads = 0
	if revision, ok := lists.EditRevision(o.id); ok {
		return Step{Verdict: Accepted, Lists: lists, Revision: revision}
	}
	if lists.Sequence < o.floor || version < o.floorVersion {
		return o.again(errors.New("the store answers with old values"))
	}
	// A refusal below rests on a version at least as new as every write expected. Such a write
	// found in it neither its own edit, nor can it still take effect once the version has passed.
	o.floorVersion = version
	next, err := o.apply(lists)
	switch {
	case err != nil && seemsStale(err):
		return o.again(err)
	case err != nil:
		return Step{Verdict: Refused, Err: err}
	}
	o.staleReads = 0
	o.written = next
	return Step{Write: &next, Expected: version}
}

// seemsStale reports whether a refusal shows an entry older than the one that the operator read.
func seemsStale(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) && conflict.Actual < conflict.Expected
}

// again reads once more, unless the reads do not get newer.
func (o *Operation) again(err error) Step {
	o.staleReads++
	if o.staleReads < staleAllowed || o.inDoubt {
		return Step{}
	}
	if seemsStale(err) {
		return Step{Verdict: Refused, Err: err}
	}
	return Step{Verdict: Unavailable, Err: err}
}

// OnReadFailed takes the failure of a read.
func (o *Operation) OnReadFailed(err error) Step {
	o.failedReads++
	if o.failedReads < readsAllowed || o.inDoubt {
		return Step{}
	}
	return Step{Verdict: Unavailable, Err: err}
}

// OnWrite takes the outcome of the write that the last step asked for.
func (o *Operation) OnWrite(outcome WriteOutcome) Step {
	switch outcome {
	case Written:
		return Step{Verdict: Accepted, Lists: o.written, Revision: o.written.Sequence}
	case NotWritten:
		return Step{}
	}
	o.inDoubt = true
	return Step{}
}

// Abandon ends the operation because its time is up.
func (o *Operation) Abandon(err error) Step {
	if o.inDoubt {
		return Step{Verdict: Unknown, Err: err}
	}
	return Step{Verdict: Unavailable, Err: err}
}
