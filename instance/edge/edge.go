// Package edge assembles an instance that serves opaque requests: its listeners, its services and its graceful
// shutdown.
package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/drain"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/conndrain"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/instance/ingress"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/instance/relay"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/hedge"
)

const (
	// headerTimeout limits the time in which a caller sends the header of a request.
	headerTimeout = 5 * time.Second
	// writeTimeout limits the time from the header of a request until the caller has read the response. It allows
	// for the longest request.
	writeTimeout = time.Minute
	// timelineEvents is the number of timeline events that the process retains.
	timelineEvents = 1024
	// heapShare is the fraction of the memory above which the garbage collector runs more often. The rest is for
	// stacks, system buffers and the binary.
	heapShare = 0.65
	// callerConnShare is the fraction of the file descriptors that connections of callers may use, callerMemoryShare the
	// fraction of the memory for these connections and their requests. The other descriptors are for targets, peers
	// and the store.
	callerConnShare, callerMemoryShare = 0.6, 0.3
	// internalConnShare and internalMemoryShare are the same for peers, readiness and metrics together.
	internalConnShare, internalMemoryShare = 0.15, 0.15
)

// Adapter connects an instance to its platform.
type Adapter struct {
	Store  directory.Store
	Sender gateway.Sender
	// Instances lists the instances of the fleet.
	Instances members.Lister
	// CallerHandler returns the handler for requests of callers.
	CallerHandler func(s *gateway.Service) http.Handler
}

// Edge is an instance that serves opaque requests.
type Edge struct {
	settings       Settings
	log            *slog.Logger
	kernel         *kernel.Kernel
	gateway        *gateway.Service
	fleet          *members.Service
	gate           *gate
	callersGuard   *ingress.Guard
	internalGuard  *ingress.Guard // of peers, readiness and metrics
	callers        *http.Server
	callerConns    *conndrain.Conns
	servers        []*http.Server // the other servers, closed after callers has shut down
	listeners      map[*http.Server]net.Listener
	stopStallWatch context.CancelFunc // stops watchStalls
}

// New assembles an instance and binds its addresses. The instance serves no requests before Start.
func New(s Settings, a Adapter, registry *prometheus.Registry, log *slog.Logger) (*Edge, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB<<20)))
	}
	e := &Edge{
		settings: s, log: log, kernel: kernel.New(), gate: newGate(s.shutdownTimeout(), log),
		listeners: map[*http.Server]net.Listener{}, callerConns: conndrain.New(),
	}
	if err := e.newGuards(registry); err != nil {
		return nil, err
	}
	c := counters.NewSet()
	ring := timeline.NewRing(s.Instance, timelineEvents, hlc.New(time.Now))
	self := membership.Member{
		ID: s.Instance, Address: s.Control, FailureDomain: s.FailureDomain, Capacity: s.capacity(),
		Incarnation: uint64(time.Now().UnixNano()), State: membership.Starting,
	}
	objects := configsync.NewWithSchema(directory.Schema(), directory.NewSource(a.Store, log), e.kernel.Bus(), ring, log, c)
	objects.UseQuarantineStore(a.Store)
	fleet := members.New(self, a.Instances, objects, e.kernel.Bus(), ring, log, c)
	fleet.UseSeeds(s.Seeds)
	if s.FirstStart {
		objects.OnFirstStart()
		fleet.OnFirstStart()
	}
	e.fleet = fleet
	relays := peer.NewRelayClient(fleet.Transport())
	e.gateway = gateway.New(gateway.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions, Sender: a.Sender, Log: log,
		ExtraAttempts: hedge.BudgetLimits{
			Share: s.ExtraShare, Slack: s.ExtraSlack, Span: time.Duration(s.ExtraSeconds * float64(time.Second)),
		},
		TargetHeartbeat: time.Duration(s.TargetHeartbeatMS * float64(time.Millisecond)),
		FollowsEarlier:  !s.FirstStart,
		Metrics:         gateway.NewMetrics(registry), Bus: e.kernel.Bus(), Members: fleet,
		SendSuspicion: relays.ReportSuspicion, SaveQuarantined: objects.AddQuarantined, ReleaseQuarantined: objects.RemoveQuarantined, Forward: relays.Forward, ConnectRelay: relays.Connect,
	})
	saver := directory.NewTargetSaver(a.Store, e.kernel.Bus(), fleet, log)
	for _, service := range []kernel.Service{e.gateway, saver, objects, fleet} {
		if err := e.kernel.Register(service); err != nil {
			return nil, err
		}
	}
	if err := e.listen(e.peerServer(fleet, objects, c), s.Control, e.internalGuard); err != nil {
		return nil, err
	}
	if err := e.listenForCallers(a.CallerHandler(e.gateway)); err != nil {
		return nil, err
	}
	ready := chi.NewRouter()
	ready.Get("/ready", e.serveReady)
	metrics := chi.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	metrics.Handle("/debug/vars", c)
	for address, handler := range map[string]http.Handler{
		s.Readiness: ready,
		net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)): metrics,
	} {
		server := e.server(e.internalGuard.Handler(handler, headerTimeout))
		server.ConnState, server.ConnContext = ingress.OnConnState, ingress.ConnContext
		e.servers = append(e.servers, server)
		if err := e.listen(server, address, e.internalGuard); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// newGuards bounds what callers, and what the clients of the other listeners, make the process hold.
func (e *Edge) newGuards(registry *prometheus.Registry) error {
	turnedAway := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopcroft_clients_turned_away_total", Help: "Requests and connections of clients that were turned away for lack of memory or connections, or for their headers.",
	}, []string{"listener"})
	registry.MustRegister(turnedAway)
	memory := int64(e.settings.MemoryMB) << 20
	newGuard := func(listener string, connShare, memoryShare float64, head func() ingress.HeadLimits) (*ingress.Guard, error) {
		limits, err := ingress.LimitsFor(connShare, memoryShare, memory)
		if err != nil {
			return nil, err
		}
		return ingress.New(ingress.Config{
			Limits: limits, Head: head, Log: e.log, OnTurnedAway: func(string) { turnedAway.WithLabelValues(listener).Inc() },
		}), nil
	}
	var err error
	if e.callersGuard, err = newGuard("callers", callerConnShare, callerMemoryShare, e.headLimits); err != nil {
		return err
	}
	e.internalGuard, err = newGuard("internal", internalConnShare, internalMemoryShare, nil)
	return err
}

// headLimits returns the limits of a caller's header in the configuration in force.
func (e *Edge) headLimits() ingress.HeadLimits {
	limits, _ := e.gateway.Limits() // Without a configuration they are zero, which stands for the defaults.
	return ingress.HeadLimits{Bytes: limits.HeaderBytes, Time: limits.HeaderTimeout}
}

func (e *Edge) listenForCallers(handler http.Handler) error {
	limiter := newConnLimiter(e.callersGuard.Limits().Connections)
	e.callers = e.server(e.callersGuard.Handler(limiter.wrap(e.gate.wrap(handler)), 0))
	e.callers.ConnContext = ingress.ConnContext
	e.callers.ConnState = func(conn net.Conn, state http.ConnState) {
		limiter.onConnState(conn, state)
		ingress.OnConnState(conn, state)
		e.callerConns.OnConnState(conn, state)
	}
	l, err := net.Listen("tcp", e.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.listeners[e.callers], err = e.callersGuard.Wrap(l, e.callerConns.Wrap)
	return err
}

// peerServer returns the server for the other instances.
func (e *Edge) peerServer(fleet *members.Service, objects *configsync.Service, c *counters.Set) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.MembershipHandler(fleet))
	mux.Handle(peer.DistributionHandler(objects))
	relayService := relay.New(relayBackend{e.gateway}, c)
	relayService.UseDrain(e.gate.start, e.gate.end)
	path, handler := peer.RelayHandler(relayService)
	mux.Handle(path, peer.ConfirmForwarded(handler))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: e.internalGuard.Handler(mux, headerTimeout), Protocols: &protocols, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: ingress.HTTP2HeadBytes,
		HTTP2:     &http.HTTP2Config{MaxReadFrameSize: ingress.HTTP2FrameBytes, MaxReceiveBufferPerConnection: ingress.HTTP2ReceiveBytes, MaxReceiveBufferPerStream: ingress.HTTP2ReceiveBytes},
		ConnState: ingress.OnConnState, ConnContext: ingress.ConnContext,
	}
	e.servers = append(e.servers, server)
	return server
}

// relayBackend implements relay.Backend. It accepts the suspicions of other instances, but runs no groups of targets
// for them.
type relayBackend struct{ *gateway.Service }

// RunGroup implements relay.Backend.
func (relayBackend) RunGroup(_ context.Context, g peer.GroupRequest) peer.GroupResponse {
	return peer.GroupResponse{Reply: group.Reply{Attempt: g.Attempt, Outcome: query.OutcomeNotRun}}
}

// Draining implements relay.Backend. It does nothing: targets report in the store that they are draining.
func (relayBackend) OnDrainingReport(peer.DrainingReport) {}

func (e *Edge) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: ingress.ServerHeadBytes,
		IdleTimeout: time.Duration(e.settings.IdleTimeout), ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
}

func (e *Edge) listen(s *http.Server, address string, guard *ingress.Guard) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.listeners[s], err = guard.Wrap(l, nil)
	return err
}

// serveReady reports to the load balancer whether the instance accepts requests.
func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.gateway.Ready() || e.gate.phase() != drain.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start starts the services and the servers.
func (e *Edge) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "start services")
	}
	for server, listener := range e.listeners {
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				e.log.Error("server failed", "address", listener.Addr().String(), "error", err)
			}
		}()
	}
	stallCtx, stopStallWatch := context.WithCancel(context.Background())
	e.stopStallWatch = stopStallWatch
	go watchStalls(stallCtx, kernel.Sleep, time.Now, e.log)
	e.log.Info("instance started", "callers", e.settings.Callers, "failure_domain", e.settings.FailureDomain)
	return nil
}

// Stop shuts the instance down gracefully. The readiness check fails at once, new requests are accepted until the
// load balancer sends them elsewhere, and requests in flight are finished.
func (e *Edge) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.settings.shutdownTimeout()-stopReserve)
	defer cancel()
	e.log.Info("instance stops")
	defer e.stopStallWatch()
	e.gateway.EndRequestsBy(time.Now().Add(e.settings.shutdownTimeout() - stopReserve - answerReserve))
	drained := e.gate.begin()
	e.fleet.Leave()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	e.callerConns.Drain(ctx)
	err := e.callers.Shutdown(ctx)
	for _, s := range e.servers {
		_ = s.Close() // The process is about to end.
	}
	if stopErr := e.kernel.Stop(ctx); err == nil {
		err = stopErr
	}
	e.log.Info("instance stopped", "requests_cut", e.gate.aborted())
	return errors.Wrap(err, "stop instance")
}
