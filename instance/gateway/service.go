package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/forward"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/routing"
)

// Name is the name of the service.
const Name = "gateway"

const (
	// maxInFlight bounds the requests in flight at an instance. At 40 KB each (two buffers and the goroutines of
	// 15 attempts), they stay within 40 MB.
	maxInFlight = 1000
	// minInstances is the minimum number of instances among which the connections of a target and the slack of
	// the retry budgets are divided, so that the first instance of a starting fleet leaves a part for the others. It
	// is the size of the smallest deployment.
	minInstances = 6
	// connectionShare is the fraction of a target's connections that the fleet uses. The rest is left for instances
	// that are being replaced and for half-open connections that only the target still counts.
	connectionShare = 0.9
	// fleetUpdatePause is the minimum time between two updates of what is derived from the members.
	fleetUpdatePause = 30 * time.Millisecond
	// maxConnections bounds the connections to one target. Targets have 2 to 6 slots.
	maxConnections = 8
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	// Instance is the id of this instance among the members.
	Instance              string
	FailureDomain, Region string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// ExtraAttempts bounds the extra attempts (hedges and retries) at each service.
	ExtraAttempts hedge.BudgetLimits
	Sender        Sender
	Log           *slog.Logger
	Metrics       *Metrics
	Bus           *kernel.Bus
	// Members lists the instances among which connections and budgets are divided.
	Members Members
	// Forward sends a request to the relay at an address. onTaken is called when the relay confirms that it has it.
	Forward func(ctx context.Context, address string, r peer.ForwardedRequest, onTaken func()) peer.ForwardedResponse
	// ConnectRelay opens a connection to the relay at an address.
	ConnectRelay func(ctx context.Context, address string) error
	// SendSuspicion sends a suspicion to the peer at an address.
	SendSuspicion func(ctx context.Context, address string, m peer.Suspicion) error
}

// Members lists the instances of the fleet. The members service implements it.
type Members interface {
	Members() []membership.Member
}

// Service runs requests. It is safe for concurrent use.
type Service struct {
	cfg         Config
	ready       chan struct{} // closed once routes and targets have been read
	lastAttempt atomic.Uint64
	inFlight    atomic.Int64
	background  sync.WaitGroup
	suspects    *suspects

	relayMu      sync.Mutex // guards relayChooser and the machines that use it; locked before mu
	relayChooser *forward.Chooser

	mu          sync.Mutex // guards the fields below
	table       *routing.Table
	gathered    gathered // of table
	balancer    *balance.Balancer
	splitter    routing.Splitter
	shardIDs    map[string]query.Shard // by service; entries are never removed, so that ids stay unique
	roster      *roster.Roster
	targets     map[query.TargetID]roster.Entry
	targetsRead bool // a list of targets has been read
	started     time.Time
	policies    map[string]*balance.Policy
	queues      map[query.Shard]*admission.Queue[*run]
	gates       map[query.Shard]*admission.Gate // by the first shard of the requests
	fleet       fleet
	// forwardBudget bounds the requests that are sent to a second relay.
	forwardBudget *hedge.WindowBudget
	connectExtra  bool // targets of all services accept enough connections to open some for hedges and retries in advance
	cancel        context.CancelFunc
}

// New returns a service without routes and targets.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, ready: make(chan struct{}), balancer: balance.NewBalancer(cfg.ExtraAttempts), shardIDs: map[string]query.Shard{},
		roster: roster.New(), targets: map[query.TargetID]roster.Entry{}, policies: map[string]*balance.Policy{},
		gates: map[query.Shard]*admission.Gate{}, queues: map[query.Shard]*admission.Queue[*run]{},
		relayChooser: forward.NewChooser(), forwardBudget: newForwardBudget(cfg.ExtraAttempts),
	}
	s.suspects = newSuspects()
	s.fleet = s.fleetOf(nil, gathered{}, nil)
	s.balancer.SetInstances(s.fleet.all.instances)
	s.lastAttempt.Store(rand.Uint64())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start subscribes to changes of routes, targets and members, and opens connections in the background.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.mu.Lock()
	s.started = time.Now()
	s.mu.Unlock()
	s.background.Go(func() { s.connectLoop(ctx) })
	err := kernel.Subscribe(ctx, s.cfg.Bus, func(ev directory.RoutesChanged) { s.SetTable(&ev.Table) })
	if err != nil {
		return err
	}
	err = kernel.Subscribe(ctx, s.cfg.Bus, s.SetTargets)
	if err != nil {
		return err
	}
	membersChanged := make(chan struct{}, 1)
	s.background.Go(func() { s.fleetLoop(ctx, membersChanged) })
	s.background.Go(func() { s.connectRelaysLoop(ctx) })
	return kernel.Subscribe(ctx, s.cfg.Bus, func(members.Changed) {
		select {
		case membersChanged <- struct{}{}:
		default: // A change is pending already.
		}
	})
}

// fleetLoop applies changes of the members. Changes in quick succession, as when the whole fleet starts, are applied
// together.
func (s *Service) fleetLoop(ctx context.Context, membersChanged <-chan struct{}) {
	for {
		select {
		case <-membersChanged:
		case <-ctx.Done():
			return
		}
		s.updateFleet()
		s.sendQuarantinedToJoined()
		if !kernel.Sleep(ctx, fleetUpdatePause) {
			return
		}
	}
}

// updateFleet applies the current members to connection limits, budgets and the choice of relays.
func (s *Service) updateFleet() {
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refreshFleet() {
		s.applyTargets()
	}
}

// refreshFleet describes the fleet by the current members, routes and targets. It reports whether the connections or
// budgets of this instance changed. It must be called with relayMu and mu held.
func (s *Service) refreshFleet() bool {
	previous := s.fleet
	s.fleet = s.fleetOf(s.cfg.Members.Members(), s.gathered, s.roster.Entries(time.Now()))
	s.relayChooser.SetRelays(s.fleet.others)
	if s.fleet.all == previous.all && s.fleet.relays == previous.relays && s.fleet.isRelay == previous.isRelay {
		return false
	}
	s.cfg.Log.Info("share of connections and budgets changed", "instances", s.fleet.all.instances, "in_domain", s.fleet.all.sameDomain,
		"relays", s.fleet.relays.instances, "is_relay", s.fleet.isRelay)
	s.balancer.SetInstances(s.fleet.all.instances)
	return true
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.background.Wait()
	s.cfg.Sender.SetConnections(nil)
	return nil
}

// SetTable replaces the routes in force.
func (s *Service) SetTable(t *routing.Table) {
	t.Index()
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var previous query.Version
	if s.table != nil {
		previous = s.table.Version
	}
	s.cfg.Log.Info("routes in force", "version", t.Version, "before", previous, "routes", len(t.Routes))
	s.table, s.gathered = t, gatheredServices(t)
	s.signalReady()
	s.policies = map[string]*balance.Policy{}
	s.refreshFleet()
	s.applyTargets()
}

// SetTargets applies a new list of targets.
func (s *Service) SetTargets(ev directory.TargetsChanged) {
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.roster.ReadyCount() == 0 {
		s.roster.Replace(now, ev.BeforeOutage, false)
	}
	s.roster.Replace(now, ev.Entries, ev.Incomplete)
	s.targetsRead = true
	s.signalReady()
	s.refreshFleet()
	s.applyTargets()
}

// signalReady closes ready once routes and targets have been read. It must be called with mu held.
func (s *Service) signalReady() {
	select {
	case <-s.ready:
	default:
		if s.table != nil && s.targetsRead {
			close(s.ready)
		}
	}
}

// awaitReady delays a request until the instance has read its first routes and targets, for a limited time after
// the start.
func (s *Service) awaitReady(ctx context.Context, r *Request) {
	left := defaultTimeout
	if r.TimeLeft > 0 {
		left = r.TimeLeft - deadlineReserve
	}
	s.mu.Lock()
	wait := admission.StartWait(time.Since(s.started), left)
	s.mu.Unlock()
	if wait <= 0 {
		return
	}
	alarm := kernel.NewAlarm(wait)
	defer alarm.Stop()
	select {
	case <-s.ready:
	case <-alarm.C:
	case <-ctx.Done():
	}
}

// Ready reports whether the instance has read routes and targets.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.targetsRead
}

// Limits returns the limits of callers' requests, or false if no routes are in force yet.
func (s *Service) Limits() (routing.Limits, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return routing.Limits{}, false
	}
	return s.table.Limits, true
}

// applyTargets passes the usable targets to the balancer, and their connection limits to the sender. It must be called
// with mu held.
func (s *Service) applyTargets() {
	s.connectExtra = s.table != nil && !slices.ContainsFunc(s.table.Services, func(v routing.Service) bool {
		return !s.fleet.allowsExtra(v)
	})
	s.balancer.SetSenders(s.senders())
	now := time.Now()
	entries := s.roster.Entries(now)
	limits := make(map[string]int, len(entries))
	list := make([]balance.Target, 0, len(entries))
	clear(s.targets)
	for _, e := range entries {
		if e.Draining {
			continue
		}
		connections := s.connections(e)
		limits[e.Address] = connections
		id := query.TargetID(e.ID)
		s.targets[id] = e
		list = append(list, balance.Target{
			ID: id, Shard: s.shardID(e.Service), Incarnation: e.Incarnation, Distance: s.distance(e.FailureDomain),
			Limit: connections, ColdUntil: now.Add(e.ColdFor),
		})
	}
	s.balancer.SetTargets(list)
	s.cfg.Sender.SetConnections(limits)
}

// connections returns this instance's share of a target's connections.
func (s *Service) connections(e roster.Entry) int {
	if s.table == nil {
		return 1
	}
	service, ok := s.table.Service(e.Service)
	if !ok || service.Connections <= 0 {
		return 1
	}
	return s.fleet.connections(service, e.FailureDomain == s.cfg.FailureDomain)
}

// senders returns the instances that send to the shards which not all instances send to. It must be called with mu
// held.
func (s *Service) senders() map[query.Shard]balance.Senders {
	out := map[query.Shard]balance.Senders{}
	senders := balance.Senders{Count: s.fleet.all.instances, BudgetShare: relayBudgetShare}
	if s.fleet.isRelay {
		senders.Count = s.fleet.relays.instances
	}
	for name := range s.fleet.relayed {
		out[s.shardID(name)] = senders
	}
	return out
}

func (s *Service) distance(domain string) balance.Distance {
	switch {
	case domain == s.cfg.FailureDomain:
		return balance.SameDomain
	case s.cfg.Regions[domain] == s.cfg.Region:
		return balance.SameRegion
	}
	return balance.OtherRegion
}

// shardID returns the shard id of a service, and assigns one if it has none. It must be called with mu held.
func (s *Service) shardID(service string) query.Shard {
	id, ok := s.shardIDs[service]
	if !ok {
		id = query.Shard(len(s.shardIDs) + 1)
		s.shardIDs[service] = id
	}
	return id
}

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

// queue returns the queue of the requests that wait for capacity at a shard's targets. It must be called with mu held.
func (s *Service) queue(shard query.Shard) *admission.Queue[*run] {
	q := s.queues[shard]
	if q == nil {
		q = &admission.Queue[*run]{}
		s.queues[shard] = q
	}
	return q
}

// offerCapacity offers freed capacity at a target of the shard to the next waiting request. It must be called with mu
// held.
func (s *Service) offerCapacity(now time.Time, shard query.Shard) {
	next, ok := s.queue(shard).Next(now)
	if !ok {
		return
	}
	select {
	case next.offers <- shard:
	default: // The buffer is full of offers that the request has not read. It retries after its backoff.
	}
}

// leaveQueues removes a request that has ended from all queues, and offers the capacity that it was offered and did not
// use to other requests.
func (s *Service) leaveQueues(q *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range q.resolved.shards {
		s.queue(shard).Remove(q)
	}
	for {
		select {
		case shard := <-q.offers:
			s.offerCapacity(time.Now(), shard)
		default:
			return
		}
	}
}

// target returns the entry of a target, or false if the target has been removed.
func (s *Service) target(id query.TargetID) (roster.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.targets[id]
	return e, ok
}

// onAddressReused removes the entry of a target whose address now belongs to another target.
func (s *Service) onAddressReused(id query.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.targets[id]
	if !ok {
		return
	}
	s.cfg.Log.Warn("another target has this address; the entry is left out", "target", id, "address", e.Address)
	s.roster.OnAddressReused(e)
	s.applyTargets()
}

func (s *Service) nextAttempt() query.AttemptID { return query.AttemptID(s.lastAttempt.Add(1)) }

const (
	// noTargetRetryAfter is the delay advised while a service has no target. A target registers within seconds.
	noTargetRetryAfter = time.Second
	// busyRetryAfter is the delay advised by an instance at its limit: the usual time to an answer.
	busyRetryAfter = 50 * time.Millisecond
)
