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
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/routing"
)

// Name is the name of the service.
const Name = "gateway"

const (
	// mostInFlight bounds the requests that an instance holds. With 40 KB each, which is two buffers and
	// the goroutines of 15 attempts, they stay within 40 MB.
	mostInFlight = 1000
	// fewestInstances is the number of instances that are taken to share a target's connections and the
	// slack of the retry budgets at least, so that the first instance of a fleet that starts leaves room
	// for the others. It is the size of the smallest deployment.
	fewestInstances = 6
	// connectionShare is the part of a target's connections that the fleet uses. The rest is for
	// instances that are being replaced and for connections that only the far end still counts.
	connectionShare = 0.9
	// mostConnections bounds the connections to one target. Targets have 2 to 6 slots.
	mostConnections = 8
)

// Config is what a Service needs.
type Config struct {
	// Instance is the id of this instance among the members.
	Instance              string
	FailureDomain, Region string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// Extra bounds the extra attempts at each service.
	Extra   hedge.BudgetLimits
	Sender  Sender
	Log     *slog.Logger
	Metrics *Metrics
	Bus     *kernel.Bus
	// Members tells how many instances share what is limited.
	Members Members
	// Tell sends a suspicion to the peer at an address.
	Tell func(ctx context.Context, address string, m peer.Suspicion) error
}

// Members are the instances of the fleet. They are implemented by the members service.
type Members interface {
	Members() []membership.Member
}

// Service runs requests. It is safe for concurrent use.
type Service struct {
	cfg         Config
	known       chan struct{} // closed once routes and targets are known
	lastAttempt atomic.Uint64
	inFlight    atomic.Int64
	background  sync.WaitGroup
	suspects    *suspects

	mu       sync.Mutex // guards the fields below
	table    *routing.Table
	fleet    *balance.Balancer
	splitter routing.Splitter
	shards   map[string]query.Shard // by service; never forgotten, so that ids stay unique
	roster   *roster.Roster
	targets  map[query.TargetID]roster.Entry
	listed   bool // a list of targets was read
	started  time.Time
	routes   map[string]*balance.Policy
	queues   map[query.Shard]*admission.Queue[*run]
	gates    map[query.Shard]*admission.Gate // by the first shard of the requests
	share    share
	ample    bool // targets of all services have room for connections ahead of second attempts
	cancel   context.CancelFunc
}

// New returns a service without routes and targets.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, known: make(chan struct{}), fleet: balance.NewBalancer(cfg.Extra), shards: map[string]query.Shard{},
		roster: roster.New(), targets: map[query.TargetID]roster.Entry{}, routes: map[string]*balance.Policy{},
		gates: map[query.Shard]*admission.Gate{}, queues: map[query.Shard]*admission.Queue[*run]{},
	}
	s.suspects = newSuspects()
	s.share = shareOf(nil, cfg.FailureDomain)
	s.fleet.SetInstances(s.share.instances)
	s.lastAttempt.Store(rand.Uint64())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start subscribes to routes, targets and members.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.mu.Lock()
	s.started = time.Now()
	s.mu.Unlock()
	s.background.Go(func() { s.warmLoop(ctx) })
	err := kernel.Subscribe(ctx, s.cfg.Bus, func(ev directory.RoutesChanged) { s.SetTable(&ev.Table) })
	if err != nil {
		return err
	}
	err = kernel.Subscribe(ctx, s.cfg.Bus, s.SetTargets)
	if err != nil {
		return err
	}
	return kernel.Subscribe(ctx, s.cfg.Bus, func(members.Changed) {
		s.setShare()
		s.tellJoined()
	})
}

// setShare follows the number of instances.
func (s *Service) setShare() {
	next := shareOf(s.cfg.Members.Members(), s.cfg.FailureDomain)
	s.mu.Lock()
	defer s.mu.Unlock()
	if next != s.share {
		s.cfg.Log.Info("share of connections and budgets changed", "instances", next.instances, "in_domain", next.neighbours)
		s.share = next
		s.fleet.SetInstances(next.instances)
		s.place()
	}
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.background.Wait()
	s.cfg.Sender.SetConnections(nil)
	return nil
}

// SetTable puts routes in force.
func (s *Service) SetTable(t *routing.Table) {
	t.Index()
	s.mu.Lock()
	defer s.mu.Unlock()
	var before query.Version
	if s.table != nil {
		before = s.table.Version
	}
	s.cfg.Log.Info("routes in force", "version", t.Version, "before", before, "routes", len(t.Routes))
	s.table = t
	s.noteKnown()
	s.routes = map[string]*balance.Policy{}
	s.place()
}

// SetTargets takes a new list of targets.
func (s *Service) SetTargets(ev directory.TargetsChanged) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.roster.ReadyCount() == 0 {
		s.roster.Replace(now, ev.Before, false)
	}
	s.roster.Replace(now, ev.Entries, ev.Lapsed)
	s.listed = true
	s.noteKnown()
	s.place()
}

// noteKnown must be called with mu held.
func (s *Service) noteKnown() {
	select {
	case <-s.known:
	default:
		if s.table != nil && s.listed {
			close(s.known)
		}
	}
}

// awaitKnown holds a request while the instance reads its first routes and targets.
func (s *Service) awaitKnown(ctx context.Context, r *Request) {
	left := longestWait
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
	case <-s.known:
	case <-alarm.C:
	case <-ctx.Done():
	}
}

// Ready reports whether the instance knows routes and targets.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.listed
}

// Limits returns the bounds of what a caller may send, or false if none are known yet.
func (s *Service) Limits() (routing.Limits, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return routing.Limits{}, false
	}
	return s.table.Limits, true
}

// place hands the usable targets to the fleet. It must be called with mu held.
func (s *Service) place() {
	s.ample = s.table != nil && !slices.ContainsFunc(s.table.Services, func(v routing.Service) bool {
		return !s.share.ample(v.Connections)
	})
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
			ID: id, Shard: s.shard(e.Service), Incarnation: e.Incarnation, Distance: s.distance(e.FailureDomain),
			Limit: connections, ColdUntil: now.Add(e.ColdFor),
		})
	}
	s.fleet.SetTargets(list)
	s.cfg.Sender.SetConnections(limits)
}

// connections returns this instance's share of a target's connections.
func (s *Service) connections(e roster.Entry) int {
	if s.table == nil {
		return 1
	}
	service, known := s.table.Service(e.Service)
	if !known || service.Connections <= 0 {
		return 1
	}
	return s.share.connections(service.Connections, e.FailureDomain == s.cfg.FailureDomain)
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

// shard returns the id of a service. It must be called with mu held.
func (s *Service) shard(service string) query.Shard {
	id, known := s.shards[service]
	if !known {
		id = query.Shard(len(s.shards) + 1)
		s.shards[service] = id
	}
	return id
}

// terms returns the terms of a request, all from one version of the routes, or the refusal.
func (s *Service) terms(r *Request) (terms, *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil || !s.listed {
		age := time.Since(s.started)
		return terms{}, &Response{
			Kind: Refused, Reason: reasonNotReady, RetryAfter: admission.StartRetryAfter(age), inputs: []slog.Attr{slog.Float64("age_ms", millis(age))},
		}
	}
	route := s.table.Match(r.Host, r.Path)
	if route == nil {
		return terms{}, &Response{Kind: NoRoute, Reason: reasonNoRoute}
	}
	t := terms{table: s.table, route: route, services: route.Services, policy: s.policy(route)}
	if !route.Gather {
		t.services = []string{s.splitter.Pick(s.table.Version, route)}
	}
	t.shards = make([]query.Shard, 0, len(t.services))
	served := 0
	for _, name := range t.services {
		shard := s.shard(name)
		t.shards = append(t.shards, shard)
		if s.fleet.HasTargets(shard) {
			served++
		}
	}
	if served < t.least() {
		return terms{}, &Response{Kind: Refused, Reason: reasonNoTarget, RetryAfter: noTargetRetryAfter, inputs: []slog.Attr{
			slog.String("route", route.Name), slog.Uint64("routes_version", uint64(s.table.Version)),
			slog.Int("shards", len(t.shards)), slog.Int("least", t.least()), slog.Int("served", served),
		}}
	}
	t.gate = s.gate(t.shards[0])
	if !t.gate.Admit(route.Rank) {
		inFlight, limit := t.gate.State()
		return terms{}, &Response{Kind: Refused, Reason: reasonOverload, RetryAfter: t.gate.RetryAfter(rand.Float64()), inputs: []slog.Attr{
			slog.String("route", route.Name), slog.Uint64("routes_version", uint64(s.table.Version)),
			slog.Int("rank", route.Rank), slog.Int("in_flight", inFlight), slog.Float64("limit", limit),
		}}
	}
	return t, nil
}

// gate returns the gate of the requests whose first shard this is. Routes over one set of shards list
// them in one order. It must be called with mu held.
func (s *Service) gate(first query.Shard) *admission.Gate {
	g := s.gates[first]
	if g == nil {
		g = admission.NewGate()
		s.gates[first] = g
	}
	return g
}

// done tells the gate of the end of a request.
func (s *Service) done(g *admission.Gate, took time.Duration, r admission.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Done(time.Now(), took, r)
}

func (t terms) least() int {
	if t.route.Gather {
		return t.route.MinShards()
	}
	return 1
}

func (s *Service) policy(r *routing.Route) *balance.Policy {
	p := s.routes[r.Name]
	if p == nil {
		p = s.fleet.RoutePolicy(r.Name, r.Objective)
		s.routes[r.Name] = p
	}
	return p
}

// places returns the queue for the places of a shard's targets. It must be called with mu held.
func (s *Service) places(shard query.Shard) *admission.Queue[*run] {
	q := s.queues[shard]
	if q == nil {
		q = &admission.Queue[*run]{}
		s.queues[shard] = q
	}
	return q
}

// offerPlace wakes the request that gets a free place at a target of the shard. It must be called with mu held.
func (s *Service) offerPlace(now time.Time, shard query.Shard) {
	next, waits := s.places(shard).Next(now)
	if !waits {
		return
	}
	select {
	case next.freed <- shard:
	default: // It has not read earlier offers, and looks again by itself.
	}
}

// leaveQueues takes a request that has ended out of all queues, and offers the places that it was offered and
// did not take to others.
func (s *Service) leaveQueues(q *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range q.terms.shards {
		s.places(shard).Remove(q)
	}
	for {
		select {
		case shard := <-q.freed:
			s.offerPlace(time.Now(), shard)
		default:
			return
		}
	}
}

// target returns the entry of a target that is still known.
func (s *Service) target(id query.TargetID) (roster.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.targets[id]
	return e, ok
}

// misplaced takes that another target has the address of this one.
func (s *Service) misplaced(id query.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.targets[id]
	if !known {
		return
	}
	s.cfg.Log.Warn("another target has this address; the entry is left out", "target", id, "address", e.Address)
	s.roster.OnAddressReused(e)
	s.place()
}

func (s *Service) nextAttempt() query.AttemptID { return query.AttemptID(s.lastAttempt.Add(1)) }

const (
	// noTargetRetryAfter is advised while a service has no target: a target registers within seconds.
	noTargetRetryAfter = time.Second
	// busyRetryAfter is advised by a full instance: the time that a usual answer takes.
	busyRetryAfter = 50 * time.Millisecond
)
