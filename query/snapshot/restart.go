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

// OnReply is to be called after the Chooser has observed the reply of an attempt at the shard. If no
// live replica of the shard holds the version any more, it returns the map to restart at. median is
// the median latency of complete answers of the index.
func (r *Restart) OnReply(now time.Time, c *Chooser, s query.Shard, o query.Outcome, median time.Duration) (query.Map, bool) {
	if o != query.OutcomeSnapshotGone || !c.Lost(now, s, r.version) {
		return query.Map{}, false
	}
	return r.early(now, c, median)
}

// OnPartial is to be called after the Chooser has observed the report of a relay, with the coverage of
// the relay's partial answer. It returns the map to restart at if the group has lost the version.
func (r *Restart) OnPartial(now time.Time, c *Chooser, got query.Coverage, median time.Duration) (query.Map, bool) {
	if !lacksSnapshot(got) {
		return query.Map{}, false
	}
	return r.early(now, c, median)
}

// OnFinish is to be called with the coverage of the answer before it is returned. It returns the map
// to restart at if a shard is missing because its snapshot is gone.
func (r *Restart) OnFinish(now time.Time, c *Chooser, got query.Coverage, median time.Duration) (query.Map, bool) {
	if !lacksSnapshot(got) || !r.allowed(now, median) {
		return query.Map{}, false
	}
	return r.take(c.Fallback(now, r.version))
}

// early restarts before all shards have answered, but only at a newer version that all are reported to
// hold: the replies to come tell what else is held, and there is no second restart.
func (r *Restart) early(now time.Time, c *Chooser, median time.Duration) (query.Map, bool) {
	if !r.allowed(now, median) {
		return query.Map{}, false
	}
	m, ok := c.NewestReported(r.version)
	return r.take(m, ok && m.Version > r.version)
}

func lacksSnapshot(got query.Coverage) bool {
	return slices.ContainsFunc(got.Missing, func(m query.MissingShard) bool { return m.Cause == query.CauseSnapshotGone })
}

func (r *Restart) allowed(now time.Time, median time.Duration) bool {
	return !r.done && r.deadline.Sub(now) > leastMedians*median
}

func (r *Restart) take(m query.Map, ok bool) (query.Map, bool) {
	if !ok {
		return query.Map{}, false
	}
	r.done = true
	r.version = m.Version
	return m, true
}
