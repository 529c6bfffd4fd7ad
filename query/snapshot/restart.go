package snapshot

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// minMedians is the minimum time left for a restart, in median latencies of the index: one for a typical run
// and one as a margin for runs above the median.
const minMedians = 2

// Restart decides whether a query whose version was dropped runs again as a whole at another version. It
// allows one restart. It is not safe for concurrent use.
type Restart struct {
	version  query.Version
	deadline time.Time
	used     bool
}

// NewRestart returns a Restart for a query that runs at the given version.
func NewRestart(v query.Version, deadline time.Time) *Restart {
	return &Restart{version: v, deadline: deadline}
}

// OnReply must be called after the Chooser has observed the reply to an attempt at the shard. It returns the map
// to restart at if no live replica of the shard holds the version any more. median is the median latency of
// complete answers of the index.
func (r *Restart) OnReply(now time.Time, c *Chooser, s query.Shard, o query.Outcome, median time.Duration) (query.Map, bool) {
	if o != query.OutcomeSnapshotGone || !c.Lost(now, s, r.version) {
		return query.Map{}, false
	}
	return r.restartEarly(now, c, median)
}

// OnPartial must be called after the Chooser has observed the report of a relay, with the coverage of the
// relay's partial answer. It returns the map to restart at if the group has lost the version.
func (r *Restart) OnPartial(now time.Time, c *Chooser, coverage query.Coverage, median time.Duration) (query.Map, bool) {
	if !lacksSnapshot(coverage) {
		return query.Map{}, false
	}
	return r.restartEarly(now, c, median)
}

// OnFinish must be called with the coverage of the answer before the answer is returned. It returns the map to
// restart at if a shard is missing because its targets have dropped the version.
func (r *Restart) OnFinish(now time.Time, c *Chooser, coverage query.Coverage, median time.Duration) (query.Map, bool) {
	if !lacksSnapshot(coverage) || !r.allowed(now, median) {
		return query.Map{}, false
	}
	return r.restartAt(c.Fallback(now, r.version))
}

// restartEarly restarts before all shards have answered, but only at a newer version that all shards are
// reported to hold: outstanding replies may report further versions, and there is no second restart.
func (r *Restart) restartEarly(now time.Time, c *Chooser, median time.Duration) (query.Map, bool) {
	if !r.allowed(now, median) {
		return query.Map{}, false
	}
	m, ok := c.NewestReported(r.version)
	return r.restartAt(m, ok && m.Version > r.version)
}

func lacksSnapshot(coverage query.Coverage) bool {
	return slices.ContainsFunc(coverage.Missing, func(m query.MissingShard) bool { return m.Cause == query.CauseSnapshotGone })
}

func (r *Restart) allowed(now time.Time, median time.Duration) bool {
	return !r.used && r.deadline.Sub(now) > minMedians*median
}

// restartAt uses up the restart for the map if ok is set.
func (r *Restart) restartAt(m query.Map, ok bool) (query.Map, bool) {
	if !ok {
		return query.Map{}, false
	}
	r.used = true
	r.version = m.Version
	return m, true
}
