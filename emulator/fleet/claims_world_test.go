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

// faults decides what happens to a call.
type faults struct {
	mu         sync.Mutex // guards the fields below
	source     *rand.Rand
	away       bool    // no call has an effect
	loseAnswer float64 // share of calls that fail after their effect
	lateEffect float64 // share of calls that fail before their effect
	maxDelay   time.Duration
}

var errLost = errors.New("answer lost")

func (f *faults) set(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faults) draw() (away, lose, late bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.source.Float64()
	if f.maxDelay > 0 {
		delay = time.Duration(f.source.Int64N(int64(f.maxDelay)))
	}
	return f.away, p < f.loseAnswer, p >= f.loseAnswer && p < f.loseAnswer+f.lateEffect, delay
}

// faultyTransport calls handlers by host, without a network.
type faultyTransport struct {
	faults *faults

	mu       sync.Mutex // guards handlers
	handlers map[string]http.Handler
}

func (t *faultyTransport) serve(host string, h http.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[host] = h
}

// RoundTrip implements http.RoundTripper. A host without a handler cannot be connected to.
func (t *faultyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	handler := t.handlers[req.URL.Host]
	t.mu.Unlock()
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	away, lose, late, delay := t.faults.draw()
	time.Sleep(delay)
	switch {
	case away:
		return nil, errLost
	case late:
		body, _ := io.ReadAll(req.Body) // reads from memory
		req = req.Clone(context.WithoutCancel(req.Context()))
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		go func() {
			time.Sleep(20 * delay)
			handler.ServeHTTP(httptest.NewRecorder(), req)
		}()
		return nil, errLost
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	time.Sleep(delay)
	if lose {
		return nil, errLost
	}
	return recorder.Result(), nil
}

// bank is a target that credits accounts. It does not protect itself against repetition.
type bank struct {
	faults *faults

	mu       sync.Mutex // guards the fields below
	balances map[string]int
	runs     map[claim.Key]int
}

// SendOnce implements claims.Targets. The body names the account; the result is its new balance.
func (b *bank) SendOnce(ctx context.Context, r claims.Request) (string, query.Outcome) {
	away, lose, _, delay := b.faults.draw()
	if away {
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
	if lose || !kernel.Sleep(ctx, delay) {
		return "", query.OutcomeUnknown
	}
	return strconv.Itoa(balance), query.OutcomeAnswered
}

// SendHere implements claims.Targets.
func (b *bank) SendDirect(ctx context.Context, r claims.Request) (string, query.Outcome) {
	return b.SendOnce(ctx, r)
}

func (b *bank) runsOf(k claim.Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[k]
}

// view is what the members service of one instance would say.
type view struct {
	mu      sync.Mutex // guards members
	members []membership.Member
}

// Members implements claims.Members.
func (v *view) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *view) set(live ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = nil
	for _, id := range live {
		v.members = append(v.members, membership.Member{ID: id, Address: id, State: membership.Live})
	}
}

// claimsWorld is a store, a bank and several claims services, in virtual time.
type claimsWorld struct {
	store    *faults
	peers    *faults
	bank     *bank
	platform *platform.Server
	network  *faultyTransport
	objects  *faultyTransport

	mu       sync.Mutex // guards services
	services map[string]*runningClaims
}

type runningClaims struct {
	*claims.Service
	view *view
	bus  *kernel.Bus
}

func newClaimsWorld(seed uint64) *claimsWorld {
	time.Sleep(time.Until(claim.MinKeyTime.Add(claim.Retention))) // Virtual time begins in 2000.
	w := &claimsWorld{
		store: newFaults(seed, 1), peers: newFaults(seed, 2),
		bank: &bank{
			faults: newFaults(seed, 3), balances: map[string]int{}, runs: map[claim.Key]int{},
		},
		platform: platform.NewServer(platform.NewStore()),
		services: map[string]*runningClaims{},
	}
	w.network = &faultyTransport{faults: w.peers, handlers: map[string]http.Handler{}}
	w.objects = &faultyTransport{faults: w.store, handlers: map[string]http.Handler{"store": w.platform}}
	return w
}

func newFaults(seed, stream uint64) *faults {
	return &faults{source: rand.New(rand.NewPCG(seed, stream)), maxDelay: 4 * time.Millisecond}
}

// start starts an instance, in the place of an earlier one of the same id if there is one.
func (w *claimsWorld) start(id string, live ...string) *runningClaims {
	s := &runningClaims{view: &view{}, bus: kernel.NewBus()}
	s.view.set(live...)
	s.Service = claims.New(claims.Config{
		Instance: id, Client: api.NewClient("http://store", w.objects, nil), Members: s.view, Targets: w.bank,
		Peers: w.network, Bus: s.bus, Log: slog.New(slog.DiscardHandler), Counters: counters.NewSet(),
	})
	if err := s.Start(context.Background()); err != nil {
		panic(err)
	}
	_, handler := peer.ExecutionHandler(s)
	w.network.serve(id, handler)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.services[id] = s
	return s
}

func (w *claimsWorld) service(id string) *runningClaims {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.services[id]
}

// kill stops an instance without time to store its results.
func (w *claimsWorld) kill(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.stop(ctx, id)
}

func (w *claimsWorld) stop(ctx context.Context, id string) {
	s := w.service(id)
	w.network.serve(id, nil)
	_ = s.Stop(ctx) // an instance that is killed stores nothing
	_ = s.bus.Close()
}
