// Package entry serves the requests of callers: it admits them, runs them on the targets and returns the answers.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
	"hyssopcroft.example/query"
)

// Name is the name of the service.
const Name = "entry"

const (
	// pingAfter is the time without incoming data after which a connection with requests in flight is pinged.
	pingAfter = 100 * time.Millisecond
	// pingTimeout is the time without an answer to a ping after which the connection is closed.
	pingTimeout = 200 * time.Millisecond
)

// Service runs search and execute requests. It is safe for concurrent use.
type Service struct {
	instance      string
	failureDomain string
	config        *configsync.Service
	claims        Claims
	limits        Limits
	targetClient  *target.Client
	bus           *kernel.Bus
	log           *slog.Logger
	counters      *counters.Set
	recorder      *trace.Recorder // nil if decisions are not recorded
	ring          *timeline.Ring  // nil if slow queries are not recorded
	slowAfter     time.Duration

	suspects           *suspects
	relayClient        *peer.RelayClient
	members            Members // nil if the instance connects to all targets
	pool               *target.Pool
	peerTransport      *http.Transport
	dial               target.DialFunc // nil for TCP
	dialLimiter        *target.DialLimiter
	cancel             context.CancelFunc
	background         sync.WaitGroup
	lastAttempt        atomic.Uint64
	connected          atomic.Bool
	placementRequested chan struct{}
	opened             map[string]bool // addresses to which updateConnections has connected; used only by placementLoop

	mu      sync.Mutex // guards indexes, peers and source
	indexes map[string]*index
	peers   map[string]membership.Member
	source  *rand.Rand
}

// New returns a service for one instance in the given failure domain.
func New(instance, failureDomain string, cfg *configsync.Service, bus *kernel.Bus, log *slog.Logger, c *counters.Set) *Service {
	peerTransport := peer.NewTransport(nil)
	s := &Service{
		instance: instance, failureDomain: failureDomain, config: cfg,
		bus: bus, log: log, counters: c, relayClient: peer.NewRelayClient(peerTransport),
		peerTransport: peerTransport, dialLimiter: target.NewDialLimiter(),
		suspects: newSuspects(), placementRequested: make(chan struct{}, 1), peers: map[string]membership.Member{},
		indexes: map[string]*index{}, source: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.dialLimiter.Limit(peerTransport)
	s.pool = target.NewPool(s.newTransport)
	s.targetClient = target.NewClient(s.pool)
	s.lastAttempt.Store(rand.Uint64())
	return s
}

// newTransport returns the HTTP transport to one target.
func (s *Service) newTransport() *http.Transport {
	t := target.NewTransport(pingAfter, pingTimeout)
	if s.dial != nil {
		t.DialContext = target.ObserveDial(s.dial)
	}
	s.dialLimiter.Limit(t)
	return t
}

// UseDial sets the function that opens connections to targets and peers. It must be called before Start.
func (s *Service) UseDial(dial target.DialFunc) {
	s.dial, s.peerTransport.DialContext = dial, dial
	s.dialLimiter.Limit(s.peerTransport)
}

// Limits admits requests within the limits of their plans.
type Limits interface {
	// Admit returns a function that must be called when the request has ended, or the problem that refuses it.
	Admit(ctx context.Context, plan string) (release func(), refusal *problem.Problem)
}

// UseLimits sets the limits within which requests are admitted. It must be called before Start.
func (s *Service) UseLimits(l Limits) { s.limits = l }

// UseRecorder sets the recorder of the decisions of queries. It must be called before Start.
func (s *Service) UseRecorder(r *trace.Recorder) { s.recorder = r }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service. There are no dependencies, so that the subscriptions
// exist before the first event.
func (s *Service) Dependencies() []string { return nil }

// Start subscribes to changes of maps, targets, quarantined requests and members, and starts placementLoop.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	err := kernel.Subscribe(ctx, s.bus, func(ev configsync.SnapshotsPublished) {
		s.ensureIndex(ev.Index).publish(ev.Maps)
	})
	if err != nil {
		return err
	}
	err = kernel.Subscribe(ctx, s.bus, func(ev configsync.TargetsChanged) {
		s.ensureIndex(ev.Index).setTargets(ev.Targets)
		s.requestPlacement()
	})
	if err != nil {
		return err
	}
	err = kernel.Subscribe(ctx, s.bus, func(ev configsync.QuarantineChanged) { s.suspects.importConfirmed(ev.Confirmed) })
	if err != nil {
		return err
	}
	s.background.Go(func() { s.placementLoop(ctx) })
	return kernel.Subscribe(ctx, s.bus, func(members.Changed) { s.requestPlacement() })
}

// Stop ends placementLoop and closes idle connections.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.background.Wait()
	s.pool.CloseIdleConnections()
	s.peerTransport.CloseIdleConnections()
	return nil
}

// Search implements caller.Backend.
func (s *Service) Search(ctx context.Context, c caller.SearchRequest) (caller.SearchResult, *problem.Problem) {
	start := time.Now()
	limit, p := s.authorise(c.Plan, c.Index)
	if p != nil {
		s.counters.Counter("search_refused_" + string(p.Code)).Add(1)
		return caller.SearchResult{}, p
	}
	ix, ok := s.lookup(c.Index)
	if !ok {
		return caller.SearchResult{}, refusal(http.StatusNotFound, problem.UnknownIndex, "no index is named "+c.Index)
	}
	release, p := s.limits.Admit(ctx, c.Plan)
	if p != nil {
		s.counters.Counter("search_refused_" + string(p.Code)).Add(1)
		return caller.SearchResult{}, p
	}
	defer release()
	req := query.Request{
		ID: query.RequestID(s.randomUint64()), Plan: c.Plan, Index: c.Index, Query: c.Query, Limit: c.Limit,
		Deadline: start.Add(searchTimeout(limit, c.DeadlineMillis)), PreferCoverage: s.prefersCoverage(c.Plan),
		Priority: query.ParsePriority(s.priorityOf(c.Plan)),
	}
	admitted, p := s.admitSearch(ix, req)
	if p != nil {
		s.counters.Counter("search_refused_" + string(p.Code)).Add(1)
		return caller.SearchResult{}, p
	}
	req.Overloaded = admitted.ticket.Overloaded
	answer, mayHaveRun, p := s.scatter(ctx, ix, req)
	admitted.end(p == nil && ctx.Err() == nil, answer.Coverage)
	if p != nil {
		return caller.SearchResult{}, p
	}
	s.counters.Counter("searches_answered").Add(1)
	return s.result(answer, limit, mayHaveRun)
}

// result returns the answer, or a problem if it covers fewer shards than the plan demands. mayHaveRun is false if no
// target can have run a part of the search.
func (s *Service) result(a query.Answer, limit config.Limit, mayHaveRun bool) (caller.SearchResult, *problem.Problem) {
	shards := len(a.Coverage.Included) + len(a.Coverage.Missing)
	if float64(len(a.Coverage.Included)) < limit.LeastCoverage*float64(shards) {
		s.counters.Counter("search_refused_" + string(problem.CoverageShort)).Add(1)
		p := refusal(http.StatusGatewayTimeout, problem.CoverageShort, "the answer covers fewer shards than the plan demands")
		if mayHaveRun {
			p.RunState = problem.MayHaveRun
		}
		return caller.SearchResult{}, p
	}
	return caller.SearchResult{
		Request: a.Request.String(), Instance: s.instance, Index: a.Index, Snapshot: a.Snapshot,
		Complete: a.Coverage.Complete(), Coverage: a.Coverage, Hits: a.Hits,
	}, nil
}

// authorise returns the limit of the plan if the plan may use the index.
func (s *Service) authorise(plan, index string) (config.Limit, *problem.Problem) {
	lists, known := s.config.InForce()
	if !known {
		return config.Limit{}, refusal(http.StatusServiceUnavailable, problem.NotReady, "no configuration is in force yet")
	}
	entry, ok := lists.Plans[plan]
	if !ok {
		return config.Limit{}, refusal(http.StatusForbidden, problem.UnknownPlan, "no plan is named "+plan)
	}
	limit, ok := lists.Limits[plan]
	if entry.Value.Suspended {
		return config.Limit{}, refusal(http.StatusForbidden, problem.PlanRefused, "plan "+plan+" is suspended")
	}
	if !ok || !slices.Contains(limit.Value.Indexes, index) {
		return config.Limit{}, refusal(http.StatusForbidden, problem.PlanRefused, "plan "+plan+" may not use index "+index)
	}
	return limit.Value, nil
}

func (s *Service) prefersCoverage(plan string) bool {
	lists, _ := s.config.InForce()
	return lists.Plans[plan].Value.Prefer == config.PreferCoverage
}

// searchTimeout returns the requested timeout if it is set and below the limit's, or the limit's.
func searchTimeout(limit config.Limit, requestedMillis int) time.Duration {
	requested := time.Duration(requestedMillis) * time.Millisecond
	if requested > 0 && requested < limit.Deadline() {
		return requested
	}
	return limit.Deadline()
}

// refusal returns a problem for a request that certainly did not run.
func refusal(status int, code problem.Code, message string) *problem.Problem {
	return &problem.Problem{Status: status, Code: code, Message: message, RunState: problem.NotRun}
}

func (s *Service) randomUint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

func (s *Service) nextAttempt() query.AttemptID {
	return query.AttemptID(s.lastAttempt.Add(1))
}

func (s *Service) lookup(name string) (*index, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ix, ok := s.indexes[name]
	return ix, ok
}

// ensureIndex returns the index of a name and creates it if it does not exist.
func (s *Service) ensureIndex(name string) *index {
	s.mu.Lock()
	defer s.mu.Unlock()
	ix, ok := s.indexes[name]
	if !ok {
		ix = newIndex(name, s.failureDomain, rand.New(rand.NewPCG(s.source.Uint64(), s.source.Uint64())))
		s.indexes[name] = ix
	}
	return ix
}
