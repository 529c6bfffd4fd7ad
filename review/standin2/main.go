// Command standin2 plays a case of the second review: the project's gateways as processes before stand-ins for the platform's
// store, its balancer, searchers and clients, on loopback addresses. It uses the standard library only.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	held = iota
	broken
	couldNotRun
)

func main() {
	plays := map[string]func(d *deployment, trouble bool) int{"recover": (*deployment).playRecover, "deadly": (*deployment).playDeadly}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: standin2 recover|deadly RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(run(os.Args[2], func(d *deployment) int { return plays[os.Args[1]](d, os.Getenv("TROUBLE") != "0") }))
}

func run(recordPath string, play func(d *deployment) int) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer os.RemoveAll(dir)
	d, err := newDeployment(dir, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		rec.say("could not run: %v", err)
		return couldNotRun
	}
	return play(d)
}

// deployment is one like krukka-leit: six machines in three zones, ten shards of three searchers.
type deployment struct {
	network  string // the first three bytes of its loopback addresses
	record   *record
	store    *store
	gateways []*gateway

	mu        sync.Mutex // guards searchers
	searchers map[string][]*searcher
	started   int
}

var (
	zones        = []string{"austur-a", "reykjanes-a", "nordur-a"}
	machineZones = []string{"austur-a", "austur-a", "austur-a", "reykjanes-a", "nordur-a", "nordur-a"}
)

func newDeployment(dir string, rec *record) (*deployment, error) {
	pid := os.Getpid()
	d := &deployment{network: fmt.Sprintf("127.%d.%d.", 64+pid/250%64, pid%250), record: rec, searchers: map[string][]*searcher{}}
	var err error
	if d.store, err = newStore(d.network + "1"); err != nil {
		return nil, err
	}
	for n := range shards {
		for _, zone := range zones {
			if err := d.addSearcher(shardName(n), zone); err != nil {
				return d, err
			}
		}
	}
	d.configure()
	var seeds []string
	for _, n := range []int{0, 3, 4} {
		seeds = append(seeds, fmt.Sprintf("%s%d:8224", d.network, 10+n))
	}
	for n, zone := range machineZones {
		g, err := newGateway(dir, fmt.Sprintf("front-%d", n+1), zone, fmt.Sprintf("%s%d", d.network, 10+n), d.store.addr, zones, seeds)
		if err != nil {
			return d, err
		}
		if err := g.start(true); err != nil {
			return d, err
		}
		d.gateways = append(d.gateways, g)
	}
	return d, nil
}

func shardName(n int) string { return fmt.Sprintf("ledger%d", n) }

// workTime is the mean work of a lookup.
const workTime = 7500 * time.Microsecond

func (d *deployment) addSearcher(service, zone string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	s, err := startSearcher(d.network+"2", fmt.Sprintf("i-%04x", d.started), service, zone, workTime, d.store, d.record)
	if err == nil {
		d.searchers[service] = append(d.searchers[service], s)
	}
	return err
}

func (d *deployment) configure() {
	var names []string
	var services []any
	for n := range shards {
		names = append(names, shardName(n))
		services = append(services, map[string]any{"name": shardName(n), "health-path": "/healthz", "max-connections": 25, "protocol": "h1", "tls": false})
	}
	route := map[string]any{
		"name": "r-lookup", "host": host, "path-prefix": "/lookup/", "type": "idempotent", "timeout-ms": 1200, "target-latency-ms": 150,
		"priority": 1, "gather": names, "max-attempts": 2, "top-k": topRecords, "min-coverage": minCoverage,
	}
	board := map[string]any{
		"name": "r-board", "host": host, "path-prefix": "/board/", "type": "idempotent", "timeout-ms": 1200, "target-latency-ms": 300,
		"priority": 2, "backend": boardService, "max-attempts": 2,
	}
	services = append(services, map[string]any{"name": boardService, "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false})
	d.store.put("config", "main", map[string]any{
		"version": 7, "routes": []any{route, board}, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

func (d *deployment) stop() {
	for _, g := range d.gateways {
		if g.process != nil && g.process.Process != nil {
			g.kill()
		}
	}
}
