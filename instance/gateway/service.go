package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/forward"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/quarantine"
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
	// TargetHeartbeat is the time between two heartbeats of a target, 0 if it is not known.
	TargetHeartbeat time.Duration
	// FollowsEarlier is set if an earlier process may have sent extra attempts in the place of this one.
	FollowsEarlier bool
	Sender         Sender
	Log            *slog.Logger
	Metrics        *Metrics
	Bus            *kernel.Bus
	// Members lists the instances among which connections and budgets are divided.
	Members Members
	// Forward sends a request to the relay at an address. onTaken is called when the relay confirms that it has it.
	Forward func(ctx context.Context, address string, r peer.ForwardedRequest, onTaken func()) peer.ForwardedResponse
	// ConnectRelay opens a connection to the relay at an address.
	ConnectRelay func(ctx context.Context, address string) error
	// SendSuspicion sends a suspicion to the peer at an address.
	SendSuspicion func(ctx context.Context, address string, m peer.Suspicion) error
	// SaveQuarantined adds a request to the list in the platform's store, from which all instances receive it, also
	// those that start later. It does not block.
	SaveQuarantined func(quarantine.Confirmed)
	// ReleaseQuarantined removes a request from that list. It does not block.
	ReleaseQuarantined func(quarantine.Fingerprint)
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
	endBy       atomic.Pointer[time.Time] // set once the instance stops
	ending      chan struct{}             // closed at endBy
	ctx         context.Context           // of the work in the background, done once the service stops
	cancel      context.CancelFunc
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
}

// New returns a service without routes and targets.
func New(cfg Config) *Service {
	s := &Service{
		cfg: cfg, ready: make(chan struct{}), ending: make(chan struct{}), balancer: balance.NewBalancer(cfg.Instance, cfg.ExtraAttempts), shardIDs: map[string]query.Shard{},
		roster: roster.New(), targets: map[query.TargetID]roster.Entry{}, policies: map[string]*balance.Policy{},
		gates: map[query.Shard]*admission.Gate{}, queues: map[query.Shard]*admission.Queue[*run]{},
		relayChooser: forward.NewChooser(), forwardBudget: newForwardBudget(cfg.ExtraAttempts),
	}
	if cfg.FollowsEarlier {
		restrictedUntil := time.Now().Add(cfg.ExtraAttempts.Span)
		s.balancer.RestrictBudgets(restrictedUntil)
		s.forwardBudget.Restrict(restrictedUntil)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.suspects = newSuspects()
	if cfg.TargetHeartbeat > 0 {
		s.suspects.list.SetHeartbeat(cfg.TargetHeartbeat)
	}
	s.fleet = s.fleetOf(nil, gathered{}, nil)
	s.balancer.SetInstances(s.fleet.all.instances, s.fleet.all.ratePart)
	s.lastAttempt.Store(rand.Uint64())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start subscribes to changes of routes, targets and members, and opens connections in the background.
func (s *Service) Start(context.Context) error {
	ctx := s.ctx
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
	err = kernel.Subscribe(ctx, s.cfg.Bus, func(ev configsync.QuarantineChanged) { s.onQuarantineStored(ev.Confirmed) })
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

// EndRequestsBy ends all requests by a time: their callers get an answer before the process stops, which would cut them
// off. It must be called at most once.
func (s *Service) EndRequestsBy(t time.Time) {
	s.endBy.Store(&t)
	kernel.AfterFunc(time.Until(t), func() { close(s.ending) })
}

// deadline returns the earlier of a request's deadline and the end of all requests.
func (s *Service) deadline(t time.Time) time.Time {
	if end := s.endBy.Load(); end != nil && end.Before(t) {
		return *end
	}
	return t
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

func (s *Service) nextAttempt() query.AttemptID { return query.AttemptID(s.lastAttempt.Add(1)) }

const (
	// noTargetRetryAfter is the delay advised while a service has no target. A target registers within seconds.
	noTargetRetryAfter = time.Second
	// busyRetryAfter is the delay advised by an instance at its limit: the usual time to an answer.
	busyRetryAfter = 50 * time.Millisecond
)
