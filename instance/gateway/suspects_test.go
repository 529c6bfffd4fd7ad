package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

const (
	badBody     = "bad"
	restartTime = 3 * time.Second
	serviceTime = 5 * time.Millisecond
)

// cluster is a set of gateways with the same targets. A target that runs a bad request crashes, fails its other
// requests and restarts with a new incarnation.
type cluster struct {
	mu        sync.Mutex // guards the fields below
	gateways  map[string]*gateway.Service
	buses     map[string]*kernel.Bus
	members   []membership.Member
	entries   map[string]roster.Entry
	down      map[string]bool
	crashes   int
	started   int             // runs of requests at targets
	deadly    string          // body of another request that crashes targets
	mute      bool            // a bad request crashes the target, whose connections stay open
	resetOnly bool            // a bad request closes its connection but does not crash the target
	failing   map[string]bool // targets that answer each request with an error
	silent    map[string]bool // targets that answer no request
	paused    map[string]bool // instances that answer no other instance
	restartIn time.Duration   // time from a crash of a target to its restart
	timeToRun func(target string) time.Duration
	stored    []quarantine.Confirmed
}

func newCluster(t *testing.T, instances int) *cluster {
	c := &cluster{
		gateways: map[string]*gateway.Service{}, buses: map[string]*kernel.Bus{}, entries: map[string]roster.Entry{}, down: map[string]bool{},
		failing: map[string]bool{}, silent: map[string]bool{}, paused: map[string]bool{}, restartIn: restartTime,
		timeToRun: func(string) time.Duration { return serviceTime },
	}
	for _, name := range []string{"single", "s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"} {
		for i, domain := range []string{"near", "far", "far", "near"} {
			id := fmt.Sprintf("%s-%d", name, i)
			c.entries[id] = roster.Entry{ID: id, Service: name, Address: id, FailureDomain: domain, Incarnation: 1}
		}
	}
	for i := range instances {
		c.members = append(c.members, membership.Member{ID: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("i%d", i), State: membership.Live, Incarnation: 1})
	}
	for _, m := range c.members {
		c.start(t, m.ID)
	}
	return c
}

// start starts an instance without quarantined requests.
func (c *cluster) start(t *testing.T, id string) {
	cfg := testConfig(t, c)
	cfg.Instance, cfg.Members, cfg.SendSuspicion, cfg.SaveQuarantined = id, c, c.sendSuspicion, c.save
	cfg.ReleaseQuarantined = c.release
	s := newServiceFrom(t, cfg)
	require.NoError(t, s.Start(t.Context()))
	c.mu.Lock()
	c.gateways[id], c.buses[id] = s, cfg.Bus
	c.mu.Unlock()
	c.publishTargets()
	synctest.Wait()
	require.NoError(t, cfg.Bus.Publish(members.Changed{ID: id, State: "live"}))
	c.mu.Lock()
	stored := c.stored
	c.mu.Unlock()
	require.NoError(t, cfg.Bus.Publish(configsync.QuarantineChanged{Confirmed: stored}))
	synctest.Wait()
}

// save stores a quarantined request, which instances read when they start.
func (c *cluster) save(q quarantine.Confirmed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored, _ = quarantine.MergeConfirmed(time.Now(), c.stored, []quarantine.Confirmed{q})
}

// release removes a quarantined request from the store.
func (c *cluster) release(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored, _ = quarantine.RemoveConfirmed(c.stored, []quarantine.Fingerprint{f})
}

func (c *cluster) stopAll(t *testing.T) {
	for _, s := range c.gateways {
		require.NoError(t, s.Stop(t.Context()))
	}
}

func (c *cluster) publishTargets() {
	c.mu.Lock()
	var list []roster.Entry
	for id, e := range c.entries {
		if !c.down[id] {
			list = append(list, e)
		}
	}
	var all []*gateway.Service
	for _, s := range c.gateways {
		all = append(all, s)
	}
	c.mu.Unlock()
	for _, s := range all {
		s.SetTargets(directory.TargetsChanged{Entries: list})
	}
}

// Members implements gateway.Members.
func (c *cluster) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// restart starts a member again, with a new incarnation and without what it knew.
func (c *cluster) restart(t *testing.T, n int) {
	c.mu.Lock()
	c.members[n].Incarnation++
	id := c.members[n].ID
	c.mu.Unlock()
	c.start(t, id)
}

// crashCount returns the number of crashes of targets.
func (c *cluster) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// startedCount returns the number of requests that targets have begun to run.
func (c *cluster) startedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

func (c *cluster) sendSuspicion(ctx context.Context, address string, m peer.Suspicion) error {
	c.mu.Lock()
	s, paused := c.gateways[address], c.paused[address]
	c.mu.Unlock()
	if paused {
		<-ctx.Done()
		return ctx.Err()
	}
	s.OnSuspicion(m)
	return nil
}

// Send implements gateway.Sender.
func (c *cluster) Send(ctx context.Context, a gateway.Attempt) query.Reply {
	id := string(a.Target)
	c.mu.Lock()
	down, failing, silent := c.down[id], c.failing[id], c.silent[id]
	c.mu.Unlock()
	if down {
		return outcome(query.OutcomeNotRun)
	}
	if silent {
		<-ctx.Done()
		return outcome(query.OutcomeUnknown)
	}
	c.mu.Lock()
	c.started++
	c.mu.Unlock()
	time.Sleep(c.timeToRun(id))
	if failing {
		return query.Reply{Outcome: query.OutcomeFailed, Part: &query.Part{Status: http.StatusInternalServerError, Signature: id}}
	}
	if body := string(a.Request.Body); body == badBody || body == c.deadly {
		if !c.resetOnly {
			c.crash(id)
		}
		c.mu.Lock()
		mute := c.mute
		c.mu.Unlock()
		if mute {
			<-ctx.Done()
			return outcome(query.OutcomeUnknown)
		}
		return outcome(query.OutcomeCrashed)
	}
	if c.isDown(id) {
		return outcome(query.OutcomeCrashed)
	}
	return answer(id)
}

func (c *cluster) isDown(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down[id]
}

func (c *cluster) crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	c.down[id] = true
	time.AfterFunc(c.restartIn, func() {
		c.mu.Lock()
		delete(c.down, id)
		e := c.entries[id]
		e.Incarnation++
		c.entries[id] = e
		c.mu.Unlock()
		c.publishTargets()
	})
}

// CheckReachable implements gateway.Sender.
func (c *cluster) CheckReachable(_ context.Context, address string) error {
	if c.isDown(address) {
		return errors.New("connection refused")
	}
	return nil
}

// SetConnections implements gateway.Sender.
func (c *cluster) SetConnections(map[string]int) {}

// CloseUnused implements gateway.Sender.
func (c *cluster) KeepSpares([]string) {}

func (c *cluster) CloseUnused(time.Duration, map[string]bool) {}

// NeedsConnection implements gateway.Sender.
func (c *cluster) NeedsConnection(string) bool { return false }

// Connect implements gateway.Sender.
func (c *cluster) Connect(context.Context, string) error { return nil }

func (c *cluster) do(ctx context.Context, instance int, path, body, caller string) gateway.Response {
	c.mu.Lock()
	s := c.gateways[c.members[instance%len(c.members)].ID]
	c.mu.Unlock()
	return s.Do(ctx, &gateway.Request{
		ID: "r", Caller: caller, Method: "POST", Target: path, Path: path, Host: "h", Header: http.Header{}, Body: []byte(body), TimeLeft: time.Second,
	})
}

func isQuarantined(r gateway.Response) bool {
	return r.Kind == gateway.Refused && strings.HasPrefix(r.Reason, "targets crashed")
}

// Guards against a request that crashes targets again with each submission, at any instance; and against refusals of
// other requests of the same route or caller. Load: a crashing request is submitted every 200 ms, each time at another
// instance and over another connection, among requests that do not crash targets.
func TestCrashingRequestIsQuarantinedByAllInstances(t *testing.T) {
	for name, path := range map[string]string{"one target": "/one/x", "all shards": "/all/x"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6)
				defer c.stopAll(t)
				maxCrashes := 3 // A request over shards is sent to all of them before the first has crashed.
				if path == "/all/x" {
					maxCrashes = shards
				}
				for n := range 100 {
					time.Sleep(200 * time.Millisecond)
					got := c.do(t.Context(), n, path, badBody, fmt.Sprintf("10.0.0.1:%d", 3000+n))
					if n >= 6 {
						require.True(t, isQuarantined(got), "%d: %+v", n, got)
						require.Positive(t, got.RetryAfter)
					}
					for _, other := range []struct{ body, caller string }{{"good", "10.0.0.1:99"}, {badBody + "ly", "10.0.0.2:99"}} {
						require.False(t, isQuarantined(c.do(t.Context(), n, path, other.body, other.caller)))
					}
				}
				require.LessOrEqual(t, c.crashCount(), maxCrashes)
			})
		})
	}
}

// Guards against a single submission that crashes more targets than the crash limit where its route allows more
// attempts, and against fewer attempts for requests that crash no target.
func TestCrashLimitBoundsOneSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll(t)
		c.do(t.Context(), 0, "/many/x", badBody, "10.0.0.1:1")
		require.Equal(t, 3, c.crashCount())
		f := &fakeSender{sent: map[string]int{}, behave: func(string, int) (time.Duration, query.Reply) {
			return serviceTime, outcome(query.OutcomeShed)
		}}
		do(t.Context(), newService(t, f), "/many/x")
		require.Equal(t, 5, f.attempts())
	})
}

// Guards against a request that is quarantined because it was in flight at a target when another request crashed that
// target. Load: one request in 50 crashes its targets, each a different request; callers retry a failed request once.
func TestRequestsOnCrashedTargetsAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		defer c.stopAll(t)
		var quarantined, answered atomic.Int64
		var wait sync.WaitGroup
		for n := range 3000 {
			time.Sleep(2 * time.Millisecond)
			wait.Go(func() {
				if n%50 == 0 {
					c.do(t.Context(), n, "/one/x", badBody, fmt.Sprintf("10.0.1.%d:1", n))
					return
				}
				for try := range 2 {
					got := c.do(t.Context(), n+try, "/one/x", fmt.Sprint("good", n), "10.0.0.1:1")
					if isQuarantined(got) {
						quarantined.Add(1)
					}
					if got.Kind == gateway.Answered {
						answered.Add(1)
						return
					}
					time.Sleep(max(100*time.Millisecond, got.RetryAfter))
				}
			})
		}
		wait.Wait()
		require.Zero(t, quarantined.Load())
		require.Positive(t, answered.Load())
		require.Positive(t, c.crashCount())
		t.Log(answered.Load(), c.crashCount())
	})
}

// Guards against requests that are quarantined because their connections closed although no target crashed.
func TestClosedConnectionsDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll(t)
		c.resetOnly = true
		for n := range 20 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, isQuarantined(c.do(t.Context(), n, "/one/x", badBody, "10.0.0.1:1")))
			require.False(t, isQuarantined(c.do(t.Context(), n, "/all/x", badBody, "10.0.0.1:1")))
		}
	})
}

// Guards against an instance that has restarted and sends a quarantined request to targets again.
func TestJoiningInstanceReceivesQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll(t)
		for n := range 4 {
			time.Sleep(4 * time.Second)
			c.do(t.Context(), n%2, "/one/x", badBody, "10.0.0.1:1")
		}
		crashesBefore := c.crashCount()
		require.Positive(t, crashesBefore)
		require.NoError(t, c.gateways["i2"].Stop(t.Context()))
		c.restart(t, 2)
		for _, bus := range c.buses {
			require.NoError(t, bus.Publish(members.Changed{ID: "i2", State: "live"}))
		}
		time.Sleep(time.Second)
		require.True(t, isQuarantined(c.do(t.Context(), 2, "/one/x", badBody, "10.0.0.1:1")))
		require.Equal(t, crashesBefore, c.crashCount())
	})
}

// Guards against a request that has crashed one target, here or at another instance, and crashes one target of each shard
// with its next submission; and against suspected requests that are harmless and answered short or late.
func TestSuspectedRequestRunsOnOneTargetFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll(t)
		for _, tc := range []struct {
			body    string
			crashes int
		}{{badBody, 1}, {"good", 0}} {
			request := &gateway.Request{
				ID: "r", Method: "POST", Target: "/all/x", Path: "/all/x", Host: "h", Header: http.Header{}, Body: []byte(tc.body), TimeLeft: time.Second,
			}
			c.gateways["i0"].OnSuspicion(peer.Suspicion{
				Fingerprint: gateway.Fingerprint(request), Crashes: []quarantine.Crash{{Target: "elsewhere"}},
			})
			before, start := c.crashCount(), time.Now()
			got := c.gateways["i0"].Do(t.Context(), request)
			require.Equal(t, tc.crashes, c.crashCount()-before)
			require.Equal(t, tc.crashes == 0, got.Kind == gateway.Merged && got.Missing == 0, "%+v", got)
			require.LessOrEqual(t, time.Since(start), 2*serviceTime+time.Millisecond)
			time.Sleep(restartTime + time.Second)
		}
	})
}

// Guards against a request that another instance sends to all shards because its first submission has not ended yet. Load:
// the second submission comes 40 ms after the first crash, while nine of ten shards are still silent.
func TestCrashOfOverdueRequestCountsBeforeItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const firstCrash, otherCrashes = 60 * time.Millisecond, 400 * time.Millisecond
		c := newCluster(t, 2)
		defer c.stopAll(t)
		c.timeToRun = func(target string) time.Duration {
			if strings.HasPrefix(target, "s0-") {
				return firstCrash
			}
			return otherCrashes
		}
		var wait sync.WaitGroup
		wait.Go(func() { c.do(t.Context(), 0, "/all/x", badBody, "10.0.0.1:1") })
		time.Sleep(firstCrash + 40*time.Millisecond)
		started := c.startedCount()
		wait.Go(func() { c.do(t.Context(), 1, "/all/x", badBody, "10.0.0.2:1") })
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 1, c.startedCount()-started)
		wait.Wait()
		time.Sleep(otherCrashes)
	})
}
