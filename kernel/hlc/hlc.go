// Package hlc implements hybrid logical clocks: timestamps that stay close to physical time and order
// each cause before its effect, across processes whose clocks differ.
//
// Source: Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
// Distributed Databases", 2014.
package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is a point in hybrid logical time. The zero value precedes all others.
type Timestamp struct {
	// Wall is physical time in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders events with the same Wall.
	Logical uint32 `json:"logical"`
}

// Compare returns -1 if t is before u, 0 if they are equal and 1 if t is after u.
func (t Timestamp) Compare(u Timestamp) int {
	switch {
	case t.Wall < u.Wall, t.Wall == u.Wall && t.Logical < u.Logical:
		return -1
	case t == u:
		return 0
	}
	return 1
}

// String formats t as its physical time of day in UTC and its logical counter.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s+%d", time.Unix(0, t.Wall).UTC().Format("15:04:05.000000"), t.Logical)
}

// Clock issues timestamps. It is safe for concurrent use.
type Clock struct {
	physical func() time.Time

	mu   sync.Mutex // guards last
	last Timestamp
}

// New returns a clock that reads physical time from the given function.
func New(physical func() time.Time) *Clock {
	return &Clock{physical: physical}
}

// Now returns a timestamp that is after all timestamps the clock has issued, observed or merged.
func (c *Clock) Now() Timestamp {
	return c.advance(Timestamp{})
}

// Observe advances the clock past a timestamp received from another process and returns the timestamp
// of the receipt.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	return c.advance(remote)
}

// Last returns the latest timestamp that the clock has issued or merged. It does not advance the clock.
func (c *Clock) Last() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Merge sets the clock to a timestamp received from another process if that is later. The next
// timestamp that the clock issues is after it.
func (c *Clock) Merge(remote Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
}

func (c *Clock) advance(remote Timestamp) Timestamp {
	wall := c.physical().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}
