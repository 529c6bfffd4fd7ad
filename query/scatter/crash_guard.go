package scatter

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// crashGuard blocks further attempts of a query after a target crashed on it, until another target that
// already runs the query has answered. Otherwise a request that crashes every target would crash the
// replicas of a shard one after the other.
type crashGuard struct {
	answered  bool // a target answered the query, so the query is not the cause of a crash
	limit     int  // number of crashed targets after which the query ends
	crashed   []query.TargetID
	inFlight  int // attempts of all shards
	canaries  int // maximum of inFlight before a target has answered, 0 for no limit
	maxHedges int // before a target has answered, 0 for no limit
	hedges    int // sent so far, of all shards
}

// defaultCrashLimit is the default of Config.CrashLimit. It is above 1 because a single crash may have another
// cause.
const defaultCrashLimit = 2

func newCrashGuard(cfg Config) crashGuard {
	limit := cfg.CrashLimit
	if limit == 0 {
		limit = defaultCrashLimit
	}
	g := crashGuard{answered: cfg.Request.Cleared, limit: limit, maxHedges: cfg.MaxUnansweredHedges}
	if cfg.Canary {
		g.canaries = 1
	}
	return g
}

func (g *crashGuard) recordAnswer() { g.answered = true }

func (g *crashGuard) recordCrash(target query.TargetID) {
	if !slices.Contains(g.crashed, target) {
		g.crashed = append(g.crashed, target)
	}
}

// blocksHedges reports whether a hedge has to wait until a target has answered the query, or its shard straggles. All
// targets that run a query which crashes them are silent until they crash, and hedges would spread it to the other
// replicas of all shards.
func (g *crashGuard) blocksHedges() bool {
	return !g.answered && g.maxHedges > 0 && g.hedges >= g.maxHedges
}

// blocksSends reports whether further attempts are blocked.
func (g *crashGuard) blocksSends() bool {
	return (len(g.crashed) > 0 || g.awaitsCanary()) && !g.answered
}

// awaitsCanary reports whether the canaries of the query are in flight.
func (g *crashGuard) awaitsCanary() bool { return g.canaries > 0 && g.inFlight >= g.canaries }

// allowSecondCanary allows another canary besides one whose target may be silent for another reason than the query. It does
// nothing for a query without canaries.
func (g *crashGuard) allowSecondCanary() { g.canaries = min(2*g.canaries, 2) }

// isCanaryLost reports whether the outcome of an attempt may mean that it is a canary that has crashed its target.
func (g *crashGuard) isCanaryLost(o query.Outcome) bool {
	return g.canaries > 0 && !g.answered && (o == query.OutcomeUnknown || o == query.OutcomeRefused)
}

// endsQuery reports whether the query must end without the open shards.
func (g *crashGuard) endsQuery() bool {
	return len(g.crashed) > 0 && !g.answered && (len(g.crashed) >= g.limit || g.inFlight == 0)
}

// giveUp cancels all attempts in flight and records the cause for the open shards, which the answer will lack.
func (m *Machine) giveUp(now time.Time, cause query.Cause) {
	for i := range m.shards {
		if m.shards[i].open {
			m.shards[i].cause = cause
		}
	}
	m.cancelAll(now)
}
