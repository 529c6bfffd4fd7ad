package edge

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/control/drain"
	"hyssopcroft.example/kernel"
)

const (
	// inFlightReserve is the part of the shutdown time that remains for requests in flight once no new ones are
	// accepted. Until then, requests still arrive from the load balancer and over open connections of callers.
	inFlightReserve = 2 * time.Second
	// stopReserve is the part of the shutdown time that remains to stop the process.
	stopReserve = 300 * time.Millisecond
	// answerReserve is the time before that in which the last answers are written.
	answerReserve = 200 * time.Millisecond
)

// gate admits requests according to the shutdown phase.
type gate struct {
	log *slog.Logger

	mu         sync.Mutex // guards the fields below
	controller *drain.Controller
	lastPhase  drain.Phase
	timer      *time.Timer
	drained    chan struct{} // closed in phase Stopping
}

func newGate(shutdown time.Duration, log *slog.Logger) *gate {
	cfg := drain.Config{BalancerLag: shutdown - inFlightReserve, Deadline: shutdown, StopReserve: stopReserve}
	return &gate{log: log, controller: drain.New(cfg), drained: make(chan struct{})}
}

// begin starts the shutdown. The returned channel is closed once no request is in flight or the time for them has
// expired.
func (g *gate) begin() <-chan struct{} {
	g.apply(func(now time.Time) { g.controller.Begin(now) })
	return g.drained
}

func (g *gate) phase() drain.Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Phase()
}

// aborted returns the number of requests that were still in flight when their time expired.
func (g *gate) aborted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Aborted()
}

// apply passes an event to the controller and acts on a change of phase.
func (g *gate) apply(event func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	event(time.Now())
	phase := g.controller.Phase()
	if phase == g.lastPhase {
		return
	}
	g.log.Info("shutdown phase changed", "phase", phase.String(), "in_flight", g.controller.InFlight())
	g.lastPhase = phase
	if g.timer != nil {
		g.timer.Stop()
	}
	if wake := g.controller.NextWake(); !wake.IsZero() {
		g.timer = kernel.AfterFunc(time.Until(wake), func() { g.apply(g.controller.OnWake) })
	}
	if phase == drain.Stopping {
		close(g.drained)
	}
}

// start counts a request, or returns false if no new ones are accepted. end has to be called after a request that was
// counted.
func (g *gate) start() (admitted bool) {
	g.apply(func(now time.Time) { admitted = g.controller.OnStart(now) })
	return admitted
}

func (g *gate) end() { g.apply(g.controller.OnEnd) }

// wrap admits or refuses requests. During the shutdown it closes each connection after its response, since an open
// connection would otherwise continue to bring requests.
func (g *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.start() {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "0")
			http.Error(w, "the instance is leaving and did not run the request", http.StatusServiceUnavailable)
			return
		}
		defer g.end()
		if g.phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(&drainWriter{ResponseWriter: w, gate: g}, r)
	})
}

// drainWriter closes the connection after a response during the shutdown to a request that arrived before it.
type drainWriter struct {
	http.ResponseWriter
	gate *gate
}

// WriteHeader implements http.ResponseWriter.
func (w *drainWriter) WriteHeader(status int) {
	if w.gate.phase() != drain.Serving {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
