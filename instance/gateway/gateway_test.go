package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/routing"
)

// fakeSender replies to attempts with the reply of behave, after the delay that behave returns.
type fakeSender struct {
	mu        sync.Mutex
	behave    func(target string, n int) (time.Duration, query.Reply) // n counts the attempts at the target from 1
	sent      map[string]int                                          // attempts by target
	cancelled int
	keepSets  []map[string]bool // keep arguments of the calls of CloseUnused
}

func (f *fakeSender) Send(ctx context.Context, a gateway.Attempt) query.Reply {
	f.mu.Lock()
	f.sent[string(a.Target)]++
	wait, reply := f.behave(string(a.Target), f.sent[string(a.Target)])
	f.mu.Unlock()
	alarm := kernel.NewAlarm(wait)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return reply
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
		return query.Reply{Outcome: query.OutcomeUnknown}
	}
}

func (f *fakeSender) SetConnections(map[string]int) {}

func (f *fakeSender) NeedsConnection(string) bool { return false }

func (f *fakeSender) KeepSpares([]string) {}

func (f *fakeSender) CloseUnused(_ time.Duration, keep map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepSets = append(f.keepSets, keep)
}

func (f *fakeSender) Connect(context.Context, string) error { return nil }

func (f *fakeSender) CheckReachable(context.Context, string) error { return nil }

func (f *fakeSender) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, sent := range f.sent {
		n += sent
	}
	return n
}

type singleInstance struct{}

func (singleInstance) Members() []membership.Member {
	return []membership.Member{{ID: "i", FailureDomain: "near", State: membership.Live}}
}

const shards = 10

// newService returns a gateway for ten shards and a single back end, each with one replica in the instance's failure
// domain (near) and one in another region (far).
func newService(t *testing.T, f *fakeSender) *gateway.Service {
	t.Helper()
	f.sent = map[string]int{}
	return newServiceFrom(t, testConfig(t, f))
}

func testConfig(t *testing.T, sender gateway.Sender) gateway.Config {
	t.Helper()
	bus := kernel.NewBus()
	t.Cleanup(func() { require.NoError(t, bus.Close()) })
	return gateway.Config{
		Instance: "i", FailureDomain: "near", Region: "north", Regions: map[string]string{"near": "north", "far": "south"},
		ExtraAttempts: hedge.BudgetLimits{Share: 0.2, Slack: 600, Span: 10 * time.Second}, Sender: sender,
		Log: slog.New(slog.DiscardHandler), Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Bus: bus, Members: singleInstance{},
		ConnectRelay:    func(context.Context, string) error { return nil },
		SaveQuarantined: func(quarantine.Confirmed) {}, ReleaseQuarantined: func(quarantine.Fingerprint) {},
	}
}

func newServiceFrom(t *testing.T, cfg gateway.Config) *gateway.Service {
	t.Helper()
	s := gateway.New(cfg)
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) }) // Ends the work in the background.
	table, entries := tableAndTargets()
	s.SetTable(table)
	s.SetTargets(directory.TargetsChanged{Entries: entries})
	return s
}

func tableAndTargets() (*routing.Table, []roster.Entry) {
	table := &routing.Table{Version: 5}
	var names []string
	var entries []roster.Entry
	add := func(name string) {
		table.Services = append(table.Services, routing.Service{Name: name, Connections: 25})
		for _, domain := range []string{"near", "far"} {
			id := name + "-" + domain
			entries = append(entries, roster.Entry{ID: id, Service: name, Address: id, FailureDomain: domain})
		}
	}
	for i := range shards {
		names = append(names, fmt.Sprintf("s%d", i))
		add(names[i])
	}
	add("single")
	times := func(r routing.Route) routing.Route {
		r.Host, r.MaxAttempts, r.Timeout, r.Objective = "h", 2, 1200*time.Millisecond, 150*time.Millisecond
		return r
	}
	table.Routes = []routing.Route{
		times(routing.Route{Name: "all", Prefix: "/all/", Repeatable: true, Gather: true, Services: names, Limit: 2, MinCoverage: 0.89}),
		times(routing.Route{Name: "one", Prefix: "/one/", Repeatable: true, Split: []routing.WeightedService{{Service: "single", Weight: 1}}}),
		times(routing.Route{Name: "once", Prefix: "/once/", Split: []routing.WeightedService{{Service: "single", Weight: 1}}}),
		times(routing.Route{Name: "lost", Prefix: "/lost/", Split: []routing.WeightedService{{Service: "unknown", Weight: 1}}}),
		times(routing.Route{Name: "empty", Prefix: "/empty/"}),
		{Name: "many", Host: "h", Prefix: "/many/", MaxAttempts: 5, Timeout: time.Second, Objective: 150 * time.Millisecond,
			Repeatable: true, Split: []routing.WeightedService{{Service: "single", Weight: 1}}},
	}
	return table, entries
}

func do(ctx context.Context, s *gateway.Service, path string) gateway.Response {
	return s.Do(ctx, &gateway.Request{ID: "r", Method: "GET", Target: path, Path: path, Host: "h", Header: http.Header{}, TimeLeft: time.Second})
}

func answer(target string) query.Reply {
	return query.Reply{Outcome: query.OutcomeAnswered, Part: &query.Part{Status: 200, Signature: target, Body: []byte(strings.Repeat(target[1:2], 16))}}
}

func outcome(o query.Outcome) query.Reply { return query.Reply{Outcome: o} }

// Guards against answers that lack shards without reporting it, that are late although enough shards have answered, or
// that wait for a shard whose replicas are all silent; and against more extra attempts than the route allows.
func TestGather(t *testing.T) {
	const fast = 8 * time.Millisecond
	silentTargets := func(which ...string) func(string, int) (time.Duration, query.Reply) {
		return func(target string, _ int) (time.Duration, query.Reply) {
			for _, prefix := range which {
				if strings.HasPrefix(target, prefix) {
					return time.Hour, query.Reply{}
				}
			}
			return fast, answer(target)
		}
	}
	for name, c := range map[string]struct {
		behave   func(string, int) (time.Duration, query.Reply)
		kind     gateway.ResponseKind
		missing  int
		within   time.Duration
		attempts int // maximum
	}{
		"calm":                       {silentTargets(), gateway.Merged, 0, 10 * time.Millisecond, shards},
		"one replica silent":         {silentTargets("s3-near"), gateway.Merged, 0, 60 * time.Millisecond, shards + 1},
		"all replicas of one silent": {silentTargets("s3-"), gateway.Merged, 1, 131 * time.Millisecond, shards + 1},
		"two shards silent":          {silentTargets("s3-", "s4-"), gateway.TimedOut, 0, time.Second, shards + 2},
		"all crash on the request":   {func(string, int) (time.Duration, query.Reply) { return fast, outcome(query.OutcomeCrashed) }, gateway.Failed, 0, 10 * time.Millisecond, shards},
		// The query ends when two shards have failed. Attempts at the others are cancelled and may have run.
		"all refuse": {func(string, int) (time.Duration, query.Reply) { return fast, outcome(query.OutcomeShed) }, gateway.Failed, 0, 100 * time.Millisecond, 2 * shards},
		"one closes its connection": {func(target string, _ int) (time.Duration, query.Reply) {
			if target == "s3-near" {
				return fast, outcome(query.OutcomeCrashed)
			}
			return fast, answer(target)
		}, gateway.Merged, 0, 60 * time.Millisecond, shards + 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeSender{behave: c.behave}
				s := newService(t, f)
				start := time.Now()
				got := do(t.Context(), s, "/all/x")
				require.Equal(t, c.kind, got.Kind, got.Reason)
				require.LessOrEqual(t, time.Since(start), c.within)
				require.LessOrEqual(t, f.attempts(), c.attempts)
				if c.kind == gateway.Merged {
					require.Equal(t, c.missing, got.Missing)
					require.Len(t, got.Signatures, shards-c.missing)
					require.Equal(t, strings.Repeat("9", 16)+strings.Repeat("8", 16), string(got.Records))
				}
			})
		})
	}
}

// Guards against a non-repeatable request that runs twice, against a refusal (not run) of a request that may have run,
// and against an error response that is dropped although no other target answered.
func TestSingle(t *testing.T) {
	failure := query.Reply{Outcome: query.OutcomeFailed, Part: &query.Part{Status: 500, Signature: "f"}}
	for name, c := range map[string]struct {
		path     string
		first    query.Reply // to the first attempt
		second   query.Reply
		kind     gateway.ResponseKind
		status   int
		attempts int
	}{
		"answered":                               {"/one/x", answer("xa"), answer("xb"), gateway.Answered, 200, 1},
		"failed, then answered":                  {"/one/x", failure, answer("xb"), gateway.Answered, 200, 2},
		"failed twice":                           {"/one/x", failure, failure, gateway.Answered, 500, 2},
		"unknown, then answered":                 {"/one/x", outcome(query.OutcomeUnknown), answer("xb"), gateway.Answered, 200, 2},
		"closed, then answered":                  {"/one/x", outcome(query.OutcomeCrashed), answer("xb"), gateway.Answered, 200, 2},
		"refused twice":                          {"/one/x", outcome(query.OutcomeShed), outcome(query.OutcomeShed), gateway.Refused, 0, 2},
		"once, answered":                         {"/once/x", answer("xa"), answer("xb"), gateway.Answered, 200, 1},
		"once, failed":                           {"/once/x", failure, answer("xb"), gateway.Answered, 500, 1},
		"once, may have run":                     {"/once/x", outcome(query.OutcomeUnknown), answer("xb"), gateway.Failed, 0, 1},
		"once, connection closed":                {"/once/x", outcome(query.OutcomeCrashed), answer("xb"), gateway.Failed, 0, 1},
		"once, refused, then answered":           {"/once/x", outcome(query.OutcomeShed), answer("xb"), gateway.Answered, 200, 2},
		"once, not sent, then answered":          {"/once/x", outcome(query.OutcomeNotRun), answer("xb"), gateway.Answered, 200, 2},
		"once, refused, then may have run":       {"/once/x", outcome(query.OutcomeShed), outcome(query.OutcomeUnknown), gateway.Failed, 0, 2},
		"once, address reused by another target": {"/once/x", outcome(query.OutcomeWrongShard), answer("xb"), gateway.Answered, 200, 2},
		"no target":                              {"/lost/x", answer("xa"), answer("xb"), gateway.Refused, 0, 0},
		"route without a service":                {"/empty/x", answer("xa"), answer("xb"), gateway.Refused, 0, 0},
		"no route":                               {"/none/x", answer("xa"), answer("xb"), gateway.NoRoute, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := true
				f := &fakeSender{behave: func(string, int) (time.Duration, query.Reply) {
					r := c.second
					if first {
						r = c.first
					}
					first = false
					return 5 * time.Millisecond, r
				}}
				s := newService(t, f)
				got := do(t.Context(), s, c.path)
				require.Equal(t, c.kind, got.Kind, got.Reason)
				require.Equal(t, c.attempts, f.attempts())
				if c.kind == gateway.Answered {
					require.Equal(t, c.status, got.Part.Status)
				}
				if c.kind == gateway.Refused {
					require.Positive(t, got.RetryAfter)
				}
			})
		})
	}
}

// Guards against attempts that continue after the caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSender{behave: func(string, int) (time.Duration, query.Reply) { return time.Hour, query.Reply{} }}
		s := newService(t, f)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		do(ctx, s, "/all/x")
		synctest.Wait()
		require.Equal(t, f.attempts(), f.cancelled)
	})
}

// Guards against refusals while an instance that has just started reads its routes and targets, and against requests
// that wait although the store does not answer. It comes about when all instances are killed and restart one by one:
// callers that found no other instance send to the first one that listens.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		knownAfter, askedAfter, timeLeft time.Duration
		kind                             gateway.ResponseKind
		within                           time.Duration
	}{
		"routes and targets arrive":      {100 * time.Millisecond, 0, time.Second, gateway.Answered, 110 * time.Millisecond},
		"the store does not answer":      {time.Second, 0, time.Second, gateway.Refused, 300 * time.Millisecond},
		"the store has been unavailable": {time.Second, 400 * time.Millisecond, time.Second, gateway.Refused, 0},
		"the caller does not wait":       {100 * time.Millisecond, 0, 50 * time.Millisecond, gateway.Refused, 50 * time.Millisecond},
		"sent within the start period":   {10 * time.Millisecond, 50 * time.Millisecond, time.Second, gateway.Answered, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeSender{sent: map[string]int{}, behave: func(target string, _ int) (time.Duration, query.Reply) { return 5 * time.Millisecond, answer(target) }}
				s := gateway.New(testConfig(t, f))
				require.NoError(t, s.Start(t.Context()))
				table, entries := tableAndTargets()
				timer := time.AfterFunc(c.knownAfter, func() {
					s.SetTable(table)
					s.SetTargets(directory.TargetsChanged{Entries: entries})
				})
				time.Sleep(c.askedAfter)
				start := time.Now()
				got := s.Do(t.Context(), &gateway.Request{ID: "r", Method: "GET", Target: "/one/x", Path: "/one/x", Host: "h", Header: http.Header{}, TimeLeft: c.timeLeft})
				require.Equal(t, c.kind, got.Kind, got.Reason)
				require.LessOrEqual(t, time.Since(start), c.within)
				timer.Stop()
				require.NoError(t, s.Stop(t.Context()))
			})
		})
	}
}

// Guards against the answer that no route matches before any routes have been read.
func TestNotReady(t *testing.T) {
	bus := kernel.NewBus()
	s := gateway.New(gateway.Config{
		ExtraAttempts: hedge.BudgetLimits{Span: time.Second}, Sender: &fakeSender{}, Log: slog.New(slog.DiscardHandler),
		Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Bus: bus, Members: singleInstance{},
	})
	require.False(t, s.Ready())
	require.Equal(t, gateway.Refused, do(t.Context(), s, "/all/x").Kind)
	require.NoError(t, bus.Close())
}

// Guards against an instance that refuses requests after a restart (power loss) during an outage of the store, because
// the entries of the targets have lapsed; and against a running instance that restores targets it has seen leave.
func TestLapsedTargetsAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeSender{behave: func(string, int) (time.Duration, query.Reply) { return time.Millisecond, answer("xa") }, sent: map[string]int{}}
		table, entries := tableAndTargets()
		restarted := gateway.New(testConfig(t, f))
		restarted.SetTable(table)
		restarted.SetTargets(directory.TargetsChanged{Incomplete: true, BeforeOutage: entries})
		require.Equal(t, gateway.Answered, do(t.Context(), restarted, "/one/x").Kind)
		restarted.SetTargets(directory.TargetsChanged{Entries: entries[:1]})
		require.Equal(t, gateway.Refused, do(t.Context(), restarted, "/one/x").Kind, "the next list replaces the lapsed entries")

		running := gateway.New(testConfig(t, f))
		running.SetTable(table)
		running.SetTargets(directory.TargetsChanged{Entries: entries[:1]})
		running.SetTargets(directory.TargetsChanged{Entries: entries[:1], Incomplete: true, BeforeOutage: entries})
		require.Equal(t, gateway.Refused, do(t.Context(), running, "/one/x").Kind)
	})
}

// Guards against what a target says in a reply that arrives when its request has ended: the instance would send to it again.
func TestWishesInLateRepliesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s *gateway.Service
		f := &lateSender{}
		s = newServiceFrom(t, testConfig(t, f))
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(10 * time.Millisecond)
			cancel()
		}()
		do(ctx, s, "/one/x")
		time.Sleep(time.Second)
		f.mu.Lock()
		first := f.sent
		f.mu.Unlock()
		require.Len(t, first, 1)
		for range 20 {
			do(t.Context(), s, "/one/x")
		}
		for _, target := range f.sent[1:] {
			require.NotEqual(t, first[0], target)
		}
	})
}

// lateSender sends to targets of which the first one says, after its request has been cancelled, that it is leaving.
type lateSender struct {
	fakeSender
	mu   sync.Mutex
	sent []string
}

func (f *lateSender) Send(ctx context.Context, a gateway.Attempt) query.Reply {
	f.mu.Lock()
	f.sent = append(f.sent, string(a.Target))
	first := len(f.sent) == 1
	f.mu.Unlock()
	r := answer(string(a.Target))
	if first {
		<-ctx.Done()
		r.Leaving = true
	}
	return r
}
