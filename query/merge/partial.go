package merge

import "hyssopcroft.example/query"

// OfferPartial adds a partial answer for the asked shards, whole or not at all: its hits are not
// kept by shard, so those of a refused shard could not be told apart. The shards that it lacks stay
// pending with their cause.
func (m *Merger) OfferPartial(p query.Answer, asked []query.Shard) Verdict {
	if v := m.checkPartial(p, asked); v != Accepted {
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

func (m *Merger) checkPartial(p query.Answer, asked []query.Shard) Verdict {
	switch {
	case p.Request != m.request:
		return WrongRequest
	case p.Snapshot != m.snapshot:
		return WrongSnapshot
	case len(p.Coverage.Included) == 0 && len(p.Hits) > 0:
		return Unaccounted
	}
	open := make(map[query.Shard]bool, len(asked)) // false once the shard came back
	for _, s := range asked {
		open[s] = true
	}
	for _, s := range p.Coverage.Included {
		if v := m.checkReturned(s, open); v != Accepted {
			return v
		}
	}
	for _, s := range p.Coverage.Missing {
		if v := m.checkReturned(s.Shard, open); v != Accepted {
			return v
		}
	}
	for _, o := range open {
		if o {
			return Unaccounted
		}
	}
	return Accepted
}

func (m *Merger) checkReturned(s query.Shard, open map[query.Shard]bool) Verdict {
	if v := m.checkShard(s); v != Accepted {
		return v
	}
	o, wasAsked := open[s]
	switch {
	case !wasAsked:
		return NotAsked
	case !o:
		return Duplicate
	}
	open[s] = false
	return Accepted
}
