// Package rolling replaces each instance of a small fleet in turn under load and counts the requests that fail or are
// degraded. It runs on loopback TCP, or on an in-process network, where time may be virtual.
package rolling

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/fleet"
	"hyssopcroft.example/emulator/pipenet"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/kernel/settings"
)

// Config configures one run.
type Config struct {
	Instances int
	// Workers is the number of callers, each with one request in flight. Half of them keep sending to one instance
	// until it asks them to close the connection; the others choose an instance for each request.
	Workers int
	// BalancerLag is the balancer_lag setting of the instances.
	BalancerLag time.Duration
	// BalancerPoll is the interval between the balancer's readiness probes.
	BalancerPoll time.Duration
	// MeanServiceTime is the mean of the exponential service time of the searchers.
	MeanServiceTime time.Duration
	// Connections is the connection limit of a searcher. If it is below twice the number of instances plus two,
	// searches are sent over relays.
	Connections int
	// SettleTime is the time for which the load runs before the first and after each replacement.
	SettleTime time.Duration
	Seed       uint64
	// Pipes is the network of all connections; if it is nil, they use TCP on loopback.
	Pipes *pipenet.Network
}

// Result counts the requests of a run.
type Result struct {
	Requests int
	// Interrupted is the number of requests that ended without an answer or with an unknown outcome.
	Interrupted int
	// Refused is the number of requests that were refused as not run.
	Refused int
	// Incomplete is the number of searches whose answer did not cover all shards.
	Incomplete int
	// Late is the number of requests that were sent to an instance that had refused new work for more than 3 s.
	Late int
	// RunTwice is the number of executes that ran more than once.
	RunTwice int
	// MaxStopTime is the maximum duration of an instance's shutdown.
	MaxStopTime time.Duration
	// Replaced is the number of instances that were replaced.
	Replaced int
	// Causes is the number of interrupted, refused and incomplete requests by cause.
	Causes map[string]int
}

const (
	plan          = "counter"
	index         = "ledger"
	failureDomain = "caernarfon"
	host          = "127.0.0.1"
	// lateAfter is how long an instance must have refused new work before a request sent to it counts as late.
	lateAfter = 3 * time.Second
	// readyTimeout is the maximum time until the instances are ready.
	readyTimeout = 10 * time.Second
	deadline     = 5 * time.Second
)

// run is the state of one run.
type run struct {
	cfg        Config
	network    app.Network
	fleet      *fleet.Fleet
	balancer   *balancer
	apps       []*app.App
	startCount int

	mu            sync.Mutex // guards the fields below
	result        Result
	refusingSince map[string]time.Time // when an instance starts to refuse new work, by address
	executeKeys   []string
}

func networkFor(pipes *pipenet.Network) app.Network {
	if pipes == nil {
		return app.TCP()
	}
	return app.Network{Listen: pipes.Listen, Dial: pipes.DialContext}
}

// Run replaces each instance once under load and returns the counts.
func Run(cfg Config) (Result, error) {
	network := networkFor(cfg.Pipes)
	f, err := fleet.Start(fleet.Deployment{
		Host: host, Listen: network.Listen, FailureDomains: []string{failureDomain}, Lists: configLists(), Seed: cfg.Seed,
		MeanServiceTime: cfg.MeanServiceTime,
		Indexes:         []fleet.Index{{Name: index, Shards: 4, Replicas: 3, Slots: 8, Connections: cfg.Connections}},
	})
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	r := &run{
		cfg: cfg, network: network, fleet: f, balancer: newBalancer(cfg.BalancerPoll, network.Dial),
		refusingSince: map[string]time.Time{}, result: Result{Causes: map[string]int{}},
	}
	defer r.stopAll()
	for range cfg.Instances {
		if err := r.startInstance(len(r.apps)); err != nil {
			return Result{}, err
		}
	}
	return r.replaceUnderLoad()
}

func (r *run) replaceUnderLoad() (Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background, workers sync.WaitGroup
	background.Go(func() { r.balancer.pollReadiness(ctx) })
	if err := r.balancer.awaitReady(len(r.apps)); err != nil {
		return Result{}, err
	}
	for n := range r.cfg.Workers {
		workers.Go(func() { r.runWorker(ctx, n) })
	}
	err := r.replaceAll()
	cancel()
	workers.Wait()
	background.Wait()
	r.countRepeatedRuns()
	return r.result, err
}

func (r *run) replaceAll() error {
	time.Sleep(r.cfg.SettleTime)
	for n := range r.apps {
		old := r.apps[n]
		if err := r.startInstance(n); err != nil { // The replacement starts first, as in a rolling update.
			return err
		}
		if err := r.balancer.awaitReady(len(r.apps) + 1); err != nil {
			return err
		}
		if err := r.stop(old); err != nil {
			return err
		}
		r.result.Replaced++
		time.Sleep(r.cfg.SettleTime)
	}
	return nil
}

// startInstance starts an instance and stores it as r.apps[n].
func (r *run) startInstance(n int) error {
	r.startCount++
	a, err := app.NewWithNetwork(r.network, app.Settings{
		Instance: fmt.Sprintf("entry-%d", r.startCount), FailureDomain: failureDomain, Region: "wales",
		Listen: host + ":0", Platform: r.fleet.PlatformURL(), BalancerLag: settings.Duration(r.cfg.BalancerLag),
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	if n == len(r.apps) {
		r.apps = append(r.apps, a)
	} else {
		r.apps[n] = a
	}
	r.balancer.add(fmt.Sprintf("entry-%d", r.startCount), a.Address())
	r.fleet.SetInstances(r.balancer.list())
	return errors.Wrap(a.Start(context.Background()), "start instance")
}

func (r *run) stop(a *app.App) error {
	started := time.Now()
	r.mu.Lock()
	r.refusingSince[a.Address()] = started.Add(r.cfg.BalancerLag)
	r.mu.Unlock()
	err := a.Stop(context.Background())
	r.mu.Lock()
	r.result.MaxStopTime = max(r.result.MaxStopTime, time.Since(started))
	r.mu.Unlock()
	r.balancer.remove(a.Address())
	r.fleet.SetInstances(r.balancer.list())
	return err
}

func (r *run) stopAll() {
	var all sync.WaitGroup
	for _, a := range r.apps {
		all.Go(func() { _ = a.Stop(context.Background()) }) // The run is over, so errors can be ignored.
	}
	all.Wait()
}

// countRepeatedRuns counts the executes that ran more than once, as reported by the searchers.
func (r *run) countRepeatedRuns() {
	for _, key := range r.executeKeys {
		runs := 0
		for _, s := range r.fleet.Searchers {
			runs += s.Executions(key)
		}
		if runs > 1 {
			r.result.RunTwice++
		}
	}
}

func configLists() config.Lists {
	limit := config.Limit{
		Plan: plan, Indexes: []string{index}, RatePerSecond: 100_000, Concurrency: 10_000,
		DeadlineMillis: int(deadline.Milliseconds()), LeastCoverage: 0, MayExecute: true,
	}
	p := config.Plan{Name: plan, Priority: config.PriorityHigh, Prefer: config.PreferTail}
	return config.Lists{
		Sequence: 1,
		Plans:    map[string]config.Entry[config.Plan]{plan: {Value: p, Revision: 1}},
		Limits:   map[string]config.Entry[config.Limit]{plan: {Value: limit, Revision: 1}},
	}
}

func liveInstance(id, address string) platform.Instance {
	return platform.Instance{ID: id, Address: address, FailureDomain: failureDomain, State: platform.InstanceLive}
}
