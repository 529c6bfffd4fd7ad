package merge

import "hyssopcroft.example/query"

// OfferPartial adds a partial answer for the requested shards, either completely or not at all: its hits are
// not attributed to shards, so that those of a refused shard could not be removed. Shards that it lists as
// missing stay pending, and their causes are recorded.
func (m *Merger) OfferPartial(p query.Answer, requested []query.Shard) Verdict {
	if v := m.checkPartial(p, requested); v != Accepted {
		return v
	}
	for _, s := range p.Coverage.Included {
		m.cover(s)
	}
	for _, s := range p.Coverage.Missing {
		if m.causes == nil {
			m.causes = map[query.Shard]query.Cause{}
		}
		m.causes[s.Shard] = s.Cause
	}
	m.hits.add(p.Hits)
	return Accepted
}

func (m *Merger) checkPartial(p query.Answer, requested []query.Shard) Verdict {
	switch {
	case p.Request != m.request:
		return WrongRequest
	case p.Snapshot != m.snapshot:
		return WrongSnapshot
	case len(p.Coverage.Included) == 0 && len(p.Hits) > 0:
		return Unaccounted
	}
	pending := make(map[query.Shard]bool, len(requested)) // false once the shard is in the answer
	for _, s := range requested {
		pending[s] = true
	}
	for _, s := range p.Coverage.Included {
		if v := m.checkReturned(s, pending); v != Accepted {
			return v
		}
	}
	for _, s := range p.Coverage.Missing {
		if v := m.checkReturned(s.Shard, pending); v != Accepted {
			return v
		}
	}
	for _, isPending := range pending {
		if isPending {
			return Unaccounted
		}
	}
	return Accepted
}

// checkReturned checks a shard of a partial answer and marks it as no longer pending.
func (m *Merger) checkReturned(s query.Shard, pending map[query.Shard]bool) Verdict {
	if v := m.checkShard(s); v != Accepted {
		return v
	}
	isPending, asked := pending[s]
	switch {
	case !asked:
		return NotRequested
	case !isPending:
		return Duplicate
	}
	pending[s] = false
	return Accepted
}
