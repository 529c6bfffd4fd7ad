// Package config defines the two lists that operators edit, the validation of edits, and the order in
// which one version of the lists replaces another. It also decides which instances watch the store and
// how objects are replicated to the others.
package config

import (
	"time"

	"github.com/pkg/errors"
)

// Priority orders plans under load.
type Priority string

const (
	// PriorityHigh is for requests of a person who waits at a service counter.
	PriorityHigh Priority = "high"
	// PriorityNormal is for interactive use.
	PriorityNormal Priority = "normal"
	// PriorityBatch is refused first under load.
	PriorityBatch Priority = "batch"
)

// Prefer selects between tail latency and coverage for answers that are incomplete at the deadline.
type Prefer string

const (
	// PreferTail bounds tail latency: it answers at the deadline with the results received so far.
	PreferTail Prefer = "tail"
	// PreferCoverage tries other replicas until the deadline before it returns a partial answer.
	PreferCoverage Prefer = "coverage"
)

// Revision is the sequence number of the configuration in which an entry changed last.
type Revision uint64

// Plan is one customer's entry in the list of plans.
type Plan struct {
	Name     string   `json:"name"`
	Priority Priority `json:"priority"`
	Prefer   Prefer   `json:"prefer"`
	// Suspended causes all requests of the plan to be refused.
	Suspended bool `json:"suspended,omitempty"`
}

// Limit bounds the use of the system by one plan.
type Limit struct {
	Plan string `json:"plan"`
	// Indexes lists the indexes that the plan may search.
	Indexes []string `json:"indexes"`
	// RatePerSecond is the number of requests a second over all instances.
	RatePerSecond float64 `json:"rate_per_second"`
	// Concurrency is the number of requests in flight over all instances.
	Concurrency int `json:"concurrency"`
	// DeadlineMillis is the maximum time until the answer, in milliseconds.
	DeadlineMillis int `json:"deadline_ms"`
	// LeastCoverage is the share of shards, from 0 to 1, below which an answer is an error.
	LeastCoverage float64 `json:"least_coverage"`
	// MayExecute allows requests that must not be retried.
	MayExecute bool `json:"may_execute"`
}

// Deadline returns DeadlineMillis as a duration.
func (l Limit) Deadline() time.Duration { return time.Duration(l.DeadlineMillis) * time.Millisecond }

// Entry is an element of one of the lists with the revision at which it was written.
type Entry[T any] struct {
	Value    T        `json:"value"`
	Revision Revision `json:"revision"`
	// Edit is the id of the edit that wrote the entry.
	Edit string `json:"edit"`
}

// Lists is the complete configuration. It is stored as one object, so that Sequence orders all edits.
type Lists struct {
	Sequence Revision                `json:"sequence"`
	Plans    map[string]Entry[Plan]  `json:"plans"`
	Limits   map[string]Entry[Limit] `json:"limits"`
	// Edits contains the ids of the latest edits, the newest last, so that an operator can determine
	// after a lost answer whether the edit was accepted.
	Edits []string `json:"edits,omitempty"`
}

// Bounds of the values in an entry.
const (
	maxNameBytes      = 64
	maxRatePerSecond  = 1_000_000
	maxConcurrency    = 1_000_000
	maxDeadlineMillis = 20_000
)

// ErrInvalid is the cause of all errors that the Check methods return.
var ErrInvalid = errors.New("invalid entry")

// Check returns an error that names the first field with an impossible value.
func (p Plan) Check() error {
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "name: must have 1 to %d bytes", maxNameBytes)
	case p.Priority != PriorityHigh && p.Priority != PriorityNormal && p.Priority != PriorityBatch:
		return errors.Wrap(ErrInvalid, "priority: must be high, normal or batch")
	case p.Prefer != PreferTail && p.Prefer != PreferCoverage:
		return errors.Wrap(ErrInvalid, "prefer: must be tail or coverage")
	}
	return nil
}

// Check returns an error that names the first field with an impossible value.
func (l Limit) Check() error {
	switch {
	case l.Plan == "" || len(l.Plan) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "plan: must have 1 to %d bytes", maxNameBytes)
	case len(l.Indexes) == 0:
		return errors.Wrap(ErrInvalid, "indexes: must name at least one index")
	case !(l.RatePerSecond > 0 && l.RatePerSecond <= maxRatePerSecond):
		return errors.Wrapf(ErrInvalid, "rate_per_second: must be above 0 and at most %d", maxRatePerSecond)
	case l.Concurrency < 1 || l.Concurrency > maxConcurrency:
		return errors.Wrapf(ErrInvalid, "concurrency: must be from 1 to %d", maxConcurrency)
	case l.DeadlineMillis < 1 || l.DeadlineMillis > maxDeadlineMillis:
		return errors.Wrapf(ErrInvalid, "deadline_ms: must be from 1 to %d", maxDeadlineMillis)
	case !(l.LeastCoverage >= 0 && l.LeastCoverage <= 1):
		return errors.Wrap(ErrInvalid, "least_coverage: must be from 0 to 1")
	}
	return nil
}
