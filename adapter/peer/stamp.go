package peer

import (
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/kernel/hlc"
)

// NewStamp returns a new timestamp of the clock for a message.
func NewStamp(c *hlc.Clock) *memberpb.Stamp {
	at := c.Now()
	return &memberpb.Stamp{Wall: uint64(at.Wall), Logical: at.Logical}
}

// ObserveStamp advances the clock past the stamp of a received message. A nil stamp is ignored.
func ObserveStamp(c *hlc.Clock, at *memberpb.Stamp) {
	if at != nil {
		c.Observe(hlc.Timestamp{Wall: int64(at.Wall), Logical: at.Logical})
	}
}
