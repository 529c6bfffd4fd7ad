package app

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/drain"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
)

const (
	// stopReserve is the part of the shutdown timeout that is kept for closing connections and
	// stopping services. With the default times, it leaves 20 s for work in flight, which is the
	// longest time of a request.
	stopReserve = 5 * time.Second
	// refusedRetryAfter is the time that a caller is advised to wait; it finds another instance.
	refusedRetryAfter = time.Second
)

// DrainPhase is published when a graceful shutdown enters a phase.
type DrainPhase struct {
	Instance string `json:"instance"`
	Phase    string `json:"phase"`
}

// Topic implements kernel.Event.
func (DrainPhase) Topic() string { return "drain_phase" }

// drainer lets requests in according to the phase of the shutdown. It implements caller.Backend.
type drainer struct {
	backend  caller.Backend
	counters *counters.Set
	onPhase  func(drain.Phase) // called with mu held, in the order of the phases

	mu         sync.Mutex // guards the fields below
	controller *drain.Controller
	known      drain.Phase
	timer      *time.Timer
	stopping   chan struct{} // closed in phase Stopping
}

func newDrainer(b caller.Backend, s Settings, c *counters.Set, onPhase func(drain.Phase)) *drainer {
	cfg := drain.Config{
		BalancerLag: time.Duration(s.BalancerLag), Deadline: time.Duration(s.ShutdownTimeout),
		StopReserve: min(stopReserve, time.Duration(s.ShutdownTimeout)/2),
	}
	return &drainer{
		backend: b, counters: c, onPhase: onPhase, controller: drain.New(cfg), stopping: make(chan struct{}),
	}
}

// begin starts the shutdown. The channel is closed once no work is in flight or the time for it has
// ended.
func (d *drainer) begin() <-chan struct{} {
	d.change(func(now time.Time) { d.controller.Begin(now) })
	return d.stopping
}

// cut returns the number of requests that the deadline ended.
func (d *drainer) cut() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.Aborted()
}

func (d *drainer) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.Phase() != drain.Serving
}

func (d *drainer) start() bool {
	admitted := false
	d.change(func(now time.Time) { admitted = d.controller.OnStart(now) })
	if !admitted {
		d.counters.Counter("requests_refused_leaving").Add(1)
	}
	return admitted
}

func (d *drainer) end() { d.change(d.controller.OnEnd) }

// change gives the controller an event and follows its phase.
func (d *drainer) change(event func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event(time.Now())
	from, to := d.known, d.controller.Phase()
	if from == to {
		return
	}
	d.known = to
	d.setTimer()
	for p := from + 1; p <= to; p++ {
		d.onPhase(p)
	}
	if to == drain.Stopping {
		close(d.stopping)
	}
}

// setTimer must be called with d.mu held.
func (d *drainer) setTimer() {
	if d.timer != nil {
		d.timer.Stop()
	}
	if wake := d.controller.NextWake(); !wake.IsZero() {
		d.timer = kernel.AfterFunc(time.Until(wake), func() { d.change(d.controller.OnWake) })
	}
}

// Search implements caller.Backend.
func (d *drainer) Search(ctx context.Context, s caller.SearchRequest) (caller.SearchResult, *problem.Problem) {
	if !d.start() {
		return caller.SearchResult{}, refusal(problem.NotRun)
	}
	defer d.end()
	return d.backend.Search(ctx, s)
}

// Execute implements caller.Backend. Only a first submission is certain not to have run.
func (d *drainer) Execute(ctx context.Context, e caller.ExecuteRequest) (caller.ExecuteResult, *problem.Problem) {
	if !d.start() {
		run := problem.MayHaveRun
		if e.FirstSubmission {
			run = problem.NotRun
		}
		return caller.ExecuteResult{}, refusal(run)
	}
	defer d.end()
	return d.backend.Execute(ctx, e)
}

func refusal(run problem.Run) *problem.Problem {
	p := &problem.Problem{
		Status: http.StatusServiceUnavailable, Code: problem.NotReady, Run: run,
		Message: "the instance is leaving; this submission was not sent to a target",
	}
	return p.RetryAfter(refusedRetryAfter)
}

// closeWhileLeaving asks clients to open a new connection, which the balancer gives to another
// instance. An open connection would bring new work for as long as it lasts.
func (d *drainer) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
