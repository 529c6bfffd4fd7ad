package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

// AttemptSpec describes an attempt that a Machine would like to send.
type AttemptSpec struct {
	Plan     string
	Priority query.Priority
	// Overload is explained at query.Request.
	Overload bool
	Shard    query.Shard
	Use      replica.Use
	// BudgetExempt is set if the attempt adds no load, because the one that it replaces certainly did not run.
	BudgetExempt bool
	// OriginClass is the class of the shard's first attempt. A hedge or a retry is paid from its budget, or
	// else from that of the class that bears the load.
	OriginClass replica.Class
	// TimeLeft is the time until the query's deadline.
	TimeLeft time.Duration
	// Tried lists the targets that are not to be chosen. It is valid during the call only.
	Tried []query.TargetID
	// Unfit, if set, reports whether a target is not to be used. A first attempt goes to such a target
	// if there is no other, because what is known of it may be out of date.
	Unfit func(query.TargetID) bool
}

// Grant is the permission to send an attempt to a target.
type Grant struct {
	Target query.TargetID
	Class  replica.Class
	// HedgeAfter is the time after which a hedge is due: 0 if that is not known yet, never if none is.
	HedgeAfter time.Duration
	// ReturnTime is the time that an answer takes on its way back.
	ReturnTime time.Duration
}

// noHedge as HedgeAfter means that the attempt is not hedged.
const noHedge time.Duration = -1

// Policy chooses targets, grants attempts and learns from what becomes of them. Every granted
// attempt is reported to End once.
type Policy interface {
	Choose(now time.Time, spec AttemptSpec) (Grant, replica.Verdict)
	// Overdue tells that an attempt sent at the given time is still in flight after its hedge delay.
	Overdue(target query.TargetID, sent time.Time)
	End(now time.Time, e replica.End)
}

// singleAttempt is the policy of a Machine that has only a Chooser: one attempt per shard.
type singleAttempt struct{ chooser Chooser }

func (s singleAttempt) Choose(_ time.Time, spec AttemptSpec) (Grant, replica.Verdict) {
	if spec.Use != replica.First {
		return Grant{}, replica.Final
	}
	target, ok := s.chooser.Choose(spec.Shard)
	if !ok {
		return Grant{}, replica.Final
	}
	return Grant{Target: target, HedgeAfter: noHedge}, replica.Chosen
}

func (singleAttempt) Overdue(query.TargetID, time.Time) {}

func (singleAttempt) End(time.Time, replica.End) {}
