// Package snapshot chooses the snapshot version of an index at which a query runs, and decides whether a query
// restarts when targets have dropped that version.
package snapshot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// minReporters is the number of live replicas of a shard that must have reported a version before the
// version is chosen. With one, the loss of a single target would make the shard unavailable.
const minReporters = 2

// reportTTL is the time for which a target's report is evidence that the target lacks a version newer than
// all that it holds. Without an expiry, a target that loads the version late would never be queried at it and
// could not report it.
const reportTTL = 500 * time.Millisecond

// Chooser chooses among the published partition maps of one index by the versions that its targets have
// reported. It is not safe for concurrent use.
type Chooser struct {
	maps     []query.Map // ascending by version
	replicas map[query.Shard][]query.TargetID
	reports  map[query.TargetID]report
	lost     map[query.Version]struct{} // versions that were chosen and then lost by a shard
	chosen   query.Version
	stale    bool // whether the choice must be made again
}

// report is the latest report of a target.
type report struct {
	versions []query.Version // ascending
	at       time.Time
}

// Publish replaces the published partition maps.
func (c *Chooser) Publish(maps []query.Map) {
	c.maps = slices.Clone(maps)
	slices.SortFunc(c.maps, func(a, b query.Map) int { return cmp.Compare(a.Version, b.Version) })
	for v := range c.lost {
		if _, published := c.find(v); !published {
			delete(c.lost, v)
		}
	}
	c.stale = true
}

// SetTargets replaces the live targets. It deletes the reports of targets that are no longer listed or are
// leaving.
func (c *Chooser) SetTargets(targets []query.Target) {
	c.replicas = make(map[query.Shard][]query.TargetID, len(targets))
	reports := make(map[query.TargetID]report, len(targets))
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		for _, s := range t.Shards {
			c.replicas[s] = append(c.replicas[s], t.ID)
		}
		if r, reported := c.reports[t.ID]; reported {
			reports[t.ID] = r
		}
	}
	c.reports = reports
	c.stale = true
}

// Observe records the versions that a target reported, in ascending order. An empty list means that the
// target holds none.
func (c *Chooser) Observe(now time.Time, target query.TargetID, versions []query.Version) {
	previous, reported := c.reports[target]
	if c.reports == nil {
		c.reports = map[query.TargetID]report{}
	}
	if reported && slices.Equal(previous.versions, versions) {
		c.reports[target] = report{versions: previous.versions, at: now}
		return
	}
	c.reports[target] = report{versions: slices.Clone(versions), at: now}
	c.stale = true
}

// MayHold reports whether the target has reported the version, has reported nothing yet, or may have
// loaded the version since its report.
func (c *Chooser) MayHold(now time.Time, target query.TargetID, v query.Version) bool {
	r, reported := c.reports[target]
	if !reported || slices.Contains(r.versions, v) {
		return true
	}
	newer := len(r.versions) == 0 || v > r.versions[len(r.versions)-1]
	return newer && now.Sub(r.at) > reportTTL
}

// Lost reports whether no live replica of the shard may hold the version, according to their reports. It
// returns false for a shard without live replicas.
func (c *Chooser) Lost(now time.Time, s query.Shard, v query.Version) bool {
	replicas := c.replicas[s]
	for _, t := range replicas {
		if c.MayHold(now, t, v) {
			return false
		}
	}
	return len(replicas) > 0
}

// Choose returns the map of the version at which a new query runs. It returns false if no map is published.
// The choice moves to a newer version once that is ready; it moves to an older one only if a shard has lost
// the chosen one.
func (c *Chooser) Choose(now time.Time) (query.Map, bool) {
	if len(c.maps) == 0 {
		return query.Map{}, false
	}
	if c.stale {
		c.chosen, c.stale = c.decide(now)
	}
	return c.find(c.chosen)
}

// NewestReported returns the newest map, other than that of the version gone, whose version has been reported
// by a replica of every shard with live replicas. Versions reported by minReporters replicas are preferred.
func (c *Chooser) NewestReported(gone query.Version) (query.Map, bool) {
	if m, ok := c.newest(func(m query.Map) bool { return m.Version != gone && c.reported(m, minReporters) }); ok {
		return m, true
	}
	return c.newest(func(m query.Map) bool { return m.Version != gone && c.reported(m, 1) })
}

// Fallback returns the map that replaces the version gone: a reported one or, if there is none, one that no
// shard has lost. Of these it prefers the oldest that is newer than gone, which is the most likely to be
// loaded everywhere.
func (c *Chooser) Fallback(now time.Time, gone query.Version) (query.Map, bool) {
	if m, ok := c.NewestReported(gone); ok {
		return m, true
	}
	for _, m := range c.maps {
		if m.Version > gone && !c.lostBySome(now, m) {
			return m, true
		}
	}
	return c.newest(func(m query.Map) bool { return m.Version < gone && !c.lostBySome(now, m) })
}

// decide returns the choice, and whether it must be made again even without a new report.
func (c *Chooser) decide(now time.Time) (query.Version, bool) {
	if m, ok := c.newest(func(m query.Map) bool { return m.Version > c.chosen && c.ready(m) }); ok {
		return m.Version, false
	}
	current, published := c.find(c.chosen)
	if published && !c.lostBySome(now, current) {
		return c.chosen, false
	}
	if published {
		c.markLost(c.chosen)
	}
	if m, ok := c.Fallback(now, c.chosen); ok {
		return m.Version, false
	}
	if published {
		return c.chosen, true
	}
	return c.maps[len(c.maps)-1].Version, true
}

func (c *Chooser) markLost(v query.Version) {
	if c.lost == nil {
		c.lost = map[query.Version]struct{}{}
	}
	c.lost[v] = struct{}{}
}

// ready reports whether a version may be chosen. A version that was lost before must be held by every live
// replica, or the choice could oscillate.
func (c *Chooser) ready(m query.Map) bool {
	if _, wasLost := c.lost[m.Version]; wasLost {
		return c.reported(m, math.MaxInt)
	}
	return c.reported(m, minReporters)
}

// reported reports whether each shard with live replicas has at least minReplicas replicas that reported the
// version, or all of them if there are fewer. A map without any live replica is not reported.
func (c *Chooser) reported(m query.Map, minReplicas int) bool {
	hasReplicas := false
	for _, s := range m.Shards {
		replicas := c.replicas[s]
		if len(replicas) == 0 {
			continue
		}
		hasReplicas = true
		if c.countReporters(replicas, m.Version) < min(minReplicas, len(replicas)) {
			return false
		}
	}
	return hasReplicas
}

// countReporters returns the number of replicas that reported the version.
func (c *Chooser) countReporters(replicas []query.TargetID, v query.Version) int {
	n := 0
	for _, t := range replicas {
		if slices.Contains(c.reports[t].versions, v) {
			n++
		}
	}
	return n
}

func (c *Chooser) lostBySome(now time.Time, m query.Map) bool {
	return slices.ContainsFunc(m.Shards, func(s query.Shard) bool { return c.Lost(now, s, m.Version) })
}

// newest returns the newest published map that matches.
func (c *Chooser) newest(match func(query.Map) bool) (query.Map, bool) {
	for _, m := range slices.Backward(c.maps) {
		if match(m) {
			return m, true
		}
	}
	return query.Map{}, false
}

func (c *Chooser) find(v query.Version) (query.Map, bool) {
	i, ok := slices.BinarySearchFunc(c.maps, v, func(m query.Map, v query.Version) int { return cmp.Compare(m.Version, v) })
	if !ok {
		return query.Map{}, false
	}
	return c.maps[i], true
}
