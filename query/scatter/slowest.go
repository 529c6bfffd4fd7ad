package scatter

import "hyssopcroft.example/query"

// SlowestShard describes the shard that a query waited for longest.
type SlowestShard struct {
	Shard query.Shard
	// Target is that of the shard's first attempt, "" if none was sent.
	Target query.TargetID
	// Attempts is the number of attempts at the shard, Hedges that of those sent besides another one.
	Attempts, Hedges int
	// Cause says why the latest attempt that failed did, "" if none did.
	Cause query.Cause
}

// SlowestShard returns the first shard that was still open at the end or, if none was, the one that was
// covered or given up last. It is to be called after Finish.
func (m *Machine) SlowestShard() SlowestShard {
	slowest := m.latest
	for i := range m.shards {
		if m.shards[i].open {
			slowest = int32(i)
			break
		}
	}
	if slowest < 0 {
		return SlowestShard{}
	}
	sh := &m.shards[slowest]
	s := SlowestShard{Shard: m.cfg.Map.Shards[slowest], Hedges: int(sh.hedges), Cause: sh.cause}
	for i := sh.latest; i >= 0; i = m.attempts[i].previous {
		s.Attempts++
		s.Target = m.attempts[i].target
	}
	return s
}
