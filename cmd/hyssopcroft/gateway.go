package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"hyssopcroft.example/adapter/http1"
	"hyssopcroft.example/instance/edge"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/kernel/logline"
	"hyssopcroft.example/platform"
)

// logFlushTimeout limits the time to write the remaining log lines at exit.
const logFlushTimeout = 100 * time.Millisecond

type gatewayCommand struct {
	Settings string `required:"" type:"path" env:"HYSSOPCROFT_CONFIG" help:"JSON settings file of the instance."`
}

// Run runs a gateway instance until an interrupt or SIGTERM.
func (c *gatewayCommand) Run() error {
	out := logline.NewWriter(os.Stdout)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		out.Close(ctx)
	}()
	log := slog.New(logline.NewHandler(slog.NewJSONHandler(out, nil)))
	settings, err := edge.LoadSettings(c.Settings)
	if err != nil {
		log.Error("the settings are not valid", "error", err)
		return err
	}
	log = log.With("instance", settings.Instance)
	registry := prometheus.NewRegistry()
	instance, err := edge.New(settings, newAdapter(settings, registry, out, log), registry, log)
	if err != nil {
		log.Error("the instance does not start", "error", err)
		return err
	}
	return c.serve(instance, settings, log)
}

func (c *gatewayCommand) serve(instance *edge.Edge, settings edge.Settings, log *slog.Logger) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := instance.Start(context.Background()); err != nil {
		return errors.Wrap(err, "start instance")
	}
	for {
		select {
		case <-reload:
			c.reload(settings, log)
		case <-stop:
			return instance.Stop(context.Background())
		}
	}
}

// reload checks the settings file and logs whether it changed. It applies nothing: the addresses,
// the failure domain and the region of a process are fixed while it runs, so changed settings take effect at its
// next start.
func (c *gatewayCommand) reload(running edge.Settings, log *slog.Logger) {
	next, err := edge.LoadSettings(c.Settings)
	switch {
	case err != nil:
		log.Error("the changed settings are not valid; the running ones stay", "error", err)
	case reflect.DeepEqual(next, running):
		log.Info("the settings are as before")
	default:
		log.Warn("the settings changed; they take effect at the next start")
	}
}

// responseMemoryShare is the fraction of the process's memory that responses of targets may occupy.
const responseMemoryShare = 0.2

// newAdapter returns the adapter to the platform and registers its metrics.
func newAdapter(s edge.Settings, registry *prometheus.Registry, out *logline.Writer, log *slog.Logger) edge.Adapter {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopcroft_store_calls_total", Help: "Calls of the platform's store by purpose.",
	}, []string{"call"})
	opened := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopcroft_target_connections_total", Help: "Connections opened to targets.",
	})
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hyssopcroft_log_lines_dropped_total", Help: "Log lines dropped because nobody read the output.",
	}, func() float64 { return float64(out.Dropped()) })
	tooLarge := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hyssopcroft_oversized_responses_total", Help: "Responses of targets that exceeded their maximum size or the memory of all responses.",
	})
	registry.MustRegister(calls, opened, dropped, tooLarge)
	client := http1.NewClient(nil, opened.Inc)
	client.LimitMemory(int64(responseMemoryShare * float64(s.MemoryMB<<20)))
	client.OnTooLarge(func(address string) {
		tooLarge.Inc()
		log.Warn("response exceeds its maximum size or the memory of all responses; its connection is closed", "address", address)
	})
	store := platform.NewStore(s.Store, log, func(call string) { calls.WithLabelValues(call).Inc() })
	return edge.Adapter{
		Store: store, Instances: platform.NewInstanceRegistry(store),
		Sender:        platform.NewSender(client, log),
		CallerHandler: func(g *gateway.Service) http.Handler { return platform.CallerHandler(g, log) },
	}
}
