package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/query"
)

// restartPlan is how targets crash and start again. A target that crashes closes its connections.
type restartPlan struct {
	silent     bool          // the address of a crashed target answers no connects; otherwise it refuses them
	after      time.Duration // from the crash to the next start
	listLag    time.Duration // from the next start to its entry in the list
	newID      bool          // the next start has another id
	newAddress bool          // the next start has another address
	lapseAfter time.Duration // from the crash to the removal of the entry; 0: it stays until the next start is listed
	inAnswer   bool          // targets crash in the middle of their answers, on connections without an earlier one
	mute       bool          // open connections of a crashed target stay open and silent
	hangs      bool          // a crashed target accepts connections until its next start
}

const (
	restartTargets   = 6
	restartReplicas  = 3 // of each shard
	restartInstances = 6
	timeToCrash      = 85 * time.Millisecond // from the arrival of the bad request to the crash
)

// restartSite is a set of gateways before targets that the bad request crashes, those of one service and of the shard s0.
// Other targets answer it, and all targets answer other requests.
type restartSite struct {
	plan     restartPlan
	gateways map[string]*gateway.Service // by id, which is the address as well; read only after the start
	members  []membership.Member

	publishing sync.Mutex // orders the lists that gateways receive; locked before mu

	mu      sync.Mutex              // guards the fields below
	entries map[string]roster.Entry // the list, by slot of the target
	serving map[string]roster.Entry // by address
	starts  int
	crashes []time.Time
	reached map[string]time.Time // first arrival of a submission at a target, by its id
	hanging map[string]bool      // addresses of targets that hang
	checks  int                  // connections opened to find out whether a target is there

	badPath   string        // requests of this path crash targets, too; set before the first request
	badCaller string        // and those of this caller; set before the first request
	heartbeat time.Duration // crashed targets lapse up to one heartbeat earlier than the plan says; set before the first crash
}

func newRestartSite(t *testing.T, plan restartPlan) *restartSite {
	s := &restartSite{
		plan: plan, gateways: map[string]*gateway.Service{}, entries: map[string]roster.Entry{}, serving: map[string]roster.Entry{},
		reached: map[string]time.Time{}, hanging: map[string]bool{},
	}
	for n := range restartTargets {
		s.addTarget("single", n)
	}
	for shard := range shards {
		for n := range restartReplicas {
			s.addTarget(fmt.Sprintf("s%d", shard), n)
		}
	}
	for n := range restartInstances {
		id := fmt.Sprintf("i%d", n)
		s.members = append(s.members, membership.Member{ID: id, Address: id, State: membership.Live, Incarnation: 1})
	}
	for _, m := range s.members {
		cfg := testConfig(t, s)
		cfg.Instance, cfg.Members, cfg.SendSuspicion = m.ID, s, s.sendSuspicion
		s.gateways[m.ID] = newServiceFrom(t, cfg)
	}
	s.publish()
	return s
}

func (s *restartSite) addTarget(service string, n int) {
	slot := fmt.Sprintf("%s-%d", service, n)
	e := roster.Entry{ID: slot, Service: service, Address: slot, FailureDomain: "near", Incarnation: 1}
	s.entries[slot], s.serving[slot] = e, e
}

func (s *restartSite) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.entries))
	s.mu.Unlock()
	for _, g := range s.gateways {
		g.SetTargets(directory.TargetsChanged{Entries: list})
	}
}

// Members implements gateway.Members.
func (s *restartSite) Members() []membership.Member { return s.members }

func (s *restartSite) sendSuspicion(_ context.Context, address string, m peer.Suspicion) error {
	s.gateways[address].OnSuspicion(m)
	return nil
}

// Send implements gateway.Sender.
func (s *restartSite) Send(ctx context.Context, a gateway.Attempt) query.Reply {
	e, up := s.at(a.Address)
	switch {
	case !up && s.plan.mute:
		<-ctx.Done()
		return outcome(query.OutcomeUnknown)
	case !up && s.plan.silent:
		<-ctx.Done()
		return outcome(query.OutcomeNotRun)
	case !up:
		return outcome(query.OutcomeNotRun)
	case e.ID != string(a.Target):
		return outcome(query.OutcomeWrongShard)
	}
	s.mu.Lock()
	if _, again := s.reached[a.Request.ID]; !again {
		s.reached[a.Request.ID] = time.Now()
	}
	s.mu.Unlock()
	time.Sleep(timeToCrash)
	if now, up := s.at(a.Address); !up || now.Incarnation != e.Incarnation {
		return s.onConnectionOfCrashed(ctx)
	}
	isBad := string(a.Request.Body) == badBody || a.Request.Path == s.badPath || a.Request.Caller == s.badCaller
	if !isBad || e.Service != "single" && e.Service != "s0" {
		return answer(e.ID)
	}
	s.crash(e)
	if s.plan.inAnswer {
		return query.Reply{Outcome: query.OutcomeUnknown, ConnectionClosed: true}
	}
	return s.onConnectionOfCrashed(ctx)
}

// onConnectionOfCrashed returns the reply to an attempt that a target had in flight when it crashed.
func (s *restartSite) onConnectionOfCrashed(ctx context.Context) query.Reply {
	if s.plan.mute {
		<-ctx.Done()
		return outcome(query.OutcomeUnknown)
	}
	return outcome(query.OutcomeCrashed)
}

// at returns the target that serves an address, or false if none does.
func (s *restartSite) at(address string) (roster.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, up := s.serving[address]
	return e, up
}

// crash ends a target and plans its next start.
func (s *restartSite) crash(e roster.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving[e.Address].Incarnation != e.Incarnation {
		return
	}
	s.crashes = append(s.crashes, time.Now())
	delete(s.serving, e.Address)
	s.hanging[e.Address] = s.plan.hangs
	var slot string
	for k, listed := range s.entries {
		if listed.ID == e.ID {
			slot = k
		}
	}
	if s.plan.lapseAfter > 0 {
		lapse := s.plan.lapseAfter
		if s.heartbeat > 0 {
			lapse -= rand.N(s.heartbeat)
		}
		time.AfterFunc(lapse, func() { s.unlist(slot, e) })
	}
	s.starts++
	next := e
	next.Incarnation += int64(s.starts)
	if s.plan.newID {
		next.ID = fmt.Sprintf("%s-%d", slot, s.starts)
	}
	if s.plan.newAddress {
		next.Address = fmt.Sprintf("%s:%d", slot, s.starts)
	}
	time.AfterFunc(s.plan.after, func() {
		s.mu.Lock()
		delete(s.hanging, e.Address)
		s.serving[next.Address] = next
		s.mu.Unlock()
	})
	time.AfterFunc(s.plan.after+s.plan.listLag, func() {
		s.mu.Lock()
		s.entries[slot] = next
		s.mu.Unlock()
		s.publish()
	})
}

// unlist removes the entry of a crashed target, unless the next start is listed already.
func (s *restartSite) unlist(slot string, e roster.Entry) {
	s.mu.Lock()
	if s.entries[slot].Incarnation == e.Incarnation {
		delete(s.entries, slot)
	}
	s.mu.Unlock()
	s.publish()
}

// CheckReachable implements gateway.Sender.
func (s *restartSite) CheckReachable(ctx context.Context, address string) error {
	s.mu.Lock()
	s.checks++
	hanging := s.hanging[address]
	s.mu.Unlock()
	_, up := s.at(address)
	switch {
	case up || hanging:
		return nil
	case s.plan.silent:
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "connect")
	}
	return errors.New("connection refused")
}

func (s *restartSite) SetConnections(map[string]int)              {}
func (s *restartSite) KeepSpares([]string)                        {}
func (s *restartSite) CloseUnused(time.Duration, map[string]bool) {}
func (s *restartSite) NeedsConnection(string) bool                { return false }
func (s *restartSite) Connect(context.Context, string) error      { return nil }

func (s *restartSite) submit(ctx context.Context, n int, path, body string) gateway.Response {
	return s.submitRequest(ctx, n, &gateway.Request{Caller: "10.0.0.1:1", Target: path, Path: path, Host: "h", Body: []byte(body)})
}

// submitRequest submits a request to the instance n modulo their number.
func (s *restartSite) submitRequest(ctx context.Context, n int, r *gateway.Request) gateway.Response {
	r.ID, r.Method, r.Header, r.TimeLeft = fmt.Sprint(string(r.Body), n), "GET", http.Header{}, time.Second
	return s.gateways[s.members[n%len(s.members)].ID].Do(ctx, r)
}

// reachedLate returns the number of submissions that reached targets later than a time after the third crash.
func (s *restartSite) reachedLate(after time.Duration) (late, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.reached {
		if len(s.crashes) >= 3 && at.Sub(s.crashes[2]) > after {
			late++
		}
	}
	return late, len(s.crashes)
}

const crashedFor = 3100 * time.Millisecond // time from a crash to the next start in most plans

// restartPlans are the ways in which a crashed target may look from outside.
var restartPlans = map[string]restartPlan{
	"refuses, back elsewhere":                        {after: crashedFor, newID: true, newAddress: true},
	"back at once, listed late":                      {listLag: 3 * time.Second},
	"back at once under another id, listed late":     {listLag: 3 * time.Second, newID: true},
	"back at once, listed after 6 s":                 {listLag: 6 * time.Second},
	"silent, back and listed":                        {silent: true, after: crashedFor, listLag: 300 * time.Millisecond},
	"silent, listed late":                            {silent: true, after: crashedFor, listLag: 1500 * time.Millisecond},
	"silent, back late":                              {silent: true, after: 5 * time.Second},
	"silent, back after 12 s":                        {silent: true, after: 12 * time.Second},
	"silent, back elsewhere":                         {silent: true, after: crashedFor, newID: true, newAddress: true},
	"silent, entry lapses, back elsewhere":           {silent: true, after: crashedFor, newID: true, newAddress: true, lapseAfter: 2400 * time.Millisecond, listLag: time.Second},
	"silent, entry lapses, back after a minute":      {silent: true, after: time.Minute, lapseAfter: 3600 * time.Millisecond},
	"silent, back elsewhere, list changes after 9 s": {silent: true, after: crashedFor, newID: true, newAddress: true, listLag: 6 * time.Second},
}

const (
	submitPause = 600 * time.Millisecond // between two submissions of the bad request
	lateAfter   = 5 * time.Second        // after the third crash
	allowedLate = 3                      // submissions that may reach targets later than that
)

// Guards against a crash that is not counted because the address of the target is silent afterwards, or because the next
// start is listed late, under another id or at another address.
func TestCrashCountsHoweverTargetRestarts(t *testing.T) {
	for name, plan := range restartPlans {
		t.Run(name, func(t *testing.T) {
			requireHeld(t, plan, func(int) *gateway.Request {
				return &gateway.Request{Caller: "10.0.0.1:1", Target: "/one/x", Path: "/one/x", Host: "h", Body: []byte(badBody)}
			})
		})
	}
}

// Guards against a request that is counted by the address of its caller: one that comes from many addresses crashes three
// targets for each of them.
func TestCrashingRequestOfManyAddressesIsHeld(t *testing.T) {
	const addresses = 25
	for name, plan := range restartPlans {
		t.Run(name, func(t *testing.T) {
			requireHeld(t, plan, func(n int) *gateway.Request {
				caller := fmt.Sprintf("10.0.%d.1:%d", n%addresses, 3000+n)
				return &gateway.Request{Caller: caller, Target: "/one/x", Path: "/one/x", Host: "h", Body: []byte(badBody)}
			})
		})
	}
}

// Guards against a request that counts apart for each spelling of its host and path.
func TestCrashingRequestIsHeldInAllSpellings(t *testing.T) {
	hosts := []string{"h", "H", "h:8226"}
	targets := []string{"/one/x?q=%c3%a9", "/one/%78?q=%C3%A9", "http://h/one/x?q=%c3%A9"}
	requireHeld(t, restartPlan{after: crashedFor}, func(n int) *gateway.Request {
		return &gateway.Request{
			Caller: "10.0.0.1:1", Target: targets[n%len(targets)], Path: "/one/x", Host: hosts[n/len(targets)%len(hosts)], Body: []byte(badBody),
		}
	})
}

// requireHeld submits a request that crashes targets for a minute, and requires that it is held after its third crash.
func requireHeld(t *testing.T, plan restartPlan, request func(n int) *gateway.Request) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, plan)
		defer time.Sleep(timeToCrash) // Attempts that were cancelled are still at their targets.
		for n := range 100 {
			s.submitRequest(t.Context(), n, request(n))
			time.Sleep(submitPause)
		}
		late, crashes := s.reachedLate(lateAfter)
		t.Logf("%d crashes, %d submissions reached targets later than %v after the third", crashes, late, lateAfter)
		require.LessOrEqual(t, late, allowedLate)
	})
}

// Guards against a target that crashes in the middle of its first answer on a connection, and is not probed.
func TestCrashInTheMiddleOfAnswerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, restartPlan{after: 3 * time.Second, newID: true, inAnswer: true})
		defer time.Sleep(timeToCrash) // Attempts that were cancelled are still at their targets.
		for n := range 60 {
			s.submit(t.Context(), n, "/one/x", badBody)
			time.Sleep(time.Second)
		}
		late, crashes := s.reachedLate(5 * time.Second)
		require.Zero(t, late)
		require.Equal(t, 3, crashes)
	})
}

// Guards against a request that is let off because some shards answer it while it crashes all targets of another.
func TestAnswersOfOtherShardsDoNotReleaseCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, restartPlan{after: 3 * time.Second})
		defer time.Sleep(timeToCrash) // Attempts that were cancelled are still at their targets.
		for n := range 60 {
			s.submit(t.Context(), n, "/all/x", badBody)
			time.Sleep(time.Second)
		}
		late, _ := s.reachedLate(5 * time.Second)
		require.LessOrEqual(t, late, 3)
	})
}

// Guards against a page that is refused because it was in flight at targets that crashed at the same moment for another
// reason. Load: 60 submissions of one page in flight at six instances when all targets, or those of one replica of each
// shard, crash.
func TestPageInFlightAtCrashedTargetsIsServedAfterwards(t *testing.T) {
	const page, submissions = "page", 60
	for _, tc := range []struct {
		name, path string
		answered   bool // before the crash
		crashes    func(e roster.Entry) bool
	}{
		{"one service, answered before", "/one/x", true, func(e roster.Entry) bool { return e.Service == "single" }},
		{"one service, new", "/one/x", false, func(e roster.Entry) bool { return e.Service == "single" }},
		{"shards, answered before", "/all/x", true, func(e roster.Entry) bool { return strings.HasSuffix(e.ID, "-0") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, restartPlan{after: 3100 * time.Millisecond, newID: true})
				defer time.Sleep(timeToCrash) // Attempts that were cancelled are still at their targets.
				burst := func() {
					var wait sync.WaitGroup
					for n := range submissions {
						wait.Go(func() { s.submit(t.Context(), n, tc.path, page) })
					}
					wait.Wait()
				}
				if tc.answered {
					burst()
				}
				go func() {
					time.Sleep(timeToCrash / 2)
					s.crashAll(tc.crashes)
				}()
				burst()
				time.Sleep(20 * time.Second)
				for n := range submissions {
					time.Sleep(200 * time.Millisecond)
					require.LessOrEqual(t, s.submit(t.Context(), n, tc.path, page).Kind, gateway.Merged)
				}
			})
		})
	}
}

// crashAll crashes the chosen targets at one moment.
func (s *restartSite) crashAll(chosen func(roster.Entry) bool) {
	s.mu.Lock()
	serving := slices.Collect(maps.Values(s.serving))
	s.mu.Unlock()
	for _, e := range serving {
		if chosen(e) {
			s.crash(e)
		}
	}
}
