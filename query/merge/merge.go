// Package merge joins the partial results of one query into one answer with its coverage.
package merge

import (
	"cmp"
	"slices"

	"hyssopcroft.example/query"
)

// Verdict says what became of a part that was offered to a Merger.
type Verdict uint8

const (
	// Accepted means that the part is in the answer.
	Accepted Verdict = iota
	// WrongRequest means that the part belongs to another request.
	WrongRequest
	// WrongSnapshot means that the part comes from another snapshot.
	WrongSnapshot
	// UnknownShard means that the shard is not in the partition map of the snapshot, such as one half
	// of a shard that a later snapshot splits.
	UnknownShard
	// Duplicate means that the shard is covered already, or comes twice in one partial answer.
	Duplicate
	// NotAsked means that a partial answer names a shard that was not asked of its sender.
	NotAsked
	// Unaccounted means that a partial answer names an asked shard neither as included nor as missing,
	// or has hits without an included shard.
	Unaccounted
)

var verdictNames = [...]string{
	"accepted", "wrong_request", "wrong_snapshot", "unknown_shard", "duplicate", "not_asked", "unaccounted",
}

// String returns the name used in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Merger collects the parts of one query at one snapshot. It keeps at most as many hits as the
// answer may have. It is not safe for concurrent use.
type Merger struct {
	request  query.RequestID
	snapshot query.Version
	covered  map[query.Shard]bool // has each shard of the map
	left     int                  // number of shards that are not covered
	causes   map[query.Shard]query.Cause
	hits     best
}

// New returns a Merger for the shards of one partition map. The answer has at most limit hits.
func New(request query.RequestID, snapshot query.Version, shards []query.Shard, limit int) *Merger {
	m := &Merger{
		request:  request,
		snapshot: snapshot,
		covered:  make(map[query.Shard]bool, len(shards)),
		hits:     best{limit: limit},
	}
	for _, s := range shards {
		m.covered[s] = false
	}
	m.left = len(m.covered)
	return m
}

// Offer adds the hits of a part if it belongs to the query and its shard is not covered yet.
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
	covered, known := m.covered[s]
	switch {
	case !known:
		return UnknownShard
	case covered:
		return Duplicate
	}
	return Accepted
}

func (m *Merger) cover(s query.Shard) {
	m.covered[s] = true
	m.left--
}

// Complete reports whether every shard is covered.
func (m *Merger) Complete() bool { return m.left == 0 }

// Pending reports whether the shard is in the map and not covered yet.
func (m *Merger) Pending(s query.Shard) bool {
	covered, known := m.covered[s]
	return known && !covered
}

// Finish returns the answer. cause gives the reason for each shard that is not covered and that no
// partial answer named as missing.
func (m *Merger) Finish(index string, cause func(query.Shard) query.Cause) query.Answer {
	included := make([]query.Shard, 0, len(m.covered)-m.left)
	missing := make([]query.MissingShard, 0, m.left)
	for s, covered := range m.covered {
		if covered {
			included = append(included, s)
			continue
		}
		c, known := m.causes[s]
		if !known {
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
