package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/routing"
)

// resolve resolves the route of a request, by the routes in force unless another instance has chosen the route. It
// returns a refusal if no route matches or too few shards have targets.
func (s *Service) resolve(r *Request, forwarded *forwardedRoute) (resolvedRoute, *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil || !s.targetsRead {
		age := time.Since(s.started)
		return resolvedRoute{}, &Response{
			Kind: Refused, Reason: reasonNotReady, RetryAfter: admission.StartRetryAfter(age), inputs: []slog.Attr{slog.Float64("age_ms", millis(age))},
		}
	}
	version, route := s.table.Version, (*routing.Route)(nil)
	if forwarded != nil {
		version, route = forwarded.version, forwarded.route
	} else if route = s.table.Match(r.Host, r.Path); route == nil {
		return resolvedRoute{}, &Response{Kind: NoRoute, Reason: reasonNoRoute}
	}
	services := route.Services
	if !route.Gather {
		services = []string{s.splitter.Pick(version, route)}
	}
	rr := s.resolved(version, route, services)
	served := 0
	for _, shard := range rr.shards {
		if s.balancer.HasTargets(shard) {
			served++
		}
	}
	if served < rr.minShards() {
		return resolvedRoute{}, &Response{Kind: Refused, Reason: reasonNoTarget, RetryAfter: noTargetRetryAfter, inputs: []slog.Attr{
			slog.String("route", route.Name), slog.Uint64("routes_version", uint64(version)),
			slog.Int("shards", len(rr.shards)), slog.Int("least", rr.minShards()), slog.Int("served", served),
		}}
	}
	return rr, nil
}

// resolved returns a route with the shards of its services. It must be called with mu held.
func (s *Service) resolved(version query.Version, route *routing.Route, services []string) resolvedRoute {
	rr := resolvedRoute{version: version, route: route, services: services, shards: make([]query.Shard, 0, len(services))}
	for _, name := range services {
		rr.shards = append(rr.shards, s.shardID(name))
	}
	return rr
}

// enterGate admits a request that runs at this instance to its gate, or returns the refusal. After an admission,
// releaseGate has to be called.
func (s *Service) enterGate(rr *resolvedRoute) *Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkRoom(*rr); refused != nil {
		return refused
	}
	rr.policy = s.policy(rr.route)
	rr.gate = s.gate(rr.shards[0])
	if !rr.gate.Admit(rr.route.Rank) {
		inFlight, limit := rr.gate.State()
		return &Response{Kind: Refused, Reason: reasonOverload, RetryAfter: rr.gate.RetryAfter(rand.Float64()), inputs: []slog.Attr{
			slog.String("route", rr.route.Name), slog.Uint64("routes_version", uint64(rr.version)),
			slog.Int("rank", rr.route.Rank), slog.Int("in_flight", inFlight), slog.Float64("limit", limit),
		}}
	}
	return nil
}

// checkRoom returns a refusal if the rate limits of targets leave no room at so many shards that the request cannot be
// answered in time. It must be called with mu held.
func (s *Service) checkRoom(rr resolvedRoute) *Response {
	now := time.Now()
	waits := make([]time.Duration, 0, len(rr.shards))
	for _, shard := range rr.shards {
		waits = append(waits, s.balancer.NextRoom(now, shard, s.queue(shard).Len()).Sub(now))
	}
	slices.Sort(waits)
	wait := waits[rr.minShards()-1]
	if wait <= rr.route.Objective/roomWaitDivisor {
		return nil
	}
	return &Response{Kind: Refused, Reason: reasonRateLimited, RetryAfter: roomRetryAfter(wait, rand.Float64()), inputs: []slog.Attr{
		slog.String("route", rr.route.Name), slog.Uint64("routes_version", uint64(rr.version)), slog.Float64("room_after_ms", millis(wait)),
	}}
}

// roomRetryAfter returns the delay advised to a caller for whom the rate limits of targets have room after a wait. Callers
// that are refused while they wait for the same room come back one after the other. random is between 0 and 1.
func roomRetryAfter(wait time.Duration, random float64) time.Duration {
	return wait + time.Duration(random*float64(wait))
}

// gate returns the admission gate of the requests with the given first shard. Routes over the same set of shards list
// them in the same order, so they share a gate. It must be called with mu held.
func (s *Service) gate(first query.Shard) *admission.Gate {
	g := s.gates[first]
	if g == nil {
		g = admission.NewGate()
		s.gates[first] = g
	}
	return g
}

// releaseGate reports the end of an admitted request to its gate.
func (s *Service) releaseGate(g *admission.Gate, took time.Duration, r admission.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Done(time.Now(), took, r)
}

// minShards returns the number of shards that an answer requires.
func (rr resolvedRoute) minShards() int {
	if rr.route.Gather {
		return rr.route.MinShards()
	}
	return 1
}

func (s *Service) policy(r *routing.Route) *balance.Policy {
	p := s.policies[r.Name]
	if p == nil {
		p = s.balancer.RoutePolicy(r.Name, r.Objective)
		s.policies[r.Name] = p
	}
	return p
}
