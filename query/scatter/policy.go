package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

// AttemptSpec describes an attempt that a Machine asks its Policy for.
type AttemptSpec struct {
	Plan     string
	Priority query.Priority
	// Overloaded is documented at query.Request.
	Overloaded bool
	Shard      query.Shard
	Kind       replica.AttemptKind
	// BudgetExempt is set if the attempt needs no token: the one that it replaces certainly did not run, so
	// that it adds no load.
	BudgetExempt bool
	// Extra is set if a target may have received another attempt of the shard, so that this one adds load.
	Extra bool
	// OriginClass is the class of the shard's first attempt. A hedge or a retry takes its token from the
	// budget of that class or, if there is none, from the budget of the class of the chosen target.
	OriginClass replica.Class
	// TimeLeft is the time until the query's deadline.
	TimeLeft time.Duration
	// Tried lists targets that must not be chosen. It is valid only during the call.
	Tried []query.TargetID
	// Unfit, if set, reports whether a target should not be chosen. A first attempt goes to such a target
	// if there is no other, because the information about the target may be out of date.
	Unfit func(query.TargetID) bool
}

// Grant is the permission to send an attempt to a target.
type Grant struct {
	Target query.TargetID
	Class  replica.Class
	// HedgeAfter is the time after which a hedge is due: 0 if it is not known yet, noHedge for no hedge.
	HedgeAfter time.Duration
	// ReturnTime is the time that an answer takes to return from the target.
	ReturnTime time.Duration
}

// noHedge is the HedgeAfter of an attempt that is not hedged.
const noHedge time.Duration = -1

// Policy chooses targets, grants attempts and records their results. Every granted attempt is reported to
// End exactly once.
type Policy interface {
	Choose(now time.Time, spec AttemptSpec) (Grant, replica.Verdict)
	// Overdue reports that an attempt sent at the given time is still in flight after its hedge delay.
	Overdue(target query.TargetID, sent time.Time)
	End(now time.Time, r replica.Result)
}

// singleAttempt is the policy of a Machine that has only a Chooser: one attempt per shard.
type singleAttempt struct{ chooser Chooser }

func (s singleAttempt) Choose(_ time.Time, spec AttemptSpec) (Grant, replica.Verdict) {
	if spec.Kind != replica.First {
		return Grant{}, replica.Final
	}
	target, ok := s.chooser.Choose(spec.Shard)
	if !ok {
		return Grant{}, replica.Final
	}
	return Grant{Target: target, HedgeAfter: noHedge}, replica.Chosen
}

func (singleAttempt) Overdue(query.TargetID, time.Time) {}

func (singleAttempt) End(time.Time, replica.Result) {}
