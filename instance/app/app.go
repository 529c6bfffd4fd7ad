// Package app assembles an instance from its settings.
package app

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/adapter/stamp"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/control/drain"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/claims"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/conndrain"
	"hyssopcroft.example/instance/entry"
	"hyssopcroft.example/instance/ingress"
	"hyssopcroft.example/instance/limits"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/instance/operator"
	"hyssopcroft.example/instance/relay"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// App is one instance.
type App struct {
	settings Settings
	log      *slog.Logger
	kernel   *kernel.Kernel
	members  *members.Service
	drain    *drainer

	server      *http.Server
	guard       *ingress.Guard
	connections *connections
	// httpConns closes the HTTP/1.1 connections; connections closes the rest.
	httpConns  *conndrain.Conns
	idle       []*http.Transport // transports whose idle connections Stop closes
	listener   net.Listener
	closeTrace func() error
}

// Network opens the listener and the connections of an instance.
type Network struct {
	Listen func(address string) (net.Listener, error)
	// Dial opens all connections of the instance. The default is TCP.
	Dial target.DialFunc
}

// TCP returns the TCP network of the host.
func TCP() Network {
	return Network{Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) }}
}

// New assembles an instance and binds its address. No requests are served before Start.
func New(s Settings, log *slog.Logger) (*App, error) {
	return NewWithNetwork(TCP(), s, log)
}

// NewWithNetwork is like New, but uses the given network instead of TCP.
func NewWithNetwork(network Network, s Settings, log *slog.Logger) (*App, error) {
	s = s.withDefaults()
	listener, err := network.Listen(s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	log = log.With("instance", s.Instance)
	k := kernel.New()
	c := counters.NewSet()
	ring := timeline.NewRing(s.Instance, s.TimelineEvents, hlc.New(time.Now))
	stamps := stamp.New(ring.Clock())
	recorder, closeTrace, err := openRecorder(s, c)
	if err != nil {
		_ = listener.Close() // The earlier error is returned.
		return nil, err
	}
	store := platform.NewTransport()
	claimPeers, limitPeers := peer.NewTransport(nil), peer.NewTransport(nil)
	client := platform.NewClient(s.Platform, store, func(p platform.Purpose) {
		c.Counter("platform_calls_" + string(p)).Add(1)
	})
	self := membership.Member{
		ID: s.Instance, Address: listener.Addr().String(), FailureDomain: s.FailureDomain,
		Incarnation: uint64(time.Now().UnixNano()), State: membership.Starting,
	}
	cfg := configsync.New(client, k.Bus(), ring, log, c)
	m := members.New(self, client, cfg, k.Bus(), ring, log, c)
	e := entry.New(s.Instance, s.FailureDomain, cfg, k.Bus(), log, c)
	cl := claims.New(claims.Config{
		Instance: s.Instance, Client: client, Members: m, Targets: e, Peers: stamps.Transport(claimPeers),
		Bus: k.Bus(), Log: log, Counters: c,
	})
	e.UseClaims(cl)
	li := limits.New(limits.Config{
		Instance: s.Instance, Client: client, Members: m, Lists: cfg, Peers: stamps.Transport(limitPeers),
		Ring: ring, Log: log, Counters: c, Recorder: recorder,
	})
	e.UseLimits(li)
	e.UseMembers(m)
	if network.Dial != nil {
		store.DialContext, claimPeers.DialContext, limitPeers.DialContext = network.Dial, network.Dial, network.Dial
		m.UseDial(network.Dial)
		e.UseDial(network.Dial)
	}
	e.UseRecorder(recorder)
	e.UseTimeline(ring, stamps, time.Duration(s.SlowQuery))
	cfg.UseRecorder(recorder, s.Instance)
	rel := relay.New(e, c)
	op := operator.New(s.Instance, s.FailureDomain, client, cfg, m, ring, c)
	op.UseRecorder(recorder)
	op.AddReadinessCheck(li.Ready)
	// An instance opens 20 connections a second, so that its first queries would miss their deadlines
	// if it were ready before it is connected.
	op.AddReadinessCheck(e.Connected)
	for _, service := range []kernel.Service{e, cfg, m, cl, li, op, rel} {
		if err := k.Register(service); err != nil {
			return nil, err
		}
	}
	d := newDrainer(e, s, c, func(p drain.Phase) {
		ev := DrainPhase{Instance: s.Instance, Phase: p.String()}
		log.Info("drain phase changed", "phase", ev.Phase)
		ring.Add(ev.Topic(), ev.Instance, ev.Phase)
		if err := k.Bus().Publish(ev); err != nil {
			log.Error("event not published", "topic", ev.Topic(), "error", err)
		}
	})
	rel.UseDrain(d.startRequest, d.endRequest)
	a := &App{
		settings: s, log: log, kernel: k, members: m, drain: d, connections: newConnections(), httpConns: conndrain.New(),
		idle: []*http.Transport{store, claimPeers, limitPeers}, listener: listener, closeTrace: closeTrace,
	}
	if a.guard, err = newGuard(s, log, c); err != nil {
		_ = listener.Close() // The earlier error is returned.
		return nil, err
	}
	a.server = newServer(a.guard, s, op, d, c,
		route(peer.MembershipHandler(m)), route(peer.DistributionHandler(cfg)), route(peer.ExecutionHandler(cl)).stamped(stamps),
		route(peer.LendingHandler(li)).stamped(stamps), route(peer.RelayHandler(rel)).stamped(stamps))
	a.server.ConnState = func(c net.Conn, s http.ConnState) {
		a.connections.onStateChange(c, s)
		ingress.OnConnState(c, s)
		a.httpConns.OnConnState(c, s)
	}
	countTraffic := peer.ConnContext(m.Traffic())
	a.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return countTraffic(ingress.ConnContext(ctx, c), c)
	}
	return a, nil
}

const (
	// clientConnShare is the fraction of the file descriptors, and clientMemoryShare the fraction of the memory, that
	// callers, operators and peers may use.
	clientConnShare, clientMemoryShare = 0.6, 0.3
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 32 << 10
)

// newGuard bounds what clients make the process hold.
func newGuard(s Settings, log *slog.Logger, c *counters.Set) (*ingress.Guard, error) {
	limits, err := ingress.LimitsFor(clientConnShare, clientMemoryShare, int64(s.MemoryMB)<<20)
	if err != nil {
		return nil, err
	}
	turnedAway := c.Counter("clients_turned_away")
	return ingress.New(ingress.Config{
		Limits: limits, Log: log, OnTurnedAway: func(string) { turnedAway.Add(1) }, Refusal: encodeRefusal,
		Head: func() ingress.HeadLimits { return ingress.HeadLimits{Bytes: maxHeaderBytes, Time: readHeaderTimeout} },
	}), nil
}

// encodeRefusal encodes the refusal of a request that was not read.
func encodeRefusal(status int, reason string) []byte {
	p := problem.Problem{Code: problem.Overloaded, Message: reason, RunState: problem.NotRun}
	switch status {
	case http.StatusRequestTimeout:
		p.Code = problem.BodyLate
	case http.StatusRequestHeaderFieldsTooLarge:
		p.Code = problem.TooLarge
	case http.StatusServiceUnavailable:
		p.RetryAfterMillis = ingress.RetryAfter.Milliseconds()
	}
	return problem.Encode(&p)
}

// peerRoute is the handler of one twirp service and the prefix of its paths.
type peerRoute struct {
	prefix  string
	handler http.Handler
}

func route(prefix string, handler http.Handler) peerRoute { return peerRoute{prefix, handler} }

// stamped reads and writes the clock stamps in the headers of a route. Exchanges and pushes have them in
// their messages instead.
func (p peerRoute) stamped(stamps *stamp.Propagator) peerRoute {
	return peerRoute{p.prefix, stamps.Handler(p.handler)}
}

func newServer(guard *ingress.Guard, s Settings, operators admin.Backend, callers *drainer, c *counters.Set, peers ...peerRoute) *http.Server {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(withBodyTimeout(time.Duration(s.BodyTimeout)))
		r.Group(func(r chi.Router) {
			r.Use(callers.closeWhileLeaving)
			caller.Routes(r, callers)
		})
		admin.Routes(r, operators, c)
	})
	for _, p := range peers {
		r.Handle(p.prefix+"*", p.handler)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: guard.Handler(r, time.Duration(s.BodyTimeout)), Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: time.Duration(s.IdleTimeout), MaxHeaderBytes: ingress.HTTP2HeadBytes,
		HTTP2: &http.HTTP2Config{MaxReadFrameSize: ingress.HTTP2FrameBytes, MaxReceiveBufferPerConnection: ingress.HTTP2ReceiveBytes, MaxReceiveBufferPerStream: ingress.HTTP2ReceiveBytes},
	}
}

// readHeaderTimeout bounds the time in which a client sends a request header. The connection is closed
// if the header is incomplete by then.
const readHeaderTimeout = 5 * time.Second

// Start starts the services and the HTTP server.
func (a *App) Start(ctx context.Context) error {
	if err := a.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "start services")
	}
	listener, err := a.guard.Wrap(a.listener, a.httpConns.Wrap)
	if err != nil {
		return err
	}
	go func() {
		if err := a.server.Serve(peer.Listener{Listener: listener}); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("HTTP server failed", "error", err)
		}
	}()
	a.log.Info("instance started", "listen", a.Address(), "failure_domain", a.settings.FailureDomain)
	return nil
}

// Entry returns the service that runs requests, for callers in the same process.
func (a *App) Entry() *entry.Service {
	e, err := kernel.Lookup[*entry.Service](a.kernel, entry.Name)
	if err != nil {
		panic(err)
	}
	return e
}

// Address returns the address on which the instance listens.
func (a *App) Address() string { return a.listener.Addr().String() }

// Stop shuts the instance down gracefully: it announces that the instance is leaving, serves until the
// load balancer has detected this, refuses new requests, waits for the requests in flight and stops the
// services. It takes at most the shutdown timeout.
func (a *App) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.settings.ShutdownTimeout))
	defer cancel()
	idle := a.drain.begin()
	a.members.Leave()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	a.httpConns.Drain(ctx)
	err := a.connections.close(ctx, a.server)
	if stopErr := a.kernel.Stop(ctx); err == nil {
		err = stopErr
	}
	if traceErr := a.closeTrace(); err == nil {
		err = traceErr
	}
	for _, t := range a.idle {
		t.CloseIdleConnections()
	}
	a.log.Info("instance stopped", "requests_cut", a.drain.aborted())
	return errors.Wrap(err, "stop instance")
}
