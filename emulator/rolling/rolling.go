// Package rolling replaces each instance of a small fleet in turn under load and counts what callers
// notice. It runs on loopback, or on a network inside the process, where time may be virtual.
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

// Config describes one run.
type Config struct {
	Instances int
	// Workers is the number of callers, each with one request in flight. Half of them keep their
	// connection until the instance asks them to close it; the others choose for each request.
	Workers int
	// BalancerLag is the setting of the instances.
	BalancerLag time.Duration
	// BalancerPoll is the time between two looks of the balancer at each instance.
	BalancerPoll time.Duration
	// MeanServiceTime is the mean of the exponential service time of the searchers.
	MeanServiceTime time.Duration
	// Connections is the connection limit of a searcher. Below twice the number of instances plus
	// two, searches go over relays.
	Connections int
	// Settle is how long the load runs before the first and after each replacement.
	Settle time.Duration
	Seed   uint64
	// Pipes carries all connections; nil stands for TCP on loopback.
	Pipes *pipenet.Network
}

// Result counts the requests of a run.
type Result struct {
	Requests int
	// Cut requests ended without an answer or with an unknown outcome.
	Cut int
	// Refused requests were told that they were not run.
	Refused int
	// Incomplete searches were answered without all shards.
	Incomplete int
	// Late requests went to an instance that had refused new work for 3 s.
	Late int
	// RunTwice counts the requests that may not be repeated and ran more than once.
	RunTwice int
	// LongestStop is the longest shutdown of an instance.
	LongestStop time.Duration
	// Replaced is the number of instances that were replaced.
	Replaced int
	// Causes counts cut and refused requests by cause.
	Causes map[string]int
}

const (
	plan          = "counter"
	index         = "ledger"
	failureDomain = "caernarfon"
	host          = "127.0.0.1"
	// lateAfter is the time of refusal after which new work counts as late.
	lateAfter = 3 * time.Second
	// readyTimeout bounds the start of an instance.
	readyTimeout = 10 * time.Second
	deadline     = 5 * time.Second
)

// run is the state of one run.
type run struct {
	cfg      Config
	network  app.Network
	fleet    *fleet.Fleet
	balancer *balancer
	apps     []*app.App
	starts   int

	mu       sync.Mutex // guards the fields below
	result   Result
	refusing map[string]time.Time // by address
	keys     []string             // of executes
}

func networkOf(pipes *pipenet.Network) app.Network {
	if pipes == nil {
		return app.TCP()
	}
	return app.Network{Listen: pipes.Listen, Dial: pipes.DialContext}
}

// Run replaces each instance once and returns what the callers noticed.
func Run(cfg Config) (Result, error) {
	network := networkOf(cfg.Pipes)
	f, err := fleet.Start(fleet.Deployment{
		Host: host, Listen: network.Listen, FailureDomains: []string{failureDomain}, Lists: lists(), Seed: cfg.Seed,
		MeanServiceTime: cfg.MeanServiceTime,
		Indexes:         []fleet.Index{{Name: index, Shards: 4, Replicas: 3, Slots: 8, Connections: cfg.Connections}},
	})
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	r := &run{
		cfg: cfg, network: network, fleet: f, balancer: newBalancer(cfg.BalancerPoll, network.Dial),
		refusing: map[string]time.Time{}, result: Result{Causes: map[string]int{}},
	}
	defer r.stopAll()
	for range cfg.Instances {
		if err := r.startInstance(len(r.apps)); err != nil {
			return Result{}, err
		}
	}
	return r.underLoad()
}

func (r *run) underLoad() (Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background, workers sync.WaitGroup
	background.Go(func() { r.balancer.watch(ctx) })
	if err := r.balancer.awaitReady(len(r.apps)); err != nil {
		return Result{}, err
	}
	for n := range r.cfg.Workers {
		workers.Go(func() { r.work(ctx, n) })
	}
	err := r.replaceAll()
	cancel()
	workers.Wait()
	background.Wait()
	r.countRuns()
	return r.result, err
}

func (r *run) replaceAll() error {
	time.Sleep(r.cfg.Settle)
	for n := range r.apps {
		old := r.apps[n]
		if err := r.startInstance(n); err != nil { // The new one comes first, as in a rolling update.
			return err
		}
		if err := r.balancer.awaitReady(len(r.apps) + 1); err != nil {
			return err
		}
		if err := r.stop(old); err != nil {
			return err
		}
		r.result.Replaced++
		time.Sleep(r.cfg.Settle)
	}
	return nil
}

// startInstance starts an instance in the given place.
func (r *run) startInstance(n int) error {
	r.starts++
	a, err := app.NewWithNetwork(r.network, app.Settings{
		Instance: fmt.Sprintf("entry-%d", r.starts), FailureDomain: failureDomain, Region: "wales",
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
	r.balancer.add(fmt.Sprintf("entry-%d", r.starts), a.Address())
	r.fleet.SetInstances(r.balancer.list())
	return errors.Wrap(a.Start(context.Background()), "start instance")
}

func (r *run) stop(a *app.App) error {
	begin := time.Now()
	r.mu.Lock()
	r.refusing[a.Address()] = begin.Add(r.cfg.BalancerLag)
	r.mu.Unlock()
	err := a.Stop(context.Background())
	r.mu.Lock()
	r.result.LongestStop = max(r.result.LongestStop, time.Since(begin))
	r.mu.Unlock()
	r.balancer.remove(a.Address())
	r.fleet.SetInstances(r.balancer.list())
	return err
}

func (r *run) stopAll() {
	var all sync.WaitGroup
	for _, a := range r.apps {
		all.Go(func() { _ = a.Stop(context.Background()) }) // The run is over; nothing is counted.
	}
	all.Wait()
}

// countRuns asks the searchers how often each execute ran.
func (r *run) countRuns() {
	for _, key := range r.keys {
		runs := 0
		for _, s := range r.fleet.Searchers {
			runs += s.Executions(key)
		}
		if runs > 1 {
			r.result.RunTwice++
		}
	}
}

func lists() config.Lists {
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

func instanceOf(id, address string) platform.Instance {
	return platform.Instance{ID: id, Address: address, FailureDomain: failureDomain, State: platform.InstanceLive}
}
