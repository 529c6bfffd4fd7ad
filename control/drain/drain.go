// Package drain decides the phases of a graceful shutdown.
package drain

import "time"

// Phase is a phase of a shutdown. Phases follow each other in this order.
type Phase uint8

const (
	// Serving takes new work and is ready.
	Serving Phase = iota
	// Leaving takes new work, but is announced as not ready, so that the balancer sends none.
	Leaving
	// Refusing takes no new work and finishes the work in flight.
	Refusing
	// Stopping has no work in flight, or no time left for it.
	Stopping
)

var phaseNames = [...]string{"serving", "leaving", "refusing", "stopping"}

// String returns the name used in events and logs.
func (p Phase) String() string { return phaseNames[p] }

// Config holds the times of a shutdown.
type Config struct {
	// BalancerLag is the time that the balancer takes to notice that an instance is not ready.
	BalancerLag time.Duration
	// Deadline is the longest time of a shutdown, from Begin until the process ends.
	Deadline time.Duration
	// StopReserve is the part of Deadline that is kept for stopping the services. Work in flight
	// is cut only at Deadline less StopReserve.
	StopReserve time.Duration
}

// Controller counts the work in flight and moves through the phases. It is not safe for concurrent use.
type Controller struct {
	cfg      Config
	phase    Phase
	begun    time.Time
	inFlight int
	cut      int
}

// New returns a controller that serves.
func New(cfg Config) *Controller { return &Controller{cfg: cfg} }

// Phase returns the present phase.
func (c *Controller) Phase() Phase { return c.phase }

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int { return c.inFlight }

// Aborted returns the number of requests that were in flight when the time for them ended.
func (c *Controller) Aborted() int { return c.cut }

// Begin starts the shutdown. Further calls have no effect.
func (c *Controller) Begin(now time.Time) {
	if c.phase != Serving {
		return
	}
	c.phase = Leaving
	c.begun = now
	c.advance(now)
}

// OnStart takes the arrival of a request and reports whether it may run. One that may not run has
// no OnEnd.
func (c *Controller) OnStart(now time.Time) bool {
	c.advance(now)
	if c.phase >= Refusing {
		return false
	}
	c.inFlight++
	return true
}

// OnEnd takes the end of a request that OnStart let run.
func (c *Controller) OnEnd(now time.Time) {
	c.inFlight--
	c.advance(now)
}

// OnWake takes the passing of the time that NextWake returned.
func (c *Controller) OnWake(now time.Time) { c.advance(now) }

// NextWake returns when OnWake is due, the zero time if nothing waits for a time.
func (c *Controller) NextWake() time.Time {
	switch c.phase {
	case Leaving:
		return earlier(c.refuseAt(), c.cutAt())
	case Refusing:
		return c.cutAt()
	}
	return time.Time{}
}

func (c *Controller) refuseAt() time.Time { return c.begun.Add(c.cfg.BalancerLag) }

func (c *Controller) cutAt() time.Time { return c.begun.Add(c.cfg.Deadline - c.cfg.StopReserve) }

func (c *Controller) advance(now time.Time) {
	if c.phase == Leaving && !now.Before(earlier(c.refuseAt(), c.cutAt())) {
		c.phase = Refusing
	}
	if c.phase != Refusing {
		return
	}
	late := !now.Before(c.cutAt())
	if c.inFlight == 0 || late {
		c.phase = Stopping
		c.cut = c.inFlight
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
