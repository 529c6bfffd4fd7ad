package config

import (
	"github.com/pkg/errors"
)

// maxFailedReads is the number of consecutive failed reads after which an edit without a write in doubt
// is given up.
const maxFailedReads = 3

// maxStaleReads is the number of consecutive apparently stale reads after which their error is
// reported. The revision that an operator expects may never have existed.
const maxStaleReads = 10

// WriteOutcome is the outcome of a conditional write, as far as it is known.
type WriteOutcome uint8

const (
	// Written means that the write took effect.
	Written WriteOutcome = iota
	// NotWritten means that the object had another version and the write had no effect.
	NotWritten
	// WriteUnknown means that no answer arrived: the write has taken effect, has not, or still may.
	WriteUnknown
)

// Verdict is the result of an edit.
type Verdict uint8

const (
	// Accepted edits have taken effect.
	Accepted Verdict = iota + 1
	// Refused edits have not taken effect and never will; Step.Err is the reason.
	Refused
	// Unavailable edits have not taken effect and never will, because the store did not answer.
	Unavailable
	// Unknown edits may have taken effect or may still do so.
	Unknown
)

// Step is the next step of an Operation: a read, a write or, if Verdict is set, its end.
type Step struct {
	// Write is the value to write if the object still has version Expected. It is nil for a read.
	Write    *Lists
	Expected uint64
	Verdict  Verdict
	// Lists and Revision are set with Accepted. Lists is the newest known value, Revision the sequence
	// number of the edit itself.
	Lists    Lists
	Revision Revision
	Err      error
}

// Operation performs one edit despite lost answers, concurrent edits and stale reads. It is not safe
// for concurrent use.
type Operation struct {
	id    string
	apply func(Lists) (Lists, error)

	minSequence Revision // reads below this sequence are stale
	minVersion  uint64   // reads below this version are stale
	inDoubt     bool     // a write without an answer may have taken effect
	written     Lists
	failedReads int
	staleReads  int
}

// NewOperation returns the operation of the edit with an id. apply applies the edit, for example
// Lists.PutPlan. minSequence is a sequence number that the store has already reached.
func NewOperation(id string, minSequence Revision, apply func(Lists) (Lists, error)) *Operation {
	return &Operation{id: id, apply: apply, minSequence: minSequence}
}

// OnRead handles a read of lists. version is the version of their object, 0 if it does not exist yet.
func (o *Operation) OnRead(lists Lists, version uint64) Step {
	o.failedReads = 0
	if revision, ok := lists.EditRevision(o.id); ok {
		return Step{Verdict: Accepted, Lists: lists, Revision: revision}
	}
	if lists.Sequence < o.minSequence || version < o.minVersion {
		return o.retryRead(errors.New("the store answers with old values"))
	}
	// This version is at least as new as the one that any earlier write of this operation expected, and
	// does not contain the edit, so no such write has taken effect. A refusal below also means that the
	// version has advanced since, so none can still take effect.
	o.minVersion = version
	next, err := o.apply(lists)
	switch {
	case err != nil && seemsStale(err):
		return o.retryRead(err)
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

// retryRead requests another read, or ends the operation after maxStaleReads unless a write is in doubt.
func (o *Operation) retryRead(err error) Step {
	o.staleReads++
	if o.staleReads < maxStaleReads || o.inDoubt {
		return Step{}
	}
	if seemsStale(err) {
		return Step{Verdict: Refused, Err: err}
	}
	return Step{Verdict: Unavailable, Err: err}
}

// OnReadFailed handles a failed read.
func (o *Operation) OnReadFailed(err error) Step {
	o.failedReads++
	if o.failedReads < maxFailedReads || o.inDoubt {
		return Step{}
	}
	return Step{Verdict: Unavailable, Err: err}
}

// OnWrite handles the outcome of the write that the last step requested.
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

// Abandon ends the operation when its time limit has expired.
func (o *Operation) Abandon(err error) Step {
	if o.inDoubt {
		return Step{Verdict: Unknown, Err: err}
	}
	return Step{Verdict: Unavailable, Err: err}
}
