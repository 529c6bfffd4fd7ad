// Command standin runs the scripts of the review: it starts gateways as separate processes before stand-ins for the
// platform's store, the searchers and the clients, and checks what these see.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

// deployment is a small deployment: a store and gateways.
type deployment struct {
	dir      string
	store    *store
	record   *recorder
	gateways []*gateway
	done     chan struct{}
	trouble  bool // whether the disruption happens
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*deployment) error{"refused": runRefused, "recover": runRecover, "poison": runPoison}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	os.Exit(runCase(run, os.Args[2]))
}

// runCase returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func runCase(run func(*deployment) error, recordPath string) int {
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &deployment{dir: dir, store: newStore(), record: record, done: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() { _ = os.RemoveAll(dir) }() // Leftover temporary files are harmless.
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		record.close()
		os.Exit(2)
	}()
	record.print("disruption: %v", d.trouble)
	err = run(d)
	switch {
	case errors.Is(err, errBroken):
		return 1
	case err != nil:
		record.print("the case could not run: %v", err)
		return 2
	}
	record.print("the rule held")
	return 0
}

// startGateways starts n gateways and waits until they are ready. The configuration must be in the store.
func (d *deployment) startGateways(n int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, d.store) }() // It runs until the process exits.
	if d.gateways, err = newGateways(n, d.dir, l.Addr().String(), d.record); err != nil {
		return err
	}
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return err
		}
		go g.pollReady(d.done)
	}
	if !waitUp(d.gateways, 20*time.Second) {
		return errors.New("the gateways are not ready within 20 s")
	}
	time.Sleep(3 * time.Second) // Their traffic starts when they know one another.
	return nil
}

func (d *deployment) stop() {
	close(d.done)
	for _, g := range d.gateways {
		g.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, g := range d.gateways {
			if raw, err := os.ReadFile(g.logPath); err == nil {
				_ = os.WriteFile(keep+"/"+g.name+".log", raw, 0o600)
			}
		}
	}
}

// route returns a route of the configuration.
func route(name, kind, path, backend string) map[string]any {
	return map[string]any{
		"name": name, "host": "pay.example", "path-prefix": path, "type": kind, "timeout-ms": 3000, "target-latency-ms": 300,
		"priority": 2, "backend": backend, "max-attempts": 2,
	}
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, services []service, routes ...map[string]any) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s.name, "health-path": "/healthz", "max-connections": connectionCap, "protocol": "h1", "tls": false})
	}
	d.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	d.record.add("the operator writes version %d", version)
}
