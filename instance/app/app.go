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
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/claims"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/entry"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/instance/operator"
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
	server   *http.Server
	listener net.Listener
}

// New assembles an instance and binds its address. Nothing is served before Start.
func New(s Settings, log *slog.Logger) (*App, error) {
	s = s.withDefaults()
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	log = log.With("instance", s.Instance)
	k := kernel.New()
	c := counters.NewSet()
	ring := timeline.NewRing(s.Instance, s.TimelineEvents, hlc.New(time.Now))
	client := platform.NewClient(s.Platform, http.DefaultTransport, func(p platform.Purpose) {
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
		Instance: s.Instance, Client: client, Members: m, Targets: e, Peers: peer.NewTransport(nil),
		Bus: k.Bus(), Log: log, Counters: c,
	})
	e.UseClaims(cl)
	op := operator.New(s.Instance, s.FailureDomain, client, cfg, m, ring, c)
	for _, service := range []kernel.Service{e, cfg, m, cl, op} {
		if err := k.Register(service); err != nil {
			return nil, err
		}
	}
	return &App{settings: s, log: log, kernel: k, server: newServer(e, op, m, cfg, cl, c), listener: listener}, nil
}

func newServer(e *entry.Service, op *operator.Service, m *members.Service, cfg *configsync.Service, cl *claims.Service, c *counters.Set) *http.Server {
	r := chi.NewRouter()
	caller.Routes(r, e)
	admin.Routes(r, op, c)
	prefix, handler := peer.MembershipHandler(m)
	r.Handle(prefix+"*", handler)
	prefix, handler = peer.DistributionHandler(cfg)
	r.Handle(prefix+"*", handler)
	prefix, handler = peer.ExecutionHandler(cl)
	r.Handle(prefix+"*", handler)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: r, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout, ConnContext: peer.ConnContext(m.Traffic()),
	}
}

// readHeaderTimeout ends connections whose peer sends no complete request header.
const readHeaderTimeout = 5 * time.Second

// Start starts the services and serves.
func (a *App) Start(ctx context.Context) error {
	if err := a.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "start services")
	}
	go func() {
		if err := a.server.Serve(peer.Listener{Listener: a.listener}); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("server ended", "error", err)
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

// Stop finishes the requests in flight and stops the services, within the shutdown timeout.
func (a *App) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.settings.ShutdownTimeout))
	defer cancel()
	err := a.server.Shutdown(ctx)
	if stopErr := a.kernel.Stop(ctx); err == nil {
		err = stopErr
	}
	a.log.Info("instance stopped")
	return errors.Wrap(err, "stop instance")
}
