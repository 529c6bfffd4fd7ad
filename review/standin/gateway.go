package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is the time from SIGTERM to SIGKILL, grace-s of a small deployment.
	graceTime = 6 * time.Second
	// restartDelay is the delay after which the platform starts a process again that has ended.
	restartDelay = 200 * time.Millisecond
)

// gateway is an instance of the project in a process of its own, started as the deploy file says.
type gateway struct {
	name, zone, ip          string
	callers, ready, control string
	settings                string
	logPath                 string
	record                  *recorder

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	ended   chan struct{} // closed when process has ended
	stopped bool
	up      bool // as the platform's questions for readiness say
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newGateways writes the settings files of n instances, with the fields and values of the deploy file's template.
func newGateways(n int, dir, storeAddress string, record *recorder) ([]*gateway, error) {
	pid := os.Getpid()
	var list []*gateway
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 10+i)
		ports, err := freePorts(ip, 3)
		if err != nil {
			return nil, err
		}
		at := func(k int) string { return fmt.Sprintf("%s:%d", ip, ports[k]) }
		list = append(list, &gateway{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], ip: ip, callers: at(0), ready: at(1), control: at(2),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.json", i+1)), logPath: filepath.Join(dir, fmt.Sprintf("front-%d.log", i+1)), record: record,
		})
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region-" + z[len("zone-"):]
	}
	var seeds []string
	for _, g := range list[:min(3, len(list))] {
		seeds = append(seeds, g.control)
	}
	for _, g := range list {
		raw, err := json.MarshalIndent(map[string]any{
			"instance": g.name, "failure_domain": g.zone, "region": regions[g.zone], "regions": regions,
			"callers": g.callers, "readiness": g.ready, "control": g.control, "ip": g.ip, "store": storeAddress,
			"first_start": true, "seeds": seeds, "shutdown_seconds": graceTime.Seconds(), "memory_mb": 284,
			"core_share": 0.4, "core_speed": 1, "extra_share": 0.2, "extra_slack": 52, "extra_seconds": 10,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.settings, raw, 0o600); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // Kept until all are chosen, so that they differ.
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts the process, and starts it again whenever it ends.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	out, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command("target/hyssopcroft", "gateway")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HYSSOPCROFT_CONFIG=" + g.settings}
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return err
	}
	g.process, g.ended = p, make(chan struct{})
	g.record.add("%s started, process %d", g.name, p.Process.Pid)
	go func(ended chan struct{}) {
		err := p.Wait()
		_ = out.Close()
		g.record.add("%s ended: %v", g.name, err)
		close(ended)
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			g.record.print("%s does not start again: %v", g.name, err)
		}
	}(g.ended)
	return nil
}

// signal sends a signal to the process. SIGTERM is followed by SIGKILL after graceTime.
func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.add("%s gets %v", g.name, sig)
	p := g.process
	if sig == syscall.SIGTERM {
		time.AfterFunc(graceTime, func() { _ = p.Process.Kill() }) // It has usually ended.
	}
	_ = p.Process.Signal(sig) // It may have ended.
}

// stop ends the process for good.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopped = true
	p, ended := g.process, g.ended
	g.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Kill()
	<-ended
}

func (g *gateway) isUp() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up
}

// pollReady asks for readiness once a second, as the platform does.
func (g *gateway) pollReady(done <-chan struct{}) {
	client := http.Client{Timeout: 900 * time.Millisecond}
	misses := 2
	for {
		resp, err := client.Get("http://" + g.ready + "/ready")
		if err == nil {
			_ = resp.Body.Close() // The body is not used.
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		g.mu.Lock()
		g.up = misses < 2
		g.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// waitUp waits until all instances are ready.
func waitUp(list []*gateway, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, g := range list {
			all = all && g.isUp()
		}
		if all {
			return true
		}
	}
	return false
}
