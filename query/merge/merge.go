// Package merge merges the partial results of one query into one answer with its coverage.
package merge

import (
	"cmp"
	"slices"

	"hyssopcroft.example/query"
)

// Verdict is the result of offering a part to a Merger or to Records.
type Verdict uint8

const (
	// Accepted means that the part was added to the answer.
	Accepted Verdict = iota
	// WrongRequest means that the part belongs to another request.
	WrongRequest
	// WrongSnapshot means that the part belongs to another snapshot.
	WrongSnapshot
	// UnknownShard means that the shard is not in the partition map of the snapshot, such as one half
	// of a shard that a later snapshot splits.
	UnknownShard
	// Duplicate means that the shard is covered already, occurs twice in one partial answer, or has a
	// signature that the answer contains already.
	Duplicate
	// NotRequested means that a partial answer contains a shard that was not requested from its sender.
	NotRequested
	// Unaccounted means that a partial answer lists a requested shard neither as included nor as missing,
	// or has hits without an included shard.
	Unaccounted
)

var verdictNames = [...]string{
	"accepted", "wrong_request", "wrong_snapshot", "unknown_shard", "duplicate", "not_asked", "unaccounted",
}

// String returns the name used in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Merger merges the parts of one query at one snapshot. It stores at most as many hits as the answer may have.
// It is not safe for concurrent use.
type Merger struct {
	request   query.RequestID
	snapshot  query.Version
	covered   map[query.Shard]bool // for each shard of the partition map
	remaining int                  // number of shards that are not covered
	causes    map[query.Shard]query.Cause
	hits      topHits
}

// New returns a Merger for the shards of one partition map. The answer has at most limit hits.
func New(request query.RequestID, snapshot query.Version, shards []query.Shard, limit int) *Merger {
	m := &Merger{
		request:  request,
		snapshot: snapshot,
		covered:  make(map[query.Shard]bool, len(shards)),
		hits:     topHits{limit: limit},
	}
	for _, s := range shards {
		m.covered[s] = false
	}
	m.remaining = len(m.covered)
	return m
}

// Offer adds the hits of a part if the part belongs to the query and its shard is not covered yet.
func (m *Merger) Offer(r query.Reply) Verdict {
	switch {
	case r.Request != m.request:
		return WrongRequest
	case r.Snapshot != m.snapshot:
		return WrongSnapshot
	}
	if v := m.checkShard(r.Shard); v != Accepted {
		return v
	}
	m.cover(r.Shard)
	m.hits.add(r.Hits)
	return Accepted
}

func (m *Merger) checkShard(s query.Shard) Verdict {
	covered, ok := m.covered[s]
	switch {
	case !ok:
		return UnknownShard
	case covered:
		return Duplicate
	}
	return Accepted
}

func (m *Merger) cover(s query.Shard) {
	m.covered[s] = true
	m.remaining--
}

// Complete reports whether every shard is covered.
func (m *Merger) Complete() bool { return m.remaining == 0 }

// Pending reports whether the shard is in the partition map and not covered yet.
func (m *Merger) Pending(s query.Shard) bool {
	covered, known := m.covered[s]
	return known && !covered
}

// Finish returns the answer. cause returns the cause for each shard that is neither covered nor listed as
// missing in a partial answer.
func (m *Merger) Finish(index string, cause func(query.Shard) query.Cause) query.Answer {
	included := make([]query.Shard, 0, len(m.covered)-m.remaining)
	missing := make([]query.MissingShard, 0, m.remaining)
	for s, covered := range m.covered {
		if covered {
			included = append(included, s)
			continue
		}
		c, ok := m.causes[s]
		if !ok {
			c = cause(s)
		}
		missing = append(missing, query.MissingShard{Shard: s, Cause: c})
	}
	slices.Sort(included)
	slices.SortFunc(missing, func(a, b query.MissingShard) int { return cmp.Compare(a.Shard, b.Shard) })
	return query.Answer{
		Request:  m.request,
		Index:    index,
		Snapshot: m.snapshot,
		Hits:     m.hits.sorted(),
		Coverage: query.Coverage{Included: included, Missing: missing},
	}
}
