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
	// stopReserve is the part of the shutdown timeout that is reserved for closing connections and
	// stopping services. With the default settings, it leaves 20 s for requests in flight, which is the
	// maximum duration of a request.
	stopReserve = 5 * time.Second
	// refusedRetryAfter is the retry delay advised to a refused caller. The retry reaches another
	// instance.
	refusedRetryAfter = time.Second
)

// DrainPhase is published when a graceful shutdown enters a phase.
type DrainPhase struct {
	Instance string `json:"instance"`
	Phase    string `json:"phase"`
}

// Topic implements kernel.Event.
func (DrainPhase) Topic() string { return "drain_phase" }

// drainer admits requests according to the phase of the shutdown. It implements caller.Backend.
type drainer struct {
	backend  caller.Backend
	counters *counters.Set
	onPhase  func(drain.Phase) // called with mu held, in the order of the phases

	mu         sync.Mutex // guards the fields below
	controller *drain.Controller
	phase      drain.Phase // latest phase passed to onPhase
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

// begin starts the shutdown. The channel is closed once no request is in flight or the time for
// requests in flight has passed.
func (d *drainer) begin() <-chan struct{} {
	d.handleEvent(func(now time.Time) { d.controller.Begin(now) })
	return d.stopping
}

// aborted returns the number of requests that were in flight at the deadline.
func (d *drainer) aborted() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.Aborted()
}

// leaving reports whether the shutdown has begun.
func (d *drainer) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.Phase() != drain.Serving
}

// startRequest reports whether a request is admitted. endRequest must be called for an admitted request.
func (d *drainer) startRequest() bool {
	admitted := false
	d.handleEvent(func(now time.Time) { admitted = d.controller.OnStart(now) })
	if !admitted {
		d.counters.Counter("requests_refused_leaving").Add(1)
	}
	return admitted
}

func (d *drainer) endRequest() { d.handleEvent(d.controller.OnEnd) }

// handleEvent passes an event to the controller and reports each phase that it enters as a result.
func (d *drainer) handleEvent(event func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event(time.Now())
	from, to := d.phase, d.controller.Phase()
	if from == to {
		return
	}
	d.phase = to
	d.setTimer()
	for p := from + 1; p <= to; p++ {
		d.onPhase(p)
	}
	if to == drain.Stopping {
		close(d.stopping)
	}
}

// setTimer schedules the next wake-up of the controller. It must be called with d.mu held.
func (d *drainer) setTimer() {
	if d.timer != nil {
		d.timer.Stop()
	}
	if wake := d.controller.NextWake(); !wake.IsZero() {
		d.timer = kernel.AfterFunc(time.Until(wake), func() { d.handleEvent(d.controller.OnWake) })
	}
}

// Search implements caller.Backend.
func (d *drainer) Search(ctx context.Context, s caller.SearchRequest) (caller.SearchResult, *problem.Problem) {
	if !d.startRequest() {
		return caller.SearchResult{}, refusal(problem.NotRun)
	}
	defer d.endRequest()
	return d.backend.Search(ctx, s)
}

// Execute implements caller.Backend. A refused request is certain not to have run only if this is its first
// submission.
func (d *drainer) Execute(ctx context.Context, e caller.ExecuteRequest) (caller.ExecuteResult, *problem.Problem) {
	if !d.startRequest() {
		run := problem.MayHaveRun
		if e.FirstSubmission {
			run = problem.NotRun
		}
		return caller.ExecuteResult{}, refusal(run)
	}
	defer d.endRequest()
	return d.backend.Execute(ctx, e)
}

func refusal(run problem.RunState) *problem.Problem {
	p := &problem.Problem{
		Status: http.StatusServiceUnavailable, Code: problem.NotReady, RunState: run,
		Message: "the instance is leaving; this submission was not sent to a target",
	}
	return p.WithRetryAfter(refusedRetryAfter)
}

// closeWhileLeaving tells clients to close their connection once the shutdown has begun. The load balancer
// routes their next connection to another instance; an open one would continue to deliver requests.
func (d *drainer) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
