package snapshot

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// leastMedians is the time left, in medians of the index's latency, that a restart needs: one median
// for a usual run and one for its slower half.
const leastMedians = 2

// Restart decides whether a query whose snapshot was dropped runs again as a whole at another
// version. It allows one restart. It is not safe for concurrent use.
type Restart struct {
	version  query.Version
	deadline time.Time
	done     bool
}

// NewRestart returns the decision for a query that is asked at the version.
func NewRestart(v query.Version, deadline time.Time) *Restart {
	return &Restart{version: v, deadline: deadline}
}

// OnReply is to be called after the Chooser has observed the reply of an attempt at the shard. It
// returns the map to restart at if no live replica of the shard holds the version any more. median
// is the median latency of complete answers of the index.
func (r *Restart) OnReply(now time.Time, c *Chooser, s query.Shard, o query.Outcome, median time.Duration) (query.Map, bool) {
	if o != query.OutcomeSnapshotGone || !c.Lost(s, r.version) {
		return query.Map{}, false
	}
	return r.take(now, c, median)
}

// OnMissing is to be called with the coverage of an answer, or of a part of it. It returns the map
// to restart at if a shard is missing because its snapshot is gone.
func (r *Restart) OnMissing(now time.Time, c *Chooser, got query.Coverage, median time.Duration) (query.Map, bool) {
	gone := slices.ContainsFunc(got.Missing, func(m query.MissingShard) bool { return m.Cause == query.CauseSnapshotGone })
	if !gone {
		return query.Map{}, false
	}
	return r.take(now, c, median)
}

func (r *Restart) take(now time.Time, c *Chooser, median time.Duration) (query.Map, bool) {
	if r.done || r.deadline.Sub(now) <= leastMedians*median {
		return query.Map{}, false
	}
	m, ok := c.Other(r.version)
	if !ok {
		return query.Map{}, false
	}
	r.done = true
	r.version = m.Version
	return m, true
}
