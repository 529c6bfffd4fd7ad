package soak

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
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// shutdownTimeout is the time from SIGTERM to SIGKILL.
	shutdownTimeout = 6 * time.Second
	// recoveryTime is the time after a fault during which an instance may still fail requests.
	recoveryTime = 5 * time.Second
	// instanceMemoryMB is the memory of an instance.
	instanceMemoryMB = 96
	// maxLogBytes is the size above which the captured output of a process is discarded.
	maxLogBytes = 1 << 20
)

// instance is a gateway in a separate process, which is restarted whenever it exits.
type instance struct {
	name, callerAddress, readinessAddress string
	program, settingsPath                 string
	storeProxy                            *proxy
	log                                   lockedBuffer

	mu          sync.Mutex // guards the fields below
	process     *exec.Cmd
	sigtermAt   time.Time // when the last SIGTERM was sent
	disturbedAt time.Time // when the last other fault started or ended
	ready       bool      // by the balancer's readiness probes
	stopped     bool      // the process is not restarted any more
}

// lockedBuffer captures the latest output of a process. It is safe for concurrent writes.
type lockedBuffer struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buf.Len() > maxLogBytes {
		b.buf.Reset()
	}
	return b.buf.Write(p)
}

// processIP returns a loopback address that is derived from the process id, so that no other process uses it. On
// 127.0.0.1, another process that listens on port 0, such as another soak, could get the port of an instance while that
// instance restarts.
func processIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, 1+(pid&0xff)%254)
}

// freePorts returns n distinct ports of an address that are currently free.
func freePorts(ip string, n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }() // Closed after all ports are chosen, so that they differ.
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newInstance(n int, dir, program, storeAddress, ip string, seeds []string, ports []int) (*instance, error) {
	storeProxy, err := newProxy(storeAddress)
	if err != nil {
		return nil, errors.Wrap(err, "start the proxy to the store")
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	i := &instance{
		name: fmt.Sprintf("gateway-%d", n), callerAddress: address(0), readinessAddress: address(1), program: program, storeProxy: storeProxy,
		settingsPath: filepath.Join(dir, fmt.Sprintf("gateway-%d.json", n)),
	}
	raw, err := json.Marshal(map[string]any{
		"instance": i.name, "failure_domain": fmt.Sprintf("d%d", n%2), "region": "r", "regions": map[string]string{"d0": "r", "d1": "r"},
		"callers": i.callerAddress, "readiness": i.readinessAddress, "control": address(2), "ip": ip, "metrics_port": ports[3],
		"store": storeProxy.Addr().String(), "seeds": seeds, "shutdown_seconds": shutdownTimeout.Seconds(),
		"extra_share": 0.2, "extra_slack": 50, "extra_seconds": 10, "memory_mb": instanceMemoryMB,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	return i, errors.Wrap(os.WriteFile(i.settingsPath, raw, 0o600), "write settings")
}

// start starts the process and restarts it whenever it exits.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return nil
	}
	i.process = exec.Command(i.program, "gateway", "--settings", i.settingsPath)
	i.process.Stdout, i.process.Stderr = &i.log, &i.log
	if err := i.process.Start(); err != nil {
		return errors.Wrap(err, "start an instance")
	}
	go func(p *exec.Cmd) {
		_ = p.Wait() // It is restarted whatever its exit status.
		time.Sleep(100 * time.Millisecond)
		if err := i.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}(i.process)
	return nil
}

// signal sends a signal to the process. SIGTERM is followed by SIGKILL after shutdownTimeout; another SIGTERM is ignored
// until recoveryTime after that.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	process := i.process
	switch sig {
	case syscall.SIGTERM:
		if now.Sub(i.sigtermAt) < shutdownTimeout+recoveryTime {
			return
		}
		i.sigtermAt = now
		time.AfterFunc(shutdownTimeout, func() { _ = process.Process.Kill() }) // It may have exited.
	case syscall.SIGHUP:
	default:
		i.disturbedAt = now
	}
	_ = process.Process.Signal(sig) // It may have exited.
}

// markDisturbed records that a fault affects the instance now.
func (i *instance) markDisturbed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbedAt = time.Now()
}

// mustComplete reports whether a request that was sent at the given time must not be interrupted: the instance was
// running or stopping gracefully, and no other fault has affected it recently.
func (i *instance) mustComplete(sentAt time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	sinceStop := sentAt.Sub(i.sigtermAt)
	// Once a stopping instance no longer listens, it may close a connection while a request is being sent on it.
	listening := i.sigtermAt.IsZero() || sinceStop < shutdownTimeout-2500*time.Millisecond || sinceStop > shutdownTimeout+recoveryTime
	return listening && time.Since(i.disturbedAt) > recoveryTime
}

// pollReadiness probes the readiness of the instance as a balancer does, until done is closed. Two failed probes in a
// row make the instance not ready.
func (i *instance) pollReadiness(done <-chan struct{}) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	failedProbes := 2
	for {
		resp, err := client.Get("http://" + i.readinessAddress + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close() // The body is not used.
		}
		failedProbes++
		if ok {
			failedProbes = 0
		}
		i.mu.Lock()
		i.ready = failedProbes < 2
		i.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (i *instance) isReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready
}

// stop kills the process without a restart and closes its proxy to the store.
func (i *instance) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	_ = i.process.Process.Kill() // It may have exited.
	_ = i.storeProxy.Close()     // The listener is not used any more.
}
