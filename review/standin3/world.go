package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// world is a deployment on loopback addresses: gateways as processes, the store and the searchers in this one.
type world struct {
	dir      string
	store    *store
	storeAt  string
	zones    []string
	gateways []*gateway
	start    time.Time
	record   *os.File

	mu sync.Mutex // guards record
}

// gateway is one process of the deploy file.
type gateway struct {
	name, zone                  string
	callers, readiness, control string
	settings                    string
	log                         *os.File
	cmd                         *exec.Cmd
}

func newWorld(recordPath string, zones []string) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: newStore(), zones: zones, start: time.Now(), record: record}
	w.storeAt, err = w.store.start()
	return w, err
}

// logf adds a line to the record, with the time since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time since the start in seconds.
func (w *world) at(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// loopback returns the n-th address of this process, which no other process uses.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8)%200, pid%250+1, n)
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startGateways starts one gateway for each zone in the list, with the settings of a small deployment.
func (w *world) startGateways(zoneOf []string) error {
	regions := map[string]string{}
	for _, z := range w.zones {
		regions[z] = "region-" + z
	}
	var seeds []string
	for n, zone := range zoneOf {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone}
		ip := loopback(n + 10)
		for _, a := range []*string{&g.callers, &g.readiness, &g.control} {
			address, err := freePort(ip)
			if err != nil {
				return err
			}
			*a = address
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.control)
		}
		w.gateways = append(w.gateways, g)
	}
	for n, g := range w.gateways {
		ip := loopback(n + 10)
		settings, err := json.Marshal(map[string]any{
			"instance": g.name, "failure_domain": g.zone, "region": regions[g.zone], "regions": regions,
			"callers": g.callers, "readiness": g.readiness, "control": g.control, "ip": ip, "store": w.storeAt,
			"first_start": true, "seeds": seeds, "shutdown_seconds": 6, "memory_mb": 284, "core_share": 0.4, "core_speed": 1,
			"extra_share": 0.2, "extra_slack": 52, "target_heartbeat_ms": 1200, "extra_seconds": 10,
		})
		if err != nil {
			return err
		}
		g.settings = filepath.Join(w.dir, g.name+".json")
		if err := os.WriteFile(g.settings, settings, 0o600); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(w.dir, g.name+".log")); err != nil {
			return err
		}
		if err := g.run(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (g *gateway) run() error {
	g.cmd = exec.Command("target/hyssopcroft", "gateway")
	g.cmd.Env = []string{"HYSSOPCROFT_CONFIG=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	return g.cmd.Start()
}

// killAll kills all gateways at once and starts them again.
func (w *world) killAll() error {
	for _, g := range w.gateways {
		if err := g.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		_ = g.cmd.Wait() // It was killed.
		raw, err := os.ReadFile(g.settings)
		if err != nil {
			return err
		}
		raw = bytes.Replace(raw, []byte(`"first_start":true`), []byte(`"first_start":false`), 1)
		if err := os.WriteFile(g.settings, raw, 0o600); err != nil {
			return err
		}
		if err := g.run(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// outage takes the store away for a time. The entries of the searchers lapse meanwhile. Each searcher reaches the store again
// from 1 to 1.8 s after its return on.
func (w *world) outage(searchers []*searcher, d time.Duration) {
	w.store.setDown(true)
	for _, s := range searchers {
		s.setAway(true)
	}
	w.logf("the store is away")
	time.Sleep(d)
	for _, s := range searchers {
		w.store.remove("servers", s.id)
	}
	w.store.setDown(false)
	w.logf("the store is back; all entries of searchers have lapsed")
	for n, s := range searchers {
		time.AfterFunc(time.Second+time.Duration(n)*100*time.Millisecond, func() { s.setAway(false) })
	}
}

func (w *world) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, g := range w.gateways {
		deadline := time.Now().Add(15 * time.Second)
		for {
			resp, err := client.Get("http://" + g.readiness + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the world has started.
func (w *world) stop() {
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Kill() // It may have ended.
			_ = g.cmd.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
	w.record.Close()
}

// setConfig writes config/main.
func (w *world) setConfig(version int, routes []map[string]any, services map[string]int) {
	var list []map[string]any
	for name, connections := range services {
		list = append(list, map[string]any{"name": name, "health-path": "/healthz", "max-connections": connections, "protocol": "h1", "tls": false})
	}
	w.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.logf("the store has acknowledged version %d of the configuration", version)
}

// arrival is a request that a searcher has begun to run.
type arrival struct {
	at      time.Time
	id      string
	path    string
	service string
}

// searcher is a stand-in for a searcher, sound unless its fields say otherwise.
type searcher struct {
	world             *world
	id, service, zone string
	address           string
	born              int64
	work              time.Duration
	// deadly is called if the searcher begins to run the deadly request, isDark tells whether its machine has lost power; both
	// may be nil.
	deadly func(id string)
	isDark func() bool

	mu       sync.Mutex
	sequence int  // of its latest write
	written  int  // the sequence in its entry
	silent   bool // it writes no heartbeats
	away     bool // it does not reach the store
	arrivals []arrival
	server   *http.Server
}

// addSearcher starts a sound searcher.
func (w *world) addSearcher(id, service, zone string, work time.Duration) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := w.newSearcher(id, service, zone, l.Addr().String(), work)
	s.serve(l)
	return s, nil
}

func (w *world) newSearcher(id, service, zone, address string, work time.Duration) *searcher {
	s := &searcher{world: w, id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), work: work}
	s.server = &http.Server{Handler: s}
	return s
}

// serve starts the searcher on a listener, with its heartbeats.
func (s *searcher) serve(l net.Listener) {
	go func() { _ = s.server.Serve(l) }() // It ends with the searcher.
	s.heartbeat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			s.heartbeat()
		}
	}()
}

// entry returns what the searcher's entry says.
func (s *searcher) entry() map[string]any {
	return map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 2, "state": "ready",
		"warmup-left-ms": 0, "sequence": s.written, "born": s.born,
	}
}

func (s *searcher) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent || s.away {
		return
	}
	s.sequence++
	if !s.world.store.has("servers", s.id) {
		s.written = s.sequence // A write that changes only the sequence leaves the entry as it is.
	}
	s.world.store.put("servers", s.id, s.entry())
}

// setAway makes the searcher not reach the store, or ends that.
func (s *searcher) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// silence ends the heartbeats.
func (s *searcher) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body := new(bytes.Buffer)
	_, _ = body.ReadFrom(r.Body) // A body that breaks off is not looked at.
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, path: r.URL.Path, service: s.service})
	s.mu.Unlock()
	s.world.logf("searcher %s of %s runs request %s (%s)", s.id, s.service, id, r.URL.Path)
	if s.deadly != nil && r.URL.Path == deadlyPath {
		s.deadly(id)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.isDark != nil && s.isDark() {
		select {} // It answers nothing any more.
	}
	w.Header().Set("Server-Stamp", s.id+"."+id)
	_, _ = w.Write([]byte(s.service + " answers " + r.URL.Path)) // The client may have gone.
}

func (s *searcher) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
