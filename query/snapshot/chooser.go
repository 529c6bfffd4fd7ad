// Package snapshot chooses the snapshot of an index that a query is asked at, and decides whether a
// query restarts when targets have dropped that snapshot.
package snapshot

import (
	"cmp"
	"math"
	"slices"

	"hyssopcroft.example/query"
)

// leastReporters is the number of live replicas of a shard that must have reported a version before
// it is chosen. With one, the loss of a single target would leave the shard out.
const leastReporters = 2

// Chooser knows the partition maps that were published for one index and which versions its targets
// have reported. It is not safe for concurrent use.
type Chooser struct {
	maps     []query.Map // ascending by version
	replicas map[query.Shard][]query.TargetID
	held     map[query.TargetID][]query.Version // as last reported; absent if never
	lost     map[query.Version]struct{}         // versions that were chosen and then dropped by a shard
	chosen   query.Version
	stale    bool // set if the choice has to be made again
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
	held := make(map[query.TargetID][]query.Version, len(targets))
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		for _, s := range t.Shards {
			c.replicas[s] = append(c.replicas[s], t.ID)
		}
		if versions, reported := c.held[t.ID]; reported {
			held[t.ID] = versions
		}
	}
	c.held = held
	c.stale = true
}

// Observe takes the versions that a target reported, in any order. An empty list says that the
// target holds none.
func (c *Chooser) Observe(target query.TargetID, held []query.Version) {
	known, reported := c.held[target]
	if reported && slices.Equal(known, held) {
		return
	}
	if c.held == nil {
		c.held = map[query.TargetID][]query.Version{}
	}
	c.held[target] = slices.Clone(held)
	c.stale = true
}

// MayHold reports whether the target has reported the version or has reported nothing yet.
func (c *Chooser) MayHold(target query.TargetID, v query.Version) bool {
	held, reported := c.held[target]
	return !reported || slices.Contains(held, v)
}

// Lost reports whether every live replica of the shard has reported that it does not hold the
// version. It returns false for a shard without live replicas.
func (c *Chooser) Lost(s query.Shard, v query.Version) bool {
	replicas := c.replicas[s]
	for _, t := range replicas {
		if c.MayHold(t, v) {
			return false
		}
	}
	return len(replicas) > 0
}

// Choose returns the map of the version that a new query is asked at. It returns false if no map is
// known. The choice moves to a newer version that is ready; it moves to an older one only if a shard
// has lost the chosen one.
func (c *Chooser) Choose() (query.Map, bool) {
	if len(c.maps) == 0 {
		return query.Map{}, false
	}
	if c.stale {
		c.stale = false
		c.chosen = c.decide()
	}
	return c.find(c.chosen)
}

// Other returns the newest map, apart from that of the version gone, that every shard with a live
// replica still holds. Ready versions are preferred.
func (c *Chooser) Other(gone query.Version) (query.Map, bool) {
	if m, ok := c.newest(func(m query.Map) bool { return m.Version != gone && c.reported(m, leastReporters) }); ok {
		return m, true
	}
	return c.newest(func(m query.Map) bool { return m.Version != gone && c.reported(m, 1) })
}

func (c *Chooser) decide() query.Version {
	if m, ok := c.newest(func(m query.Map) bool { return m.Version > c.chosen && c.ready(m) }); ok {
		return m.Version
	}
	present, published := c.find(c.chosen)
	if published && !c.lostBySome(present) {
		return c.chosen
	}
	if published {
		c.markLost(c.chosen)
	}
	if m, ok := c.Other(c.chosen); ok {
		return m.Version
	}
	if published {
		return c.chosen
	}
	return c.unreported()
}

// unreported chooses while no version is known to be held: the oldest one that is newer than the
// last choice, because the newest may still be loading at the targets.
func (c *Chooser) unreported() query.Version {
	for _, m := range c.maps {
		if m.Version > c.chosen && !c.lostBySome(m) {
			return m.Version
		}
	}
	return c.maps[len(c.maps)-1].Version
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
		if slices.Contains(c.held[t], v) {
			n++
		}
	}
	return n
}

func (c *Chooser) lostBySome(m query.Map) bool {
	return slices.ContainsFunc(m.Shards, func(s query.Shard) bool { return c.Lost(s, m.Version) })
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
