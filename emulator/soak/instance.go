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
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// calmBefore is the time without disruption of an instance that a graceful stop needs to count.
	calmBefore = 5 * time.Second
	// maxLogBytes bounds the output that is kept of a process.
	maxLogBytes = 1 << 20
)

// instance is one gateway as a process of its own. It is restarted whenever it ends.
type instance struct {
	name, callers, readiness string
	program, settings        string
	store                    *proxy
	log                      lockedBuffer

	mu        sync.Mutex // guards the fields below
	process   *exec.Cmd
	stopping  time.Time // of the latest SIGTERM
	disturbed time.Time // latest other disruption
	ready     bool      // as the balancer sees it
	ended     bool      // the soak has ended
}

// lockedBuffer keeps the last output of a process.
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

// ownIP returns a loopback address that no other process uses. An instance that is down for a moment would
// lose a port of 127.0.0.1 to the next listener that asks for any port, such as that of another soak.
func ownIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, 1+(pid&0xff)%254)
}

// freePorts returns ports of an address that are free now.
func freePorts(ip string, n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }() // After all are chosen, so that they differ.
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newInstance(n int, dir, program, storeAddress, ip string, seeds []string, ports []int) (*instance, error) {
	store, err := newProxy(storeAddress)
	if err != nil {
		return nil, errors.Wrap(err, "proxy to the store")
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	i := &instance{
		name: fmt.Sprintf("gateway-%d", n), callers: address(0), readiness: address(1), program: program, store: store,
		settings: filepath.Join(dir, fmt.Sprintf("gateway-%d.json", n)),
	}
	raw, err := json.Marshal(map[string]any{
		"instance": i.name, "failure_domain": fmt.Sprintf("d%d", n%2), "region": "r", "regions": map[string]string{"d0": "r", "d1": "r"},
		"callers": i.callers, "readiness": i.readiness, "control": address(2), "ip": ip, "metrics_port": ports[3],
		"store": store.Addr().String(), "seeds": seeds, "shutdown_seconds": grace.Seconds(),
		"extra_share": 0.2, "extra_slack": 50, "extra_seconds": 10,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	return i, errors.Wrap(os.WriteFile(i.settings, raw, 0o600), "write settings")
}

// start starts the process, and starts it again after it has ended.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return nil
	}
	i.process = exec.Command(i.program, "gateway", "--settings", i.settings)
	i.process.Stdout, i.process.Stderr = &i.log, &i.log
	if err := i.process.Start(); err != nil {
		return errors.Wrap(err, "start an instance")
	}
	go func(p *exec.Cmd) {
		_ = p.Wait() // However it ended, it is started again.
		time.Sleep(100 * time.Millisecond)
		if err := i.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}(i.process)
	return nil
}

// signal sends a signal to the process. A graceful stop is followed by a kill at the end of its time.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	process := i.process
	switch sig {
	case syscall.SIGTERM:
		if now.Sub(i.stopping) < grace+calmBefore {
			return
		}
		i.stopping = now
		time.AfterFunc(grace, func() { _ = process.Process.Kill() }) // It may have ended.
	case syscall.SIGHUP:
	default:
		i.disturbed = now
	}
	_ = process.Process.Signal(sig) // It may have ended.
}

func (i *instance) disturb() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = time.Now()
}

// cutCounts reports whether a request that was sent at the time may not be cut: the instance was stopping
// gracefully or running, and nothing else has happened to it.
func (i *instance) cutCounts(sent time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	stoppedFor := sent.Sub(i.stopping)
	// Beyond the time in which the instance listens, a connection may end as a request is sent on it.
	listens := i.stopping.IsZero() || stoppedFor < grace-2500*time.Millisecond || stoppedFor > grace+calmBefore
	return listens && time.Since(i.disturbed) > calmBefore
}

// watchReady follows the readiness of the instance as a balancer does: two misses take it out.
func (i *instance) watchReady(done <-chan struct{}) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	misses := 2
	for {
		resp, err := client.Get("http://" + i.readiness + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close() // Nothing of it is used.
		}
		misses++
		if ok {
			misses = 0
		}
		i.mu.Lock()
		i.ready = misses < 2
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

// end ends the process for good.
func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	_ = i.process.Process.Kill() // It may have ended.
	_ = i.store.Close()          // Nothing listens there any more.
}
