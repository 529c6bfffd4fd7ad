// Package edge assembles an instance that runs opaque requests: its listeners, its services and its
// graceful end.
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
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
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
	// headerTime bounds the time in which a caller sends the header of a request.
	headerTime = 5 * time.Second
	// writeTime bounds the time in which a caller takes an answer, besides the longest request.
	writeTime = time.Minute
	// headerBytes bounds the header of a request.
	headerBytes = 64 << 10
	// timelineEvents is the number of events of the process that are kept.
	timelineEvents = 1024
	// memoryShare is the part of the memory that the heap may fill before it is collected more often.
	// The rest is for stacks, buffers of the system and the binary.
	memoryShare = 0.7
)

// Adapter connects an instance with its platform.
type Adapter struct {
	Store  directory.Store
	Sender gateway.Sender
	// Instances lists the instances of the fleet.
	Instances members.Lister
	// Callers returns the handler of the requests of callers.
	Callers func(s *gateway.Service) http.Handler
}

// Edge is one instance.
type Edge struct {
	settings  Settings
	log       *slog.Logger
	kernel    *kernel.Kernel
	gateway   *gateway.Service
	gate      *gate
	callers   *http.Server
	servers   []*http.Server // that serve until the end of the process
	listeners map[*http.Server]net.Listener
	endWatch  context.CancelFunc // ends the watch for stalls
}

// New assembles an instance and binds its addresses. Nothing is served before Start.
func New(s Settings, a Adapter, registry *prometheus.Registry, log *slog.Logger) (*Edge, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	}
	e := &Edge{
		settings: s, log: log, kernel: kernel.New(), gate: newGate(s.shutdown(), log),
		listeners: map[*http.Server]net.Listener{},
	}
	c := counters.NewSet()
	ring := timeline.NewRing(s.Instance, timelineEvents, hlc.New(time.Now))
	self := membership.Member{
		ID: s.Instance, Address: s.Control, FailureDomain: s.FailureDomain,
		Incarnation: uint64(time.Now().UnixNano()), State: membership.Starting,
	}
	objects := configsync.NewOf(directory.Schema(), directory.NewSource(a.Store, log), e.kernel.Bus(), ring, log, c)
	fleet := members.New(self, a.Instances, objects, e.kernel.Bus(), ring, log, c)
	fleet.UseSeeds(s.Seeds)
	e.gateway = gateway.New(gateway.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions, Sender: a.Sender, Log: log,
		Extra: hedge.BudgetLimits{
			Share: s.ExtraShare, Slack: s.ExtraSlack, Span: time.Duration(s.ExtraSeconds * float64(time.Second)),
		},
		Metrics: gateway.NewMetrics(registry), Bus: e.kernel.Bus(), Members: fleet,
		Tell: peer.NewRelayClient(fleet.Transport()).ReportSuspicion,
	})
	keeper := directory.NewKeeper(a.Store, e.kernel.Bus(), fleet, log)
	for _, service := range []kernel.Service{e.gateway, keeper, objects, fleet} {
		if err := e.kernel.Register(service); err != nil {
			return nil, err
		}
	}
	if err := e.listen(e.peerServer(fleet, objects, c), s.Control); err != nil {
		return nil, err
	}
	kept, err := newKept()
	if err != nil {
		return nil, err
	}
	e.callers = e.server(kept.wrap(e.gate.wrap(a.Callers(e.gateway))))
	e.callers.ConnState = kept.follow
	if err := e.listen(e.callers, s.Callers); err != nil {
		return nil, err
	}
	ready := chi.NewRouter()
	ready.Get("/ready", e.answerReady)
	metrics := chi.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	metrics.Handle("/debug/vars", c)
	for address, handler := range map[string]http.Handler{
		s.Readiness: ready,
		net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort)): metrics,
	} {
		server := e.server(handler)
		e.servers = append(e.servers, server)
		if err := e.listen(server, address); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// peerServer serves the other instances.
func (e *Edge) peerServer(fleet *members.Service, objects *configsync.Service, c *counters.Set) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.MembershipHandler(fleet))
	mux.Handle(peer.DistributionHandler(objects))
	mux.Handle(peer.RelayHandler(relay.New(suspicions{e.gateway}, c)))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: headerTime}
	e.servers = append(e.servers, server)
	return server
}

// suspicions takes suspicions of other instances. A gateway holds no groups of targets for others.
type suspicions struct{ *gateway.Service }

// RunGroup implements relay.Backend.
func (suspicions) RunGroup(_ context.Context, g peer.GroupRequest) peer.GroupResponse {
	return peer.GroupResponse{Reply: group.Reply{Attempt: g.Attempt, Outcome: query.OutcomeNotRun}}
}

// Draining implements relay.Backend. Targets tell the store that they leave.
func (suspicions) Draining(peer.DrainingReport) {}

func (e *Edge) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, WriteTimeout: writeTime, MaxHeaderBytes: headerBytes,
		IdleTimeout: time.Duration(e.settings.IdleTimeout), ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
}

func (e *Edge) listen(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.listeners[s] = l
	return nil
}

// answerReady tells the balancer whether the instance takes requests.
func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.gateway.Ready() || e.gate.phase() != drain.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start starts the services and serves.
func (e *Edge) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "start services")
	}
	for server, listener := range e.listeners {
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				e.log.Error("server ended", "address", listener.Addr().String(), "error", err)
			}
		}()
	}
	watch, endWatch := context.WithCancel(context.Background())
	e.endWatch = endWatch
	go watchStalls(watch, kernel.Sleep, time.Now, e.log)
	e.log.Info("instance started", "callers", e.settings.Callers, "failure_domain", e.settings.FailureDomain)
	return nil
}

// Stop ends the instance gracefully: the balancer is told at once, requests are taken until its callers
// have gone elsewhere, and those in flight are finished.
func (e *Edge) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.settings.shutdown()-stopReserve)
	defer cancel()
	e.log.Info("instance stops")
	defer e.endWatch()
	select {
	case <-e.gate.begin():
	case <-ctx.Done():
	}
	// Closes the listener and idle connections, and waits for answers that are being written.
	err := e.callers.Shutdown(ctx)
	for _, s := range e.servers {
		_ = s.Close() // The process is about to end.
	}
	if stopErr := e.kernel.Stop(ctx); err == nil {
		err = stopErr
	}
	e.log.Info("instance stopped", "requests_cut", e.gate.cut())
	return errors.Wrap(err, "stop instance")
}
