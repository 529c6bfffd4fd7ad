package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one machine that runs the command of the deploy file.
type gateway struct {
	name, zone, ip string

	settingsPath string
	settings     map[string]any
	output       *os.File
	process      *exec.Cmd
	ended        chan struct{}
}

// newGateway returns a machine that is not started yet.
func newGateway(dir, name, zone, ip, store string, zones []string, seeds []string) (*gateway, error) {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z], _, _ = strings.Cut(z, "-")
	}
	g := &gateway{name: name, zone: zone, ip: ip, settingsPath: filepath.Join(dir, name+".json")}
	// The fields of deploy/settings.json.tmpl, as a machine of krukka-leit has them.
	g.settings = map[string]any{
		"instance": name, "failure_domain": zone, "region": regions[zone], "regions": regions, "callers": ip + ":8226",
		"readiness": ip + ":8227", "control": ip + ":8224", "ip": ip, "store": store, "first_start": true, "seeds": seeds,
		"shutdown_seconds": 6, "memory_mb": 284, "core_share": 0.4, "core_speed": 1, "extra_share": 0.2, "extra_slack": 52,
		"extra_seconds": 10,
	}
	var err error
	g.output, err = os.Create(filepath.Join(dir, name+".log"))
	return g, err
}

// start starts the process. Only the first start is a start of the whole system.
func (g *gateway) start(first bool) error {
	g.settings["first_start"] = first
	raw, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.settingsPath, raw, 0o600); err != nil {
		return err
	}
	g.process = exec.Command("target/hyssopcroft", "gateway")
	g.process.Env = []string{"HYSSOPCROFT_CONFIG=" + g.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.process.Stdout, g.process.Stderr = g.output, g.output
	if err := g.process.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait() // Its status is not used.
		close(ended)
	}(g.process, g.ended)
	return nil
}

func (g *gateway) kill() {
	_ = g.process.Process.Signal(syscall.SIGKILL) // It may have ended.
	select {
	case <-g.ended:
	case <-time.After(2 * time.Second):
	}
}
