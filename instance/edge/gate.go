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
	// inFlightReserve is the part of the shutdown time that is left for requests in flight once no more
	// are taken. Until then the balancer and the callers' open connections still bring requests.
	inFlightReserve = 2 * time.Second
	// stopReserve is the part that is left for the end of the process.
	stopReserve = 300 * time.Millisecond
)

// gate lets requests in according to the phase of the shutdown.
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

// begin starts the shutdown. The channel is closed once no request is in flight or their time has ended.
func (g *gate) begin() <-chan struct{} {
	g.apply(func(now time.Time) { g.controller.Begin(now) })
	return g.drained
}

func (g *gate) phase() drain.Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Phase()
}

func (g *gate) aborted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Aborted()
}

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

// wrap admits requests, and asks callers for a new connection once the instance is leaving. An open
// connection would bring new requests for as long as it lasts.
func (g *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		admitted := false
		g.apply(func(now time.Time) { admitted = g.controller.OnStart(now) })
		if !admitted {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "0")
			http.Error(w, "the instance is leaving and did not run the request", http.StatusServiceUnavailable)
			return
		}
		defer g.apply(g.controller.OnEnd)
		if g.phase() != drain.Serving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(&drainWriter{ResponseWriter: w, gate: g}, r)
	})
}

// drainWriter closes the connection after an answer whose request arrived before the order to stop.
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

// Unwrap lets http.ResponseController reach the connection.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
