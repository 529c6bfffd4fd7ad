//go:build crowd

package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	searches "hyssopcroft.example/adapter/caller"
	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/fleet"
)

const (
	// memoryMB is the memory of the process under test, memoryBytes the bound of what it holds and the kernel holds for it.
	memoryMB    = 96
	memoryBytes = memoryMB << 20
	// crowdSize is the number of clients that misbehave at the same time.
	crowdSize = 1500
	// ampleDescriptors is a limit of descriptors that the crowd does not reach, scarceDescriptors one below its size.
	ampleDescriptors, scarceDescriptors = 4100, 1000
	// holdTime is the time for which the clients keep what they have sent. It is more than the time for a header.
	holdTime = 4 * time.Second
	// giveUpTime ends a test whose process answers nobody.
	giveUpTime = 60 * time.Second
	// minFreeDescriptors is the share of descriptors that is left for targets, peers and the store.
	minFreeDescriptors = 0.2
)

var crowdLimits = callerLimits{headBytes: 16 << 10, bodyBytes: 256 << 10, headTime: 3 * time.Second}

func programs(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "hyssopcroft.example/cmd/hyssopcroft").CombinedOutput()
	require.NoError(t, err, string(out))
	return filepath.Join(dir, "hyssopcroft")
}

// process is a program under test.
type process struct {
	*exec.Cmd
	exited chan struct{}
	output lockedBuffer
}

// startProcess starts a program with a limit of descriptors.
func startProcess(t *testing.T, descriptors int, program string, args ...string) *process {
	t.Helper()
	p := &process{exited: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p.Cmd = exec.Command("sh", append([]string{"-c", script, program}, args...)...)
	p.Stdout, p.Stderr = &p.output, &p.output
	require.NoError(t, p.Start())
	go func() {
		_ = p.Wait() // The test fails if it exits by itself.
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill() // It may have exited.
		<-p.exited
	})
	return p
}

// usage is the most that a process has held.
type usage struct {
	bytes       int64 // resident, together with what the kernel has received for it
	resident    int64
	unread      int64
	descriptors int
}

// String returns the usage for the log of a test.
func (u usage) String() string {
	return fmt.Sprintf("%d MB (at most %d resident, %d unread), %d descriptors", u.bytes>>20, u.resident>>20, u.unread>>20, u.descriptors)
}

// observe adds the present usage. It reports whether the process runs.
func (u *usage) observe(t *testing.T, p *process, port int) {
	t.Helper()
	select {
	case <-p.exited:
		require.FailNow(t, "the process has ended", tail(&p.output))
	default:
	}
	present, greatest, err := residentBytes(p.Process.Pid)
	require.NoError(t, err)
	unread, err := unreadBytes(port)
	require.NoError(t, err)
	descriptors, err := openDescriptors(p.Process.Pid)
	require.NoError(t, err)
	u.bytes = max(u.bytes, greatest, present+unread)
	u.resident, u.unread = max(u.resident, greatest), max(u.unread, unread)
	u.descriptors = max(u.descriptors, descriptors)
}

func tail(b *lockedBuffer) string {
	const most = 4000
	b.mu.Lock()
	defer b.mu.Unlock()
	raw := b.buf.Bytes()
	return string(raw[max(0, len(raw)-most):])
}

// press lets a crowd misbehave while an ordinary request is submitted until it is answered. It returns what the process
// held.
func press(t *testing.T, p *process, address string, clients int, m misbehavior, l callerLimits, served func() bool) usage {
	t.Helper()
	_, portText, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := net.LookupPort("tcp", portText)
	require.NoError(t, err)
	var u usage
	answered := make(chan bool, 1)
	c := startCrowd(clients, address, m, l)
	defer c.stop()
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(giveUpTime); c.settled.Load() < int64(clients) && time.Now().Before(end); time.Sleep(interval) {
		u.observe(t, p, port)
	}
	go func() { answered <- await(served) }()
	for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(interval) {
		u.observe(t, p, port)
	}
	require.True(t, <-answered, "no ordinary request was answered beside the crowd")
	u.observe(t, p, port)
	c.stop()
	require.True(t, await(served), "no ordinary request was answered after the crowd")
	u.observe(t, p, port)
	return u
}

// await submits a request until it is answered.
func await(served func() bool) bool {
	for end := time.Now().Add(giveUpTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if served() {
			return true
		}
	}
	return false
}

// startGateway starts a gateway and the stand-ins around it. served submits an ordinary request and reports whether it was
// answered.
func startGateway(t *testing.T, program string, descriptors int) (p *process, address string, served func() bool) {
	t.Helper()
	s := &soak{store: newStore(), recorder: newRecorder(), searchers: map[string][]*searcher{}, limits: crowdLimits}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := &http.Server{Handler: s.store}
	go func() { _ = store.Serve(l) }() // It ends with the test.
	t.Cleanup(func() { _ = store.Close() })
	require.NoError(t, s.startSearchers())
	s.publishRoutes()
	ip := processIP()
	ports, err := freePorts(ip, 4)
	require.NoError(t, err)
	i, err := newInstance(0, t.TempDir(), program, l.Addr().String(), ip, []string{}, ports)
	require.NoError(t, err)
	t.Cleanup(func() { _ = i.storeProxy.Close() })
	limitMemory(t, i.settingsPath)
	p = startProcess(t, descriptors, program, "gateway", "--settings", i.settingsPath)
	served = func() bool { return isServed("GET", "http://"+i.callerAddress+pathMoved, "") }
	require.True(t, await(served), "the gateway does not serve: %s", tail(&p.output))
	return p, i.callerAddress, served
}

// limitMemory adds the memory of the process to a settings file.
func limitMemory(t *testing.T, path string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal(raw, &settings))
	settings["memory_mb"] = memoryMB
	raw, err = json.Marshal(settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, raw, 0o600))
}

// isServed submits a request on a new connection, as an ordinary caller does.
func isServed(method, url, body string) bool {
	const timeout = 5 * time.Second
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err) // unreachable: the URL is valid
	}
	r.Host = host
	r.Header.Set("Request-Id", "ordinary")
	r.Header.Set("Deadline-Ms", "5000")
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Guards against clients that make a gateway run out of memory by what they send or do not read. Every phase of a request
// has its case.
func TestClientsExhaustMemoryOfGateway(t *testing.T) {
	program := programs(t)
	for _, m := range misbehaviors {
		t.Run(m.name, func(t *testing.T) {
			p, address, served := startGateway(t, program, ampleDescriptors)
			u := press(t, p, address, crowdSize, m, crowdLimits, served)
			t.Log(u)
			require.LessOrEqual(t, u.bytes, int64(memoryBytes))
		})
	}
}

// keepsConnections names the cases of clients that occupy connections and little else.
var keepsConnections = map[string]bool{"nothing": true, "incomplete small body": true, "responses not read": true, "one request, then idle": true}

// Guards against clients that use all descriptors of a gateway, so that it can neither accept callers nor connect to
// targets.
func TestClientsExhaustDescriptorsOfGateway(t *testing.T) {
	program := programs(t)
	for _, m := range misbehaviors {
		if !keepsConnections[m.name] {
			continue
		}
		t.Run(m.name, func(t *testing.T) {
			p, address, served := startGateway(t, program, scarceDescriptors)
			u := press(t, p, address, crowdSize, m, crowdLimits, served)
			t.Log(u)
			require.LessOrEqual(t, float64(u.descriptors), (1-minFreeDescriptors)*scarceDescriptors)
		})
	}
}

const (
	// ownMemoryBytes bounds what an instance for searches holds. It has no setting for its memory.
	ownMemoryBytes = 256 << 20
	// ownCrowdSize is the number of clients of its crowd.
	ownCrowdSize = 400
	// largeHeadBytes is the size of a header that servers accept unless they are told otherwise.
	largeHeadBytes = 900 << 10
)

const searchLine = "POST /v1/search HTTP/1.1\r\nHost: h\r\n"

// Guards against clients that make an instance for searches and executes run out of memory.
func TestClientsExhaustMemoryOfOwnInterface(t *testing.T) {
	program := programs(t)
	for _, m := range []misbehavior{
		{name: "large header of short fields", send: text(searchLine + shortFields(largeHeadBytes))},
		{name: "large header of short fields, incomplete body", send: text(searchLine + shortFields(largeHeadBytes) + "Content-Length: 100\r\n\r\n{")},
		{name: "large header of one field", send: text(searchLine + "Field: " + strings.Repeat("x", largeHeadBytes))},
		{name: "endless header of HTTP/2", send: text(endlessHTTP2Header())},
	} {
		t.Run(m.name, func(t *testing.T) {
			p, address, served := startOwn(t, program)
			u := press(t, p, address, ownCrowdSize, m, crowdLimits, served)
			t.Log(u)
			require.LessOrEqual(t, u.bytes, int64(ownMemoryBytes))
		})
	}
}

// endlessHTTP2Header returns the begin of an HTTP/2 connection, and largeHeadBytes of the shortest fields without their end.
func endlessHTTP2Header() string {
	const (
		frameBytes            = 16 << 10
		headers, continuation = 1, 9
		field                 = "\x00\x01a\x00" // not indexed, a name of one byte, no value
	)
	frame := func(kind byte, payload string) string {
		n := len(payload)
		return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0, 0, 0, 0, 1}) + payload
	}
	var b strings.Builder
	b.WriteString("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	b.WriteString(frame(headers, strings.Repeat(field, frameBytes/len(field))))
	for b.Len() < largeHeadBytes {
		b.WriteString(frame(continuation, strings.Repeat(field, frameBytes/len(field))))
	}
	return b.String()
}

// startOwn starts an instance for searches and the stand-ins around it.
func startOwn(t *testing.T, program string) (p *process, address string, served func() bool) {
	t.Helper()
	const revision config.Revision = 1
	plan := config.Plan{Name: "counter", Priority: config.PriorityHigh, Prefer: config.PreferTail}
	limit := config.Limit{Plan: plan.Name, Indexes: []string{"jars"}, RatePerSecond: 1000, Concurrency: 100, DeadlineMillis: 1000, LeastCoverage: 0.5}
	f, err := fleet.Start(fleet.Deployment{
		Host: "127.0.0.1", FailureDomains: []string{"a"},
		Indexes: []fleet.Index{{Name: "jars", Shards: 2, Replicas: 2, Slots: 4, Connections: 25}},
		Lists: config.Lists{
			Sequence: revision,
			Plans:    map[string]config.Entry[config.Plan]{plan.Name: {Value: plan, Revision: revision, Edit: "initial"}},
			Limits:   map[string]config.Entry[config.Limit]{plan.Name: {Value: limit, Revision: revision, Edit: "initial"}},
		},
		MeanServiceTime: time.Millisecond, Seed: 1,
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	ports, err := freePorts(processIP(), 1)
	require.NoError(t, err)
	address = fmt.Sprintf("%s:%d", processIP(), ports[0])
	f.SetInstances([]api.Instance{{ID: "entry-1", Address: address, FailureDomain: "a", State: api.InstanceLive}})
	settings := filepath.Join(t.TempDir(), "entry.json")
	raw, err := json.Marshal(map[string]string{
		"instance": "entry-1", "failure_domain": "a", "region": "r", "listen": address, "platform": f.PlatformURL(),
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(settings, raw, 0o600))
	p = startProcess(t, ampleDescriptors, program, "--settings", settings)
	var search bytes.Buffer
	require.NoError(t, json.NewEncoder(&search).Encode(searches.SearchRequest{Plan: plan.Name, Index: "jars", Query: "washed jars"}))
	served = func() bool { return isServed("POST", "http://"+address+"/v1/search", search.String()) }
	require.True(t, await(served), "the instance does not serve: %s", tail(&p.output))
	return p, address, served
}
