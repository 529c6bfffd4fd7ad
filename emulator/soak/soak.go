// Package soak runs gateways as separate processes against stand-ins for the platform, injects random faults from
// outside, and checks what callers and targets observe: a caller gets only the answer to its own request; the reported
// coverage is correct; a request that was refused as not run has not run; non-idempotent requests run at most once; a
// draining target gets no requests after a grace period; a graceful stop interrupts no requests; the version of the
// routes never decreases; a target gets no more requests than it states; a request that has crashed three targets crashes
// no more; crowds of clients that misbehave make no instance exceed its memory; and the gateways recover after the last
// fault.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultInstances = 4
	// callersPerInstance is the number of callers for each instance.
	callersPerInstance = 3
	// settleTime is the time without new faults at the start and at the end. Recovery is then checked for half of it.
	settleTime = 6 * time.Second
	// maxFaultInterval is the maximum time between the starts of two faults.
	maxFaultInterval = 1200 * time.Millisecond
	// maxFaultDuration is the maximum duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
	// movedServiceCount is the number of services between which the moved route rotates.
	movedServiceCount = 4
	// storeOutage is the time for which the store is away before a restore, maxCopyAge the maximum age of the copy, and
	// writeAgainDelay the time until the operator and the searchers have written again what it lacks.
	storeOutage     = 300 * time.Millisecond
	maxCopyAge      = 5 * time.Second
	writeAgainDelay = time.Second
	// applyTime is the time after which undisturbed instances have applied a version of the routes.
	applyTime = 3 * time.Second
	// limitedRate is the limit in requests a second that one searcher states. It gets several times as many without a
	// limit.
	limitedRate = 6
	// minServedShare is the minimum share of requests that must be served after recovery from the last fault.
	minServedShare = 0.95
)

// Config configures a run.
type Config struct {
	Seed uint64
	// Instances is the number of instances; 0 stands for 4.
	Instances int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Program is the path of the hyssopcroft executable.
	Program string
	// LogDir is the directory to which the output of the instances is written if there are violations. Nothing is
	// written if it is empty.
	LogDir string
}

// Result is the outcome of a run.
type Result struct {
	Requests   int64          `json:"Asked"` // sent by callers
	Served     int64          // answered with status 200
	Faults     map[string]int // number of faults by name
	Crashes    int            // of targets, on the one request that crashes them
	Crowds     int64          // of clients that misbehaved
	Violations []string
}

type soak struct {
	seed        uint64
	random      *rand.Rand
	store       *store
	recorder    *recorder
	instances   []*instance
	requests    atomic.Int64
	served      atomic.Int64
	crowds      atomic.Int64 // of clients that misbehave
	faultCounts map[string]int
	limits      callerLimits // of callers' requests, in each configuration

	mu               sync.Mutex             // guards the fields below
	searchers        map[string][]*searcher // by service
	searchersStarted int
	latestVersion    int         // of the routes in the store
	inForceVersion   int         // minimum version of the routes in force at the instances, 0 if unknown
	storeDisturbedAt time.Time   // when the last fault of the store started or ended
	crashes          []time.Time // of the fragile searchers
	restores         []time.Time // of the store
	killsOfAll       []time.Time // of the instances
}

// Run runs a soak. Violations are part of the result; an error means that the soak itself failed.
func Run(cfg Config) (Result, error) {
	if cfg.Instances == 0 {
		cfg.Instances = defaultInstances
	}
	callerCount := callersPerInstance * cfg.Instances
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Result{}, errors.Wrap(err, "create a temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }() // Leftover temporary files are harmless.
	s := &soak{
		seed: cfg.Seed, random: rand.New(rand.NewPCG(cfg.Seed, 1)), store: newStore(), recorder: newRecorder(), faultCounts: map[string]int{},
		searchers: map[string][]*searcher{}, limits: defaultCallerLimits,
	}
	if err := s.start(dir, cfg.Program, cfg.Instances); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range callerCount {
		c := &caller{soak: s, client: &http.Client{Transport: &http.Transport{}}, random: rand.New(rand.NewPCG(cfg.Seed, uint64(n)+3))}
		callers.Go(func() { c.run(ctx) })
	}
	callers.Go(func() { s.submitCrashingRequest(ctx, rand.New(rand.NewPCG(cfg.Seed, 2))) })
	done := make(chan struct{})
	for _, i := range s.instances {
		go i.pollReadiness(done)
	}
	limited := s.searchers["single"][0]
	limited.mu.Lock()
	limited.rateLimit = limitedRate
	limited.mu.Unlock()
	time.Sleep(settleTime)
	faultsDone := make(chan struct{})
	var crowds sync.WaitGroup
	crowds.Go(func() { s.sendCrowds(faultsDone) })
	s.injectFaults(cfg.Duration)
	close(faultsDone)
	crowds.Wait()
	time.Sleep(recoveryTime)
	undisturbedSince := time.Now()
	time.Sleep(settleTime)
	requests, served := s.requests.Load(), s.served.Load()
	time.Sleep(settleTime / 2)
	requests, served = s.requests.Load()-requests, s.served.Load()-served
	cancel()
	callers.Wait()
	close(done)
	for _, i := range s.instances {
		i.stop()
	}
	limited.checkRate(undisturbedSince)
	s.checkCrashes()
	if float64(served) < minServedShare*float64(requests) || requests == 0 {
		s.recorder.addViolation("recovery: %d of %d requests served after the last fault", served, requests)
	}
	r := Result{Requests: s.requests.Load(), Served: s.served.Load(), Faults: s.faultCounts, Crashes: s.crashCount(), Crowds: s.crowds.Load(), Violations: s.recorder.finalCheck()}
	if len(r.Violations) > 0 && cfg.LogDir != "" {
		return r, s.writeLogs(cfg.LogDir)
	}
	return r, nil
}

// writeLogs writes the captured output of each instance to a file in dir.
func (s *soak) writeLogs(dir string) error {
	for _, i := range s.instances {
		if err := os.WriteFile(filepath.Join(dir, i.name+".log"), i.log.buf.Bytes(), 0o600); err != nil {
			return errors.Wrap(err, "write the log of an instance")
		}
	}
	return nil
}

func (s *soak) start(dir, program string, instanceCount int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start the listener of the store")
	}
	go func() { _ = http.Serve(l, s.store) }() // It runs until the process exits.
	if err := s.startSearchers(); err != nil {
		return err
	}
	for n := range fragileCount {
		if err := s.startFragile(n, rand.New(rand.NewPCG(s.seed, fragileStream+uint64(n)))); err != nil {
			return err
		}
	}
	s.publishRoutes()
	ip := processIP()
	ports, err := freePorts(ip, 4*instanceCount)
	if err != nil {
		return err
	}
	seeds := []string{fmt.Sprintf("%s:%d", ip, ports[2]), fmt.Sprintf("%s:%d", ip, ports[6])}
	for n := range instanceCount {
		i, err := newInstance(n, dir, program, l.Addr().String(), ip, seeds, ports[4*n:4*n+4])
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) startSearchers() error {
	for _, service := range services() {
		for range 2 {
			if _, err := s.addSearcher(service); err != nil {
				return err
			}
		}
	}
	return nil
}

func shardNames() []string {
	var names []string
	for n := range shardCount {
		names = append(names, fmt.Sprintf("shard%d", n))
	}
	return names
}

func services() []string {
	names := append(shardNames(), "single")
	for v := range movedServiceCount {
		names = append(names, movedService(v))
	}
	return names
}

// movedService returns the service of the moved route in a version of the routes.
func movedService(version int) string { return fmt.Sprintf("moved%d", version%movedServiceCount) }

// addSearcher starts a searcher behind a proxy and registers it in the store.
func (s *soak) addSearcher(service string) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start the listener of a searcher")
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "start the proxy to a searcher")
	}
	s.mu.Lock()
	s.searchersStarted++
	sr := &searcher{id: fmt.Sprintf("%s-%d", service, s.searchersStarted), service: service, recorder: s.recorder, proxy: p}
	s.searchers[service] = append(s.searchers[service], sr)
	s.mu.Unlock()
	go func() { _ = http.Serve(l, sr) }() // It runs until the process exits.
	s.register(sr, "ready")
	return sr, nil
}

func (s *soak) register(sr *searcher, state string) {
	s.store.put("servers", sr.id, map[string]any{
		"backend": sr.service, "address": sr.proxy.Addr().String(), "zone": "d0", "state": state, "slots": 4, "born": time.Now().UnixMilli(),
	})
}

// publishRoutes stores a new version of the routes, in which the moved route goes to the next service. If the store and
// the instances are undisturbed after applyTime, the version counts as in force.
func (s *soak) publishRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestVersion++
	v := s.latestVersion
	time.AfterFunc(applyTime, func() {
		if s.isUndisturbed() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.inForceVersion = max(s.inForceVersion, v)
		}
	})
	route := func(name, path, kind string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path-prefix": path, "type": kind, "timeout-ms": 1200, "target-latency-ms": 200, "max-attempts": 2, "priority": 1,
		}
		for k, value := range extra {
			r[k] = value
		}
		return r
	}
	var list []map[string]any
	for _, name := range services() {
		list = append(list, map[string]any{"name": name, "max-connections": 50})
	}
	list = append(list, map[string]any{"name": fragileService, "max-connections": 50})
	s.store.put("config", "main", map[string]any{
		"version": v,
		"routes": []any{
			route("all", "/all/", "idempotent", map[string]any{"gather": shardNames(), "top-k": topK, "min-coverage": float64(minParts) / shardCount}),
			route("once", "/once/", "non_idempotent", map[string]any{"backend": "single"}),
			route("fragile", "/fragile/", "idempotent", map[string]any{"backend": fragileService}),
			route("moved", "/moved/", "idempotent", map[string]any{"backend": movedService(v)}),
		},
		"services": list, "limits": map[string]any{
			"max-header-bytes": s.limits.headBytes, "max-body-bytes": s.limits.bodyBytes, "header-timeout-ms": s.limits.headTime.Milliseconds(),
		},
	})
}

// mayRouteMovedTo reports whether the moved route goes to the service in any version from minVersion on. It is always
// true if minVersion is 0, because no version is known to be in force then.
func (s *soak) mayRouteMovedTo(minVersion int, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := minVersion; v <= s.latestVersion; v++ {
		if movedService(v) == service {
			return true
		}
	}
	return minVersion == 0
}

// minVersionInForce returns the minimum version of the routes that is in force at the instances, 0 if it is unknown.
func (s *soak) minVersionInForce() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForceVersion
}

// readyInstance returns a random ready instance, as the balancer does, or nil if there is none.
func (s *soak) readyInstance(random *rand.Rand) *instance {
	var ready []*instance
	for _, i := range s.instances {
		if i.isReady() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

// injectFaults injects random faults, which may overlap, for the given time, and waits until all have ended.
func (s *soak) injectFaults(d time.Duration) {
	var active sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		f := faults[s.random.IntN(len(faults))]
		s.faultCounts[f.name]++
		endFault := f.start(s)
		duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
		active.Go(func() {
			time.Sleep(duration)
			endFault()
		})
		time.Sleep(time.Duration(s.random.Int64N(int64(maxFaultInterval))))
	}
	active.Wait()
}

type fault struct {
	name string
	// start starts the fault and returns a function that ends it.
	start func(s *soak) func()
}

func noop() {}

var faults = []fault{
	{"stop", func(s *soak) func() { s.randomInstance().signal(syscall.SIGTERM); return noop }},
	{"kill", func(s *soak) func() { s.randomInstance().signal(syscall.SIGKILL); return noop }},
	{"reload", func(s *soak) func() { s.randomInstance().signal(syscall.SIGHUP); return noop }},
	{"pause", func(s *soak) func() {
		i := s.randomInstance()
		i.signal(syscall.SIGSTOP)
		return func() { i.signal(syscall.SIGCONT) }
	}},
	{"kill all", func(s *soak) func() {
		s.mu.Lock()
		s.killsOfAll = append(s.killsOfAll, time.Now())
		s.mu.Unlock()
		for _, i := range s.instances {
			i.signal(syscall.SIGKILL)
		}
		return noop
	}},
	{"store down", func(s *soak) func() {
		s.markStoreDisturbed()
		s.store.setDown(true)
		return func() { s.store.setDown(false); s.markStoreDisturbed() }
	}},
	{"store path", func(s *soak) func() {
		i := s.randomInstance()
		i.markDisturbed()
		s.markStoreDisturbed()
		i.storeProxy.setMode(linkMode(s.random.IntN(int(linkModeCount))))
		return func() {
			i.storeProxy.setMode(linkPass)
			i.storeProxy.resetConnections()
			i.markDisturbed()
			s.markStoreDisturbed()
		}
	}},
	{"searcher path", func(s *soak) func() {
		sr := s.randomSearcher()
		sr.proxy.setMode(linkMode(s.random.IntN(int(linkModeCount))))
		return func() { sr.proxy.setMode(linkPass); sr.proxy.resetConnections() }
	}},
	{"searcher resets", func(s *soak) func() { s.randomSearcher().proxy.resetConnections(); return noop }},
	{"searcher behaves", func(s *soak) func() {
		sr := s.randomSearcher()
		sr.setMode(answerMode(1 + s.random.IntN(int(answerModeCount)-1)))
		return func() { sr.setMode(answerNormal) }
	}},
	{"searcher leaves", (*soak).replaceSearcher},
	{"store restored", func(s *soak) func() {
		s.markStoreDisturbed()
		s.store.setDown(true)
		time.Sleep(storeOutage)
		s.mu.Lock()
		s.restores = append(s.restores, time.Now())
		s.mu.Unlock()
		writeAgain := s.store.restore(time.Duration(s.random.Int64N(int64(maxCopyAge))))
		s.store.setDown(false)
		time.AfterFunc(writeAgainDelay, writeAgain)
		return s.markStoreDisturbed
	}},
	{"routes", func(s *soak) func() { s.publishRoutes(); return noop }},
}

func (s *soak) randomInstance() *instance { return s.instances[s.random.IntN(len(s.instances))] }

func (s *soak) randomSearcher() *searcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.searchers[services()[s.random.IntN(len(services()))]]
	return list[s.random.IntN(len(list))]
}

// markStoreDisturbed records that a fault affects the store now.
func (s *soak) markStoreDisturbed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDisturbedAt = time.Now()
}

// isUndisturbed reports whether no fault has affected the store or an instance recently. A graceful stop does not count.
func (s *soak) isUndisturbed() bool {
	s.mu.Lock()
	latest := s.storeDisturbedAt
	s.mu.Unlock()
	for _, i := range s.instances {
		i.mu.Lock()
		if i.disturbedAt.After(latest) {
			latest = i.disturbedAt
		}
		i.mu.Unlock()
	}
	return time.Since(latest) > drainTimeout+recoveryTime
}

// replaceSearcher starts a searcher and drains another one of the same service. The returned function deletes the entry
// of the drained searcher.
func (s *soak) replaceSearcher() func() {
	old := s.randomSearcher()
	if _, err := s.addSearcher(old.service); err != nil {
		s.recorder.addViolation("stand-in: %v", err)
		return noop
	}
	s.mu.Lock()
	list := s.searchers[old.service]
	for n, sr := range list {
		if sr == old {
			s.searchers[old.service] = append(list[:n:n], list[n+1:]...)
		}
	}
	s.mu.Unlock()
	s.register(old, "draining")
	old.drain(func() bool { return !s.isUndisturbed() })
	return func() { s.store.put("servers", old.id, nil) }
}
