package fleet_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/peer"
	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/emulator/platform"
	"hyssopcroft.example/instance/claims"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/query"
)

// faults injects faults into calls.
type faults struct {
	mu              sync.Mutex // guards the fields below
	random          *rand.Rand
	unavailable     bool    // all calls fail without an effect
	lostAnswerShare float64 // share of calls that fail after they took effect
	lateEffectShare float64 // share of calls that fail before they take effect
	maxDelay        time.Duration
}

var errAnswerLost = errors.New("answer lost")

func (f *faults) update(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faults) draw() (unavailable, loseAnswer, lateEffect bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.random.Float64()
	if f.maxDelay > 0 {
		delay = time.Duration(f.random.Int64N(int64(f.maxDelay)))
	}
	return f.unavailable, p < f.lostAnswerShare, p >= f.lostAnswerShare && p < f.lostAnswerShare+f.lateEffectShare, delay
}

// faultyTransport passes requests to the handler of their host without a network, and injects faults.
type faultyTransport struct {
	faults *faults

	mu       sync.Mutex // guards handlers
	handlers map[string]http.Handler
}

func (t *faultyTransport) setHandler(host string, h http.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[host] = h
}

// RoundTrip implements http.RoundTripper. A host without a handler refuses connections.
func (t *faultyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	handler := t.handlers[req.URL.Host]
	t.mu.Unlock()
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	unavailable, loseAnswer, lateEffect, delay := t.faults.draw()
	time.Sleep(delay)
	switch {
	case unavailable:
		return nil, errAnswerLost
	case lateEffect:
		body, _ := io.ReadAll(req.Body) // reads from memory
		req = req.Clone(context.WithoutCancel(req.Context()))
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		go func() {
			time.Sleep(20 * delay)
			handler.ServeHTTP(httptest.NewRecorder(), req)
		}()
		return nil, errAnswerLost
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	time.Sleep(delay)
	if loseAnswer {
		return nil, errAnswerLost
	}
	return recorder.Result(), nil
}

// bank is a target that credits accounts. It does not deduplicate requests.
type bank struct {
	faults *faults

	mu       sync.Mutex // guards the fields below
	balances map[string]int
	runs     map[claim.Key]int
}

// SendOnce implements claims.Targets. The body is the name of the account and the result its new balance.
func (b *bank) SendOnce(ctx context.Context, r claims.Request) (string, query.Outcome) {
	unavailable, loseAnswer, _, delay := b.faults.draw()
	if unavailable {
		return "", query.OutcomeDraining
	}
	if !kernel.Sleep(ctx, delay) {
		return "", query.OutcomeUnknown
	}
	b.mu.Lock()
	b.balances[r.Body]++
	b.runs[r.Key]++
	balance := b.balances[r.Body]
	b.mu.Unlock()
	if loseAnswer || !kernel.Sleep(ctx, delay) {
		return "", query.OutcomeUnknown
	}
	return strconv.Itoa(balance), query.OutcomeAnswered
}

// SendDirect implements claims.Targets.
func (b *bank) SendDirect(ctx context.Context, r claims.Request) (string, query.Outcome) {
	return b.SendOnce(ctx, r)
}

func (b *bank) runCount(k claim.Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[k]
}

// fakeMembers stands in for the members service of one instance.
type fakeMembers struct {
	mu      sync.Mutex // guards members
	members []membership.Member
}

// Members implements claims.Members.
func (m *fakeMembers) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

func (m *fakeMembers) setLive(live ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = nil
	for _, id := range live {
		m.members = append(m.members, membership.Member{ID: id, Address: id, State: membership.Live})
	}
}

// claimsEnv contains a store, a bank and several claims services that run in virtual time.
type claimsEnv struct {
	storeFaults    *faults
	peerFaults     *faults
	bank           *bank
	platform       *platform.Server
	peerTransport  *faultyTransport
	storeTransport *faultyTransport

	mu       sync.Mutex // guards services
	services map[string]*runningClaims
}

type runningClaims struct {
	*claims.Service
	members *fakeMembers
	bus     *kernel.Bus
}

func newClaimsEnv(seed uint64) *claimsEnv {
	time.Sleep(time.Until(claim.MinKeyTime.Add(claim.Retention))) // Virtual time begins in 2000, before any valid key.
	env := &claimsEnv{
		storeFaults: newFaults(seed, 1), peerFaults: newFaults(seed, 2),
		bank: &bank{
			faults: newFaults(seed, 3), balances: map[string]int{}, runs: map[claim.Key]int{},
		},
		platform: platform.NewServer(platform.NewStore()),
		services: map[string]*runningClaims{},
	}
	env.peerTransport = &faultyTransport{faults: env.peerFaults, handlers: map[string]http.Handler{}}
	env.storeTransport = &faultyTransport{
		faults: env.storeFaults, handlers: map[string]http.Handler{"store": env.platform},
	}
	return env
}

func newFaults(seed, stream uint64) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, stream)), maxDelay: 4 * time.Millisecond}
}

// start starts an instance. It replaces an earlier one with the same id.
func (env *claimsEnv) start(id string, live ...string) *runningClaims {
	s := &runningClaims{members: &fakeMembers{}, bus: kernel.NewBus()}
	s.members.setLive(live...)
	s.Service = claims.New(claims.Config{
		Instance: id, Client: api.NewClient("http://store", env.storeTransport, nil), Members: s.members, Targets: env.bank,
		Peers: env.peerTransport, Bus: s.bus, Log: slog.New(slog.DiscardHandler), Counters: counters.NewSet(),
	})
	if err := s.Start(context.Background()); err != nil {
		panic(err)
	}
	_, handler := peer.ExecutionHandler(s)
	env.peerTransport.setHandler(id, handler)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.services[id] = s
	return s
}

func (env *claimsEnv) service(id string) *runningClaims {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.services[id]
}

// kill stops an instance without giving it time to store its results.
func (env *claimsEnv) kill(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	env.stop(ctx, id)
}

func (env *claimsEnv) stop(ctx context.Context, id string) {
	s := env.service(id)
	env.peerTransport.setHandler(id, nil)
	_ = s.Stop(ctx) // fails if the instance is killed before it stored its results
	_ = s.bus.Close()
}
