package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// maxEditIDs is the number of edit ids in Lists.Edits. At 440 edits a day they cover more than half a
// day, far longer than an operator resends an edit whose answer was lost.
const maxEditIDs = 256

// ErrNoEntry is returned if the entry to change does not exist.
var ErrNoEntry = errors.New("entry does not exist")

// ConflictError is returned if an entry changed after it was read.
type ConflictError struct {
	Name             string
	Expected, Actual Revision
}

// Error returns a message with both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("entry %q has revision %d, expected %d", e.Name, e.Actual, e.Expected)
}

// Edit describes one change of one entry.
type Edit struct {
	// ID identifies the edit and stays the same when it is resent.
	ID string
	// Expected is the revision at which the entry was read, 0 if it must not exist.
	Expected Revision
}

// PutPlan returns the lists with a plan added or replaced. If the edit is in the lists already, they
// are returned unchanged, so that an edit whose answer was lost can be resent. It fails with
// ErrInvalid, ErrNoEntry or a *ConflictError.
func (l Lists) PutPlan(p Plan, e Edit) (Lists, error) {
	if err := p.Check(); err != nil {
		return l, err
	}
	return put(l, e, p.Name, p, plansOf)
}

// PutLimit returns the lists with a limit added or replaced. Its plan must exist. It fails as PutPlan
// does.
func (l Lists) PutLimit(limit Limit, e Edit) (Lists, error) {
	if err := limit.Check(); err != nil {
		return l, err
	}
	if _, ok := l.Plans[limit.Plan]; !ok {
		return l, errors.Wrapf(ErrInvalid, "plan: no plan is named %q", limit.Plan)
	}
	return put(l, e, limit.Plan, limit, limitsOf)
}

// DeletePlan returns the lists without a plan and its limit. It fails as PutPlan does.
func (l Lists) DeletePlan(name string, e Edit) (Lists, error) {
	next, err := remove(l, e, name, plansOf)
	if err == nil && next.Sequence != l.Sequence {
		delete(next.Limits, name)
	}
	return next, err
}

// DeleteLimit returns the lists without a limit. It fails as PutPlan does.
func (l Lists) DeleteLimit(plan string, e Edit) (Lists, error) {
	return remove(l, e, plan, limitsOf)
}

// HasEdit reports whether an edit is among the latest accepted ones.
func (l Lists) HasEdit(editID string) bool { return slices.Contains(l.Edits, editID) }

// EditRevision returns the sequence number of an edit among the latest ones. Each edit increments the
// sequence number and appends its id to Edits.
func (l Lists) EditRevision(editID string) (Revision, bool) {
	i := slices.Index(l.Edits, editID)
	if i < 0 {
		return 0, false
	}
	return l.Sequence - Revision(len(l.Edits)-1-i), true
}

func plansOf(l *Lists) *map[string]Entry[Plan]   { return &l.Plans }
func limitsOf(l *Lists) *map[string]Entry[Limit] { return &l.Limits }

func put[T any](l Lists, e Edit, name string, value T, list func(*Lists) *map[string]Entry[T]) (Lists, error) {
	if l.HasEdit(e.ID) {
		return l, nil
	}
	current := (*list(&l))[name]
	if current.Revision != e.Expected {
		return l, &ConflictError{Name: name, Expected: e.Expected, Actual: current.Revision}
	}
	next := l.successor(e)
	(*list(&next))[name] = Entry[T]{Value: value, Revision: next.Sequence, Edit: e.ID}
	return next, nil
}

func remove[T any](l Lists, e Edit, name string, list func(*Lists) *map[string]Entry[T]) (Lists, error) {
	if l.HasEdit(e.ID) {
		return l, nil
	}
	current, ok := (*list(&l))[name]
	if !ok {
		return l, errors.Wrapf(ErrNoEntry, "%q", name)
	}
	if current.Revision != e.Expected {
		return l, &ConflictError{Name: name, Expected: e.Expected, Actual: current.Revision}
	}
	next := l.successor(e)
	delete(*list(&next), name)
	return next, nil
}

// successor returns a copy with the next sequence number and the id of the edit.
func (l Lists) successor(e Edit) Lists {
	next := Lists{
		Sequence: l.Sequence + 1,
		Plans:    maps.Clone(l.Plans),
		Limits:   maps.Clone(l.Limits),
		Edits:    append(slices.Clone(l.Edits), e.ID),
	}
	if next.Plans == nil {
		next.Plans = map[string]Entry[Plan]{}
	}
	if next.Limits == nil {
		next.Limits = map[string]Entry[Limit]{}
	}
	if extra := len(next.Edits) - maxEditIDs; extra > 0 {
		next.Edits = next.Edits[extra:]
	}
	return next
}
