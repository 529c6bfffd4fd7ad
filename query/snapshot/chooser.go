// Package snapshot chooses the snapshot of an index that a query is asked at.
package snapshot

import (
	"slices"

	"hyssopcroft.example/query"
)

// Chooser knows the partition maps that were published for one index. It is not safe for
// concurrent use.
type Chooser struct {
	maps []query.Map // ascending by version
}

// Publish replaces the known partition maps.
func (c *Chooser) Publish(maps []query.Map) {
	c.maps = slices.Clone(maps)
	slices.SortFunc(c.maps, func(a, b query.Map) int { return int(int64(a.Version) - int64(b.Version)) })
}

// Choose returns the newest map. It returns false if none is known.
func (c *Chooser) Choose() (query.Map, bool) {
	if len(c.maps) == 0 {
		return query.Map{}, false
	}
	return c.maps[len(c.maps)-1], true
}
