package scatter

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// crashGuard holds a query back after a target crashed on it: nothing more is sent until another target
// that runs it already has answered. Otherwise a request that crashes every target would take down the
// replicas of a shard one after the other.
type crashGuard struct {
	answered bool // some target answered the query, so it is no suspect
	limit    int  // number of crashed targets that ends the query
	crashed  []query.TargetID
	inFlight int // attempts of all shards
}

// defaultCrashLimit is the usual number of crashed targets that ends a query. One crash may have another cause.
const defaultCrashLimit = 2

func newCrashGuard(cleared bool, limit int) crashGuard {
	if limit == 0 {
		limit = defaultCrashLimit
	}
	return crashGuard{answered: cleared, limit: limit}
}

func (g *crashGuard) recordAnswer() { g.answered = true }

func (g *crashGuard) recordCrash(target query.TargetID) {
	if !slices.Contains(g.crashed, target) {
		g.crashed = append(g.crashed, target)
	}
}

// blocksSends reports whether no attempt may be sent.
func (g *crashGuard) blocksSends() bool { return len(g.crashed) > 0 && !g.answered }

// endsQuery reports whether the query ends without the open shards.
func (g *crashGuard) endsQuery() bool {
	return g.blocksSends() && (len(g.crashed) >= g.limit || g.inFlight == 0)
}

// giveUp cancels what is in flight and leaves the open shards out for the given cause.
func (m *Machine) giveUp(now time.Time, cause query.Cause) {
	for i := range m.shards {
		if m.shards[i].open {
			m.shards[i].cause = cause
		}
	}
	m.cancelAll(now)
}
