// Package drain controls the phases of a graceful shutdown.
package drain

import "time"

// Phase is a phase of a shutdown. The constants are in the order of the phases.
type Phase uint8

const (
	// Serving accepts new requests and is ready.
	Serving Phase = iota
	// Leaving accepts new requests, but is reported as not ready, so that the load balancer stops sending
	// them.
	Leaving
	// Refusing accepts no new requests and finishes those in flight.
	Refusing
	// Stopping has no requests in flight, or no time left for them.
	Stopping
)

var phaseNames = [...]string{"serving", "leaving", "refusing", "stopping"}

// String returns the name used in events and logs.
func (p Phase) String() string { return phaseNames[p] }

// Config contains the times of a shutdown.
type Config struct {
	// BalancerLag is the time that the load balancer takes to detect that an instance is not ready.
	BalancerLag time.Duration
	// Deadline is the maximum duration of a shutdown, from Begin until the process ends.
	Deadline time.Duration
	// StopReserve is the part of Deadline that is reserved for stopping the services. Requests in
	// flight are aborted at Deadline less StopReserve.
	StopReserve time.Duration
}

// Controller counts the requests in flight and advances through the phases. It is not safe for
// concurrent use.
type Controller struct {
	cfg      Config
	phase    Phase
	beganAt  time.Time
	inFlight int
	aborted  int
}

// New returns a controller in phase Serving.
func New(cfg Config) *Controller { return &Controller{cfg: cfg} }

// Phase returns the current phase.
func (c *Controller) Phase() Phase { return c.phase }

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int { return c.inFlight }

// Aborted returns the number of requests that were in flight when phase Stopping began.
func (c *Controller) Aborted() int { return c.aborted }

// Begin starts the shutdown. Further calls have no effect.
func (c *Controller) Begin(now time.Time) {
	if c.phase != Serving {
		return
	}
	c.phase = Leaving
	c.beganAt = now
	c.advance(now)
}

// OnStart handles the arrival of a request and reports whether it may run. OnEnd must not be called for
// a request that may not run.
func (c *Controller) OnStart(now time.Time) bool {
	c.advance(now)
	if c.phase >= Refusing {
		return false
	}
	c.inFlight++
	return true
}

// OnEnd handles the end of a request that OnStart has admitted.
func (c *Controller) OnEnd(now time.Time) {
	c.inFlight--
	c.advance(now)
}

// OnWake must be called at the time that NextWake returned.
func (c *Controller) OnWake(now time.Time) { c.advance(now) }

// NextWake returns when OnWake is due, or the zero time if no phase change depends on time.
func (c *Controller) NextWake() time.Time {
	switch c.phase {
	case Leaving:
		return earlier(c.refuseAt(), c.abortAt())
	case Refusing:
		return c.abortAt()
	}
	return time.Time{}
}

func (c *Controller) refuseAt() time.Time { return c.beganAt.Add(c.cfg.BalancerLag) }

func (c *Controller) abortAt() time.Time { return c.beganAt.Add(c.cfg.Deadline - c.cfg.StopReserve) }

func (c *Controller) advance(now time.Time) {
	if c.phase == Leaving && !now.Before(earlier(c.refuseAt(), c.abortAt())) {
		c.phase = Refusing
	}
	if c.phase != Refusing {
		return
	}
	expired := !now.Before(c.abortAt())
	if c.inFlight == 0 || expired {
		c.phase = Stopping
		c.aborted = c.inFlight
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
