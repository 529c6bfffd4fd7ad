package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/forward"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/routing"
)

// cancelSettleTime is the time between the arrival of a forwarded request and its first attempt. A relay that was paused
// finds the cancellation of a request right behind the request itself, and must not run it: another relay has it.
const cancelSettleTime = time.Millisecond

// forwardBudget is the budget of requests that are sent to a second relay.
type forwardBudget struct{ s *Service }

// TryTake implements forward.Budget.
func (b forwardBudget) TryTake(now time.Time) bool {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	return b.s.forwardBudget.TryTake(now, b.s.fleet.all.instances)
}

// newForwardBudget returns the budget of requests that are sent to a second relay.
func newForwardBudget(l hedge.BudgetLimits) *hedge.WindowBudget {
	return hedge.NewWindowBudget(l.Scale(1 - relayBudgetShare))
}

// forwarding is a request that relays run for this instance. Only the goroutine of the request uses it.
type forwarding struct {
	service  *Service
	request  *Request
	resolved resolvedRoute
	start    time.Time
	deadline time.Time
	machine  *forward.Machine
	events   chan forwardEvent
	attempts []forwardAttempt
}

// forwardEvent reports that a relay has taken the request or, with a response, that its attempt has ended.
type forwardEvent struct {
	relay    string
	response *peer.ForwardedResponse
}

// forwardAttempt is an attempt in the log line of a request. Times are in milliseconds.
type forwardAttempt struct {
	Relay  string  `json:"relay"`
	SentMS float64 `json:"sent_ms"`
	Taken  bool    `json:"taken"`
	TookMS float64 `json:"took_ms,omitempty"`
	Ended  string  `json:"ended"`
	Reason string  `json:"reason,omitempty"`
}

// resolveForwarded resolves the route of a request that is to run at a relay: this instance is none, and targets of the
// route get attempts from relays only. It returns false for other requests.
func (s *Service) resolveForwarded(r *Request) (resolvedRoute, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil || s.fleet.isRelay || len(s.fleet.others) == 0 {
		return resolvedRoute{}, false
	}
	route := s.table.Match(r.Host, r.Path)
	if route == nil || !route.Gather || !s.anyRelayed(route.Services) {
		return resolvedRoute{}, false
	}
	return s.resolved(s.table.Version, route, route.Services), true
}

// anyRelayed reports whether targets of one of the services get attempts from relays only. It must be called with mu
// held.
func (s *Service) anyRelayed(services []string) bool {
	return slices.ContainsFunc(services, func(name string) bool { return s.fleet.relayed[name] })
}

// forward runs a request at a relay. It returns false if no relay runs it.
func (s *Service) forward(ctx context.Context, r *Request, rr resolvedRoute, start time.Time) (Response, *forwarding, bool) {
	f := &forwarding{
		service: s, request: r, resolved: rr, start: start, deadline: s.deadline(start.Add(rr.timeout(r))), events: make(chan forwardEvent, 8),
	}
	f.machine = forward.New(forward.Config{
		Chooser: s.relayChooser, Budget: forwardBudget{s}, Random: rand.Float64, Deadline: f.deadline,
	})
	s.mu.Lock()
	s.forwardBudget.RecordFirst(start)
	s.mu.Unlock()
	resp, ok := f.loop(ctx)
	return resp, f, ok
}

// loop runs the machine until it has finished or the caller has disconnected. It returns false if the instance has to
// run the request itself.
func (f *forwarding) loop(caller context.Context) (Response, bool) {
	ctx, cancel := context.WithDeadline(caller, f.deadline)
	defer cancel() // Cancels the attempts that are still in flight.
	actions := f.locked(func(now time.Time) []forward.Action { return f.machine.Start(now) })
	var last *peer.ForwardedResponse
	alarm := kernel.NewAlarm(time.Hour)
	defer alarm.Stop()
	for {
		for _, a := range actions {
			switch a.Kind {
			case forward.Send:
				f.send(ctx, a)
			case forward.RunHere:
				f.request.SpentAttempts = a.SpentAttempts
				return Response{}, false
			case forward.Finish:
				return f.response(*last), true
			case forward.Fail:
				return f.failure(), true
			}
		}
		alarm.Set(time.Until(f.machine.NextWake()))
		select {
		case ev := <-f.events:
			last = ev.response
			actions = f.onEvent(ev)
		case <-alarm.C:
			actions = f.locked(f.machine.OnWake)
		case <-caller.Done():
			return f.failure(), true
		case <-f.service.ending:
			f.machine.Abandon()
			return f.failure(), true
		}
	}
}

// locked calls a method of the machine with the lock of the chooser held.
func (f *forwarding) locked(step func(now time.Time) []forward.Action) []forward.Action {
	f.service.relayMu.Lock()
	defer f.service.relayMu.Unlock()
	return step(time.Now())
}

func (f *forwarding) send(ctx context.Context, a forward.Action) {
	now, relay := time.Now(), a.Relay
	f.attempts = append(f.attempts, forwardAttempt{Relay: relay.ID, SentMS: millis(now.Sub(f.start)), Ended: "in flight"})
	r := f.request
	oneWay := relay.Distance.RoundTrip() / 2
	req := peer.ForwardedRequest{
		ID: r.ID, Caller: r.Caller, Method: r.Method, Target: r.Target, Path: r.Path, Host: r.Host, Header: r.Header, Body: r.Body,
		RoutesVersion: f.resolved.version, Route: *f.resolved.route, TimeLeft: r.TimeLeft, Elapsed: now.Sub(f.start) + oneWay, ReturnTime: oneWay,
		SpentAttempts: a.SpentAttempts,
	}
	go func() {
		resp := f.service.cfg.Forward(ctx, relay.Address, req, func() { f.report(ctx, forwardEvent{relay: relay.ID}) })
		f.report(ctx, forwardEvent{relay: relay.ID, response: &resp})
	}()
}

func (f *forwarding) report(ctx context.Context, ev forwardEvent) {
	select {
	case f.events <- ev:
	case <-ctx.Done():
	}
}

func (f *forwarding) onEvent(ev forwardEvent) []forward.Action {
	for i := range f.attempts {
		a := &f.attempts[i]
		switch {
		case a.Relay != ev.relay:
		case ev.response == nil:
			a.Taken = true
		default:
			a.TookMS, a.Ended, a.Reason = millis(time.Since(f.start))-a.SentMS, ev.response.Outcome.String(), ev.response.Reason
			f.service.cfg.Metrics.forwarded.WithLabelValues(a.Ended).Inc()
		}
	}
	return f.locked(func(now time.Time) []forward.Action {
		if ev.response == nil {
			f.machine.OnTaken(ev.relay)
			return nil
		}
		return f.machine.OnOutcome(now, ev.relay, outcomeAtRelay(ev.response.Outcome))
	})
}

func outcomeAtRelay(o peer.ForwardOutcome) forward.Outcome {
	switch o {
	case peer.ForwardRefused:
		return forward.Refused
	case peer.ForwardUnavailable:
		return forward.Unavailable
	case peer.ForwardLost:
		return forward.Lost
	}
	return forward.Answered
}

// response converts the response of a relay.
func (f *forwarding) response(r peer.ForwardedResponse) Response {
	switch r.Outcome {
	case peer.ForwardMerged:
		return Response{Kind: Merged, Records: r.Records, Signatures: r.Signatures, Missing: r.Missing}
	case peer.ForwardRefused:
		return Response{Kind: Refused, Reason: r.Reason, RetryAfter: r.RetryAfter}
	case peer.ForwardTimedOut:
		return Response{Kind: TimedOut, Reason: r.Reason}
	}
	return Response{Kind: Failed, Reason: r.Reason}
}

// failure returns the response to a request that no relay answered.
func (f *forwarding) failure() Response {
	switch {
	case !f.machine.MayHaveRun():
		return Response{Kind: Refused, Reason: reasonNoRelay, RetryAfter: unreachedRetryAfter}
	case !time.Now().Before(f.deadline):
		return Response{Kind: TimedOut, Reason: reasonNoRelay}
	}
	return Response{Kind: Failed, Reason: reasonNoRelay}
}

// forwardedRoute is the route of a request that another instance received.
type forwardedRoute struct {
	version query.Version
	route   *routing.Route
}

// RunForwarded implements relay.Backend: it runs a request of another instance's caller at the targets.
func (s *Service) RunForwarded(ctx context.Context, in peer.ForwardedRequest) peer.ForwardedResponse {
	start := time.Now().Add(-in.Elapsed)
	if !kernel.Sleep(ctx, cancelSettleTime) {
		return peer.ForwardedResponse{Outcome: peer.ForwardUnavailable, Reason: "the request was cancelled before it ran"}
	}
	r := &Request{
		ID: in.ID, Caller: in.Caller, Method: in.Method, Target: in.Target, Path: in.Path, Host: in.Host, Header: in.Header, Body: in.Body,
		TimeLeft: in.TimeLeft, ReturnTime: in.ReturnTime, SpentAttempts: in.SpentAttempts,
	}
	resp, q := s.runHere(ctx, r, &forwardedRoute{version: in.RoutesVersion, route: &in.Route}, start)
	s.observe(ctx, r, q, resp, time.Since(start))
	return forwardedResponse(resp)
}

// forwardedResponse converts the response to a forwarded request.
func forwardedResponse(r Response) peer.ForwardedResponse {
	out := peer.ForwardedResponse{RetryAfter: r.RetryAfter, Reason: r.Reason}
	switch r.Kind {
	case Merged:
		out.Outcome, out.Records, out.Signatures, out.Missing = peer.ForwardMerged, r.Records, r.Signatures, r.Missing
	case Refused:
		out.Outcome = peer.ForwardRefused
		if r.Reason == reasonNotReady || r.Reason == reasonNoTarget {
			out.Outcome = peer.ForwardUnavailable // Another instance may know targets.
		}
	case NoRoute:
		out.Outcome = peer.ForwardUnavailable
	case TimedOut:
		out.Outcome = peer.ForwardTimedOut
	default:
		out.Outcome = peer.ForwardFailed
	}
	return out
}

// observeForwarded updates the metrics for a request that relays ran, and logs it unless its answer was complete and in
// time.
func (s *Service) observeForwarded(ctx context.Context, f *forwarding, resp Response, took time.Duration) {
	attrs := s.observeOutcome(ctx, f.request, resp, took, f.resolved.route.Objective)
	if attrs == nil {
		return
	}
	attrs = append(attrs, f.resolved.attrs()...)
	attrs = append(attrs, slog.Any("relays", f.attempts))
	s.cfg.Log.LogAttrs(ctx, slog.LevelWarn, logMessage(resp, ctx.Err() != nil), attrs...)
}
