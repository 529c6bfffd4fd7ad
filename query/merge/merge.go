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
	// UnknownShard means that the shard is not in the partition map of the snapshot.
	UnknownShard
	// Duplicate means that the shard is covered already.
	Duplicate
)

var verdictNames = [...]string{"accepted", "wrong_request", "wrong_snapshot", "unknown_shard", "duplicate"}

// String returns the name used in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Merger collects the parts of one query at one snapshot. It is not safe for concurrent use.
type Merger struct {
	request  query.RequestID
	snapshot query.Version
	limit    int
	pending  map[query.Shard]struct{}
	included []query.Shard
	hits     []query.Hit
}

// New returns a Merger for the shards of one partition map. The answer has at most limit hits.
func New(request query.RequestID, snapshot query.Version, shards []query.Shard, limit int) *Merger {
	m := &Merger{
		request:  request,
		snapshot: snapshot,
		limit:    limit,
		pending:  make(map[query.Shard]struct{}, len(shards)),
		included: make([]query.Shard, 0, len(shards)),
	}
	for _, s := range shards {
		m.pending[s] = struct{}{}
	}
	return m
}

// Offer adds the hits of a part if it belongs to the query and its shard is not covered yet.
func (m *Merger) Offer(r query.Reply) Verdict {
	if r.Request != m.request {
		return WrongRequest
	}
	if r.Snapshot != m.snapshot {
		return WrongSnapshot
	}
	if _, ok := m.pending[r.Shard]; !ok {
		if slices.Contains(m.included, r.Shard) {
			return Duplicate
		}
		return UnknownShard
	}
	delete(m.pending, r.Shard)
	m.included = append(m.included, r.Shard)
	m.hits = append(m.hits, r.Hits...)
	return Accepted
}

// Complete reports whether every shard is covered.
func (m *Merger) Complete() bool { return len(m.pending) == 0 }

// Pending reports whether the shard is in the map and not covered yet.
func (m *Merger) Pending(s query.Shard) bool {
	_, ok := m.pending[s]
	return ok
}

// Finish returns the answer. cause gives the reason for each shard that is not covered.
func (m *Merger) Finish(index string, cause func(query.Shard) query.Cause) query.Answer {
	missing := make([]query.MissingShard, 0, len(m.pending))
	for s := range m.pending {
		missing = append(missing, query.MissingShard{Shard: s, Cause: cause(s)})
	}
	slices.SortFunc(missing, func(a, b query.MissingShard) int { return cmp.Compare(a.Shard, b.Shard) })
	slices.Sort(m.included)
	slices.SortFunc(m.hits, compareHits)
	return query.Answer{
		Request:  m.request,
		Index:    index,
		Snapshot: m.snapshot,
		Hits:     m.hits[:min(len(m.hits), m.limit)],
		Coverage: query.Coverage{Included: m.included, Missing: missing},
	}
}

// compareHits orders hits by descending score, then by id so that the order is total.
func compareHits(a, b query.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}
