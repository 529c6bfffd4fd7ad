package scatter

import "hyssopcroft.example/query"

// SlowestShard describes the shard that a query waited for until the end.
type SlowestShard struct {
	Shard query.Shard
	// Target is the target of the shard's first attempt, "" if none was sent.
	Target query.TargetID
	// Attempts is the number of attempts for the shard, Hedges the number of those sent while another one was
	// in flight.
	Attempts, Hedges int
	// Cause is the cause of the latest failure, "" if there was none.
	Cause query.Cause
}

// SlowestShard returns the first shard that was still open at the end or, if none was, the one that was
// covered or given up last. It must be called after Finish.
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
