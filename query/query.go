// Package query defines the types that all parts of the query path share. The packages below it make the
// decisions; they do no I/O and take the time as an argument.
package query

import (
	"fmt"
	"slices"
	"time"
)

// RequestID identifies a caller's request. It consists of 64 random bits, which makes a collision between
// requests in flight in the fleet improbable.
type RequestID uint64

// String formats the id as 16 hexadecimal digits.
func (r RequestID) String() string { return fmt.Sprintf("%016x", uint64(r)) }

// AttemptID identifies one sub-request of one instance.
type AttemptID uint64

// Shard identifies a shard of an index. Ids are never reused after a split or a merge.
type Shard uint32

// Version identifies a snapshot of an index. Later snapshots have larger versions.
type Version uint64

// TargetID identifies a target.
type TargetID string

// Target is a back end. Where it serves shards of an index it is a searcher.
type Target struct {
	ID            TargetID `json:"id"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	Index         string   `json:"index"`
	Shards        []Shard  `json:"shards"`
	// Connections is the maximum number of connections that the target accepts.
	Connections int `json:"connections"`
	// Leaving is set once the platform has marked the target as leaving, which happens with a delay.
	Leaving bool `json:"leaving,omitempty"`
}

// Map is the partition map of one snapshot.
type Map struct {
	Version Version `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Priority orders requests under load. The lowest priority is refused first.
type Priority uint8

const (
	// PriorityBatch is for requests that no user waits for.
	PriorityBatch Priority = iota
	// PriorityNormal is for interactive use.
	PriorityNormal
	// PriorityHigh is for a person who waits at a service counter.
	PriorityHigh
)

var priorityNames = [...]string{"batch", "normal", "high"}

// String returns the name used in the list of plans and between instances.
func (p Priority) String() string { return priorityNames[p] }

// ParsePriority returns the priority of the given name, and PriorityNormal for any other name.
func ParsePriority(name string) Priority {
	if i := slices.Index(priorityNames[:], name); i >= 0 {
		return Priority(i)
	}
	return PriorityNormal
}

// Request is a search over all shards of one index.
type Request struct {
	ID    RequestID
	Plan  string
	Index string
	Query string
	// Limit is the maximum number of hits in the answer.
	Limit    int
	Deadline time.Time
	Priority Priority
	// PreferCoverage is set for plans that try other replicas until the deadline before they return an
	// incomplete answer. Other plans return it as soon as no attempt is in flight or due.
	PreferCoverage bool
	// Overloaded is set if this instance has refused requests to the index within the last second. The targets'
	// capacity then goes to requests of high priority first.
	Overloaded bool
	// Cleared is set once a target has answered the request, which shows that it does not crash every target.
	Cleared bool
}

// Hit is one result of a search.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text,omitempty"`
}

// Outcome is the known result of a sub-request.
type Outcome uint8

const (
	// OutcomeUnknown means that the target may have run the request.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the target ran the request and its answer arrived.
	OutcomeAnswered
	// OutcomeNotRun means that the request certainly did not reach the target.
	OutcomeNotRun
	// OutcomeShed means that the target refused the request before running it.
	OutcomeShed
	// OutcomeDraining means that the target is leaving and did not run the request.
	OutcomeDraining
	// OutcomeSnapshotGone means that the target does not have the snapshot.
	OutcomeSnapshotGone
	// OutcomeWrongShard means that the target does not serve the shard and did not run the request.
	OutcomeWrongShard
	// OutcomeAborted means that the target stopped running the request at its deadline or on cancellation.
	OutcomeAborted
	// OutcomeCrashed means that the target ended all its streams while the request ran on it.
	OutcomeCrashed
	// OutcomeRefused means that the target closed a new connection without an answer, as a target does at its
	// connection limit. The request may have run.
	OutcomeRefused
	// OutcomeFailed means that the target ran the request and answered that it failed.
	OutcomeFailed
)

var outcomeNames = [...]string{
	"unknown", "answered", "not_run", "shed", "draining", "snapshot_gone", "wrong_shard", "aborted", "crashed", "refused", "failed",
}

// String returns the name used in counters and logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// CertainlyNotRun reports whether the target ran no part of the request.
func (o Outcome) CertainlyNotRun() bool {
	switch o {
	case OutcomeNotRun, OutcomeShed, OutcomeDraining, OutcomeSnapshotGone, OutcomeWrongShard:
		return true
	}
	return false
}

// Cause is the reason why a shard is missing from an answer.
type Cause string

const (
	CauseTimeout      Cause = "timeout"
	CauseNoReplica    Cause = "no_replica"
	CauseShed         Cause = "shed"
	CauseSnapshotGone Cause = "snapshot_gone"
	CauseCrashed      Cause = "crashed"
	CauseQuarantined  Cause = "quarantined"
	CauseUnreachable  Cause = "unreachable"
)

// MissingShard is a shard that is missing from an answer.
type MissingShard struct {
	Shard Shard `json:"shard"`
	Cause Cause `json:"cause"`
}

// Coverage lists the shards of the snapshot's partition map that an answer includes and those that are
// missing. Each shard of the map is in exactly one of the two lists, both in ascending order.
type Coverage struct {
	Included []Shard        `json:"included"`
	Missing  []MissingShard `json:"missing"`
}

// Complete reports whether no shard is missing.
func (c Coverage) Complete() bool { return len(c.Missing) == 0 }

// TimedOut reports whether a shard is missing because of the deadline.
func (c Coverage) TimedOut() bool {
	return slices.ContainsFunc(c.Missing, func(m MissingShard) bool { return m.Cause == CauseTimeout })
}

// Answer is the merged result of a search. All hits come from the same snapshot.
type Answer struct {
	Request  RequestID
	Index    string
	Snapshot Version
	// Hits are sorted by descending score, then by ascending id.
	Hits     []Hit
	Coverage Coverage
}

// Reply is the result of an attempt, as the adapter received it.
type Reply struct {
	// Attempt, Request, Shard and Snapshot are echoed by the target. They may differ from those that were
	// sent.
	Attempt  AttemptID
	Request  RequestID
	Shard    Shard
	Snapshot Version
	Outcome  Outcome
	Hits     []Hit
	// HeldVersions lists the snapshots that the target has, in ascending order.
	HeldVersions []Version
	// Cold is set while the target's caches are not warm.
	Cold bool
	// Part is the answer of a target whose answers the instance does not interpret, nil for other targets.
	Part *Part
	// Leaving is set if the target said in this reply that it is leaving.
	Leaving bool
	// TurnedAwayFor is the time for which the target wants no requests from this instance, 0 if it stated none.
	TurnedAwayFor time.Duration
	// RateLimit is the limit that the target stated in this reply.
	RateLimit RateLimit
	// ConnectionClosed is set if the target closed the connection after it got the request and before its answer was complete.
	ConnectionClosed bool
}

// RateLimit is the rate of requests that a target accepts from all instances together.
type RateLimit struct {
	Stated    bool
	PerSecond float64 // valid only if Stated is set
}

// Part is an answer that is passed on or merged without being interpreted.
type Part struct {
	Status int
	// Signature proves that the answer comes from the target, "" if there is none.
	Signature string
	Body      []byte
	// Type is the media type of the body, "" if the target named none.
	Type string
}
