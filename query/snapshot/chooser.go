// Package snapshot chooses the snapshot of an index that a query is asked at, and decides whether a
// query restarts when targets have dropped that snapshot.
package snapshot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hyssopcroft.example/query"
)

// leastReporters is the number of live replicas of a shard that must have reported a version before
// it is chosen. With one, the loss of a single target would leave the shard out.
const leastReporters = 2

// reportLife is the time for which a target's report says that it lacks a version newer than all that
// it holds. Without an end to it, a target that loads late would be left out, and never heard of again.
const reportLife = 500 * time.Millisecond

// Chooser knows the partition maps that were published for one index and which versions its targets
// have reported. It is not safe for concurrent use.
type Chooser struct {
	maps     []query.Map // ascending by version
	replicas map[query.Shard][]query.TargetID
	reports  map[query.TargetID]report
	lost     map[query.Version]struct{} // versions that were chosen and then dropped by a shard
	chosen   query.Version
	stale    bool // set if the choice has to be made again
}

// report is what a target said last.
type report struct {
	held []query.Version // ascending
	at   time.Time
}

// Publish replaces the known partition maps.
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

// SetTargets replaces the live targets. Reports of targets that are no longer listed are forgotten.
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

// Observe takes the versions that a target reported, in ascending order. An empty list says that the
// target holds none.
func (c *Chooser) Observe(now time.Time, target query.TargetID, held []query.Version) {
	known, reported := c.reports[target]
	if c.reports == nil {
		c.reports = map[query.TargetID]report{}
	}
	if reported && slices.Equal(known.held, held) {
		c.reports[target] = report{held: known.held, at: now}
		return
	}
	c.reports[target] = report{held: slices.Clone(held), at: now}
	c.stale = true
}

// MayHold reports whether the target has reported the version, has reported nothing yet, or may have
// loaded the version since its report.
func (c *Chooser) MayHold(now time.Time, target query.TargetID, v query.Version) bool {
	r, reported := c.reports[target]
	if !reported || slices.Contains(r.held, v) {
		return true
	}
	newer := len(r.held) == 0 || v > r.held[len(r.held)-1]
	return newer && now.Sub(r.at) > reportLife
}

// Lost reports whether every live replica of the shard has reported that it does not hold the
// version. It returns false for a shard without live replicas.
func (c *Chooser) Lost(now time.Time, s query.Shard, v query.Version) bool {
	replicas := c.replicas[s]
	for _, t := range replicas {
		if c.MayHold(now, t, v) {
			return false
		}
	}
	return len(replicas) > 0
}

// Choose returns the map of the version that a new query is asked at. It returns false if no map is
// known. The choice moves to a newer version that is ready; it moves to an older one only if a shard
// has lost the chosen one.
func (c *Chooser) Choose(now time.Time) (query.Map, bool) {
	if len(c.maps) == 0 {
		return query.Map{}, false
	}
	if c.stale {
		c.chosen, c.stale = c.decide(now)
	}
	return c.find(c.chosen)
}

// NewestReported returns the newest map, apart from that of the version gone, that every shard with a live
// replica is reported to hold. Ready versions are preferred.
func (c *Chooser) NewestReported(gone query.Version) (query.Map, bool) {
	if m, ok := c.newest(func(m query.Map) bool { return m.Version != gone && c.reported(m, leastReporters) }); ok {
		return m, true
	}
	return c.newest(func(m query.Map) bool { return m.Version != gone && c.reported(m, 1) })
}

// Fallback returns the map to turn to from the version gone: a reported one or, if there is none, one
// that no shard is known to lack. Of these the oldest that is newer than gone is the likeliest to be
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

// decide returns the choice, and whether it has to be made again although nothing new is reported.
func (c *Chooser) decide(now time.Time) (query.Version, bool) {
	if m, ok := c.newest(func(m query.Map) bool { return m.Version > c.chosen && c.ready(m) }); ok {
		return m.Version, false
	}
	present, published := c.find(c.chosen)
	if published && !c.lostBySome(now, present) {
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

// ready reports whether a version may become the choice. A version that was lost once must be held
// by every live replica, or the choice could go back and forth.
func (c *Chooser) ready(m query.Map) bool {
	if _, wasLost := c.lost[m.Version]; wasLost {
		return c.reported(m, math.MaxInt)
	}
	return c.reported(m, leastReporters)
}

// reported reports whether each shard with live replicas has at least want that reported the
// version, or all of them if there are fewer. A map without any live replica is not reported.
func (c *Chooser) reported(m query.Map, want int) bool {
	served := false
	for _, s := range m.Shards {
		replicas := c.replicas[s]
		if len(replicas) == 0 {
			continue
		}
		served = true
		if c.reporters(replicas, m.Version) < min(want, len(replicas)) {
			return false
		}
	}
	return served
}

func (c *Chooser) reporters(replicas []query.TargetID, v query.Version) int {
	n := 0
	for _, t := range replicas {
		if slices.Contains(c.reports[t].held, v) {
			n++
		}
	}
	return n
}

func (c *Chooser) lostBySome(now time.Time, m query.Map) bool {
	return slices.ContainsFunc(m.Shards, func(s query.Shard) bool { return c.Lost(now, s, m.Version) })
}

func (c *Chooser) newest(suits func(query.Map) bool) (query.Map, bool) {
	for _, m := range slices.Backward(c.maps) {
		if suits(m) {
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
