package scatter

import (
	"time"

	"hyssopcroft.example/query"
)

// suspicion holds a query back after a target crashed on it: nothing more is sent until another target
// that runs it already has answered. Otherwise a request that crashes every target would take down the
// replicas of a shard one after the other.
type suspicion struct {
	answered bool // some target answered the query, so it is no suspect
	crashed  bool
	second   bool // a second target crashed
	target   query.TargetID
	inFlight int // attempts of all shards
}

func (s *suspicion) answer() { s.answered = true }

func (s *suspicion) crash(target query.TargetID) {
	s.second = s.second || s.crashed && target != s.target
	s.crashed, s.target = true, target
}

// holds reports whether no attempt may be sent.
func (s *suspicion) holds() bool { return s.crashed && !s.answered }

// ends reports whether the query ends without the open shards.
func (s *suspicion) ends() bool { return s.holds() && (s.second || s.inFlight == 0) }

// giveUp cancels what is in flight and leaves the open shards out as crashed.
func (m *Machine) giveUp(now time.Time) {
	for i := range m.shards {
		if m.shards[i].open {
			m.shards[i].cause = query.CauseCrashed
		}
	}
	m.cancelAll(now)
}
