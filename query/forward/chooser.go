// Package forward decides which relay runs a request whose targets accept too few connections for this instance, and
// what happens when a relay does not answer. It does no I/O.
package forward

import (
	"time"
)

// Distance ranks relays by the way to them.
type Distance uint8

const (
	// SameDomain is the instance's own failure domain.
	SameDomain Distance = iota
	// SameRegion is another failure domain of the instance's region.
	SameRegion
	// OtherRegion is any other failure domain.
	OtherRegion
)

// RoundTrip returns the round trip time assumed for a distance.
func (d Distance) RoundTrip() time.Duration {
	return [...]time.Duration{SameDomain: time.Millisecond, SameRegion: 9 * time.Millisecond, OtherRegion: 25 * time.Millisecond}[d]
}

// Relay is an instance that runs forwarded requests.
type Relay struct {
	ID       string
	Address  string
	Distance Distance
	// Doubtful is set if the members suspect that the relay has failed.
	Doubtful bool
}

const (
	// minAvoid and maxAvoid bound the time for which a relay that did not take a request gets no other one. The
	// members notice the loss of an instance within 5 s.
	minAvoid = 2 * time.Second
	maxAvoid = 4 * time.Second
)

// Chooser selects the relays of requests. It is not safe for concurrent use.
//
// It is designed for a relay that loses power, freezes or is cut off: its requests are lost until the members notice,
// which takes seconds, while a request has a tenth of one.
type Chooser struct {
	relays []Relay
	avoid  map[string]avoidance
}

type avoidance struct {
	until time.Time
	span  time.Duration
}

// NewChooser returns a chooser without relays.
func NewChooser() *Chooser { return &Chooser{avoid: map[string]avoidance{}} }

// SetRelays replaces the relays.
func (c *Chooser) SetRelays(list []Relay) {
	c.relays = list
	known := make(map[string]bool, len(list))
	for _, r := range list {
		known[r.ID] = true
	}
	for id := range c.avoid {
		if !known[id] {
			delete(c.avoid, id)
		}
	}
}

// Len returns the number of relays.
func (c *Chooser) Len() int { return len(c.relays) }

// Choose returns a relay that has not been tried, or false if there is none. It prefers the instance's own region, and
// relays that took their last request. random is a number from 0 to 1 that decides among equal ones, so that requests
// spread evenly.
func (c *Chooser) Choose(now time.Time, tried map[string]bool, random float64) (Relay, bool) {
	const ranks = 4
	var byRank [ranks][]Relay
	for _, r := range c.relays {
		if tried[r.ID] {
			continue
		}
		rank := 0
		if r.Distance == OtherRegion {
			rank++
		}
		if r.Doubtful || now.Before(c.avoid[r.ID].until) {
			rank += 2
		}
		byRank[rank] = append(byRank[rank], r)
	}
	for _, list := range byRank {
		if len(list) > 0 {
			return list[min(int(random*float64(len(list))), len(list)-1)], true
		}
	}
	return Relay{}, false
}

// OnTaken records that a relay took a request.
func (c *Chooser) OnTaken(id string) { delete(c.avoid, id) }

// OnSilent records that a relay did not take a request.
func (c *Chooser) OnSilent(now time.Time, id string) {
	span := min(max(2*c.avoid[id].span, minAvoid), maxAvoid)
	c.avoid[id] = avoidance{until: now.Add(span), span: span}
}
