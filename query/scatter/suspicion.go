package scatter

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// suspicion holds a query back after a target crashed on it: nothing more is sent until another target
// that runs it already has answered. Otherwise a request that crashes every target would take down the
// replicas of a shard one after the other.
type suspicion struct {
	answered bool // some target answered the query, so it is no suspect
	limit    int  // number of crashed targets that ends the query
	crashed  []query.TargetID
	inFlight int // attempts of all shards
}

// crashLimit is the usual number of crashed targets that ends a query. One crash may have another cause.
const crashLimit = 2

func newSuspicion(cleared bool, limit int) suspicion {
	if limit == 0 {
		limit = crashLimit
	}
	return suspicion{answered: cleared, limit: limit}
}

func (s *suspicion) answer() { s.answered = true }

func (s *suspicion) crash(target query.TargetID) {
	if !slices.Contains(s.crashed, target) {
		s.crashed = append(s.crashed, target)
	}
}

// holds reports whether no attempt may be sent.
func (s *suspicion) holds() bool { return len(s.crashed) > 0 && !s.answered }

// ends reports whether the query ends without the open shards.
func (s *suspicion) ends() bool { return s.holds() && (len(s.crashed) >= s.limit || s.inFlight == 0) }

// giveUp cancels what is in flight and leaves the open shards out for the given cause.
func (m *Machine) giveUp(now time.Time, cause query.Cause) {
	for i := range m.shards {
		if m.shards[i].open {
			m.shards[i].cause = cause
		}
	}
	m.cancelAll(now)
}
