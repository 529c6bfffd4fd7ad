package scatter

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
)

// Want describes an attempt that a Machine would like to send.
type Want struct {
	Plan     string
	Priority query.Priority
	// Overload is explained at query.Request.
	Overload bool
	Shard    query.Shard
	Use      replica.AttemptKind
	// Free is set if the attempt adds no load, because the one that it replaces certainly did not run.
	Free bool
	// From is the class of the shard's first attempt. A hedge or a retry is paid from its budget, or
	// else from that of the class that bears the load.
	From replica.Class
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
	// Return is the time that an answer takes on its way back.
	Return time.Duration
}

// never as HedgeAfter means that the attempt is not hedged.
const never time.Duration = -1

// Policy chooses targets, grants attempts and learns from what becomes of them. Every granted
// attempt is reported to End once.
type Policy interface {
	Choose(now time.Time, w Want) (Grant, replica.Verdict)
	// Overdue tells that an attempt sent at the given time is still in flight after its hedge delay.
	Overdue(target query.TargetID, sent time.Time)
	End(now time.Time, e replica.Result)
}

// single is the policy of a Machine that has only a Chooser: one attempt per shard.
type single struct{ chooser Chooser }

func (s single) Choose(_ time.Time, w Want) (Grant, replica.Verdict) {
	if w.Use != replica.First {
		return Grant{}, replica.Final
	}
	target, ok := s.chooser.Choose(w.Shard)
	if !ok {
		return Grant{}, replica.Final
	}
	return Grant{Target: target, HedgeAfter: never}, replica.Chosen
}

func (single) Overdue(query.TargetID, time.Time) {}

func (single) End(time.Time, replica.Result) {}
