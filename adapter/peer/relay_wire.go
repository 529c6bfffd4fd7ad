package peer

import (
	"time"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/snapshot"
)

func groupRequestToWire(s GroupRequest) *relaypb.GroupRequest {
	return &relaypb.GroupRequest{
		RequestId: uint64(s.Request), AttemptId: uint64(s.Attempt), Index: s.Index, Snapshot: uint64(s.Snapshot),
		Shards: convertSlice[uint32](s.Shards), Query: s.Query, Limit: uint32(s.Limit),
		TimeLeftUs: uint32(max(0, s.TimeLeft.Microseconds())), Plan: s.Plan, Priority: s.Priority,
		Canary: s.Canary, Cleared: s.Cleared,
	}
}

// GroupRequestFromWire converts a group request.
func GroupRequestFromWire(r *relaypb.GroupRequest) GroupRequest {
	return GroupRequest{
		Request: query.RequestID(r.RequestId), Attempt: query.AttemptID(r.AttemptId), Index: r.Index,
		Snapshot: query.Version(r.Snapshot), Shards: convertSlice[query.Shard](r.Shards), Query: r.Query, Limit: int(r.Limit),
		TimeLeft: time.Duration(r.TimeLeftUs) * time.Microsecond, Plan: r.Plan, Priority: r.Priority,
		Canary: r.Canary, Cleared: r.Cleared,
	}
}

// GroupResponseToWire converts a group response.
func GroupResponseToWire(p GroupResponse) *relaypb.GroupResponse {
	a := p.Answer
	resp := &relaypb.GroupResponse{
		RequestId: uint64(a.Request), AttemptId: uint64(p.Attempt), Snapshot: uint64(a.Snapshot),
		Outcome: outcomeToWire(p.Outcome), Included: convertSlice[uint32](a.Coverage.Included),
		VersionsKnown: p.Versions.Valid, Held: convertSlice[uint64](p.Versions.Held), Ready: convertSlice[uint64](p.Versions.Ready),
		TookUs: uint32(p.Took.Microseconds()),
	}
	for _, m := range a.Coverage.Missing {
		resp.Missing = append(resp.Missing, &relaypb.MissingShard{Shard: uint32(m.Shard), Cause: string(m.Cause)})
	}
	for _, h := range a.Hits {
		resp.Hits = append(resp.Hits, &relaypb.Hit{Id: h.ID, Score: h.Score, Text: h.Text})
	}
	return resp
}

// GroupResponseFromWire converts a group response for an index.
func GroupResponseFromWire(index string, r *relaypb.GroupResponse) GroupResponse {
	a := query.Answer{Request: query.RequestID(r.RequestId), Index: index, Snapshot: query.Version(r.Snapshot)}
	a.Coverage.Included = convertSlice[query.Shard](r.Included)
	for _, m := range r.Missing {
		a.Coverage.Missing = append(a.Coverage.Missing, query.MissingShard{Shard: query.Shard(m.Shard), Cause: query.Cause(m.Cause)})
	}
	for _, h := range r.Hits {
		a.Hits = append(a.Hits, query.Hit{ID: h.Id, Score: h.Score, Text: h.Text})
	}
	return GroupResponse{
		Reply: group.Reply{Attempt: query.AttemptID(r.AttemptId), Outcome: outcomeFromWire(r.Outcome), Answer: a},
		Versions: snapshot.Report{
			Valid: r.VersionsKnown, Held: convertSlice[query.Version](r.Held), Ready: convertSlice[query.Version](r.Ready),
		},
		Took: time.Duration(r.TookUs) * time.Microsecond,
	}
}

func outcomeToWire(o query.Outcome) relaypb.Outcome {
	switch o {
	case query.OutcomeAnswered:
		return relaypb.Outcome_OUTCOME_ANSWERED
	case query.OutcomeShed:
		return relaypb.Outcome_OUTCOME_SHED
	case query.OutcomeDraining:
		return relaypb.Outcome_OUTCOME_DRAINING
	case query.OutcomeWrongShard:
		return relaypb.Outcome_OUTCOME_NOT_HELD
	}
	return relaypb.Outcome_OUTCOME_UNSPECIFIED
}

func outcomeFromWire(o relaypb.Outcome) query.Outcome {
	switch o {
	case relaypb.Outcome_OUTCOME_ANSWERED:
		return query.OutcomeAnswered
	case relaypb.Outcome_OUTCOME_SHED:
		return query.OutcomeShed
	case relaypb.Outcome_OUTCOME_DRAINING:
		return query.OutcomeDraining
	case relaypb.Outcome_OUTCOME_NOT_HELD:
		return query.OutcomeWrongShard
	}
	return query.OutcomeUnknown
}

type unsigned interface{ ~uint32 | ~uint64 }

// convertSlice converts a list between the types of wire messages and of package query.
func convertSlice[To, From unsigned](list []From) []To {
	if len(list) == 0 {
		return nil
	}
	out := make([]To, len(list))
	for i, n := range list {
		out[i] = To(n)
	}
	return out
}
