package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/instance/gateway"
	"hyssopcroft.example/query"
)

// largeFleet has more instances than may each send to every shard: three large ones and small ones.
type largeFleet struct{}

func (largeFleet) Members() []membership.Member {
	list := []membership.Member{{ID: "i", FailureDomain: "near", State: membership.Live, Capacity: 200}}
	for n := range 3 {
		list = append(list, membership.Member{ID: fmt.Sprint("relay", n), Address: fmt.Sprint("relay", n), FailureDomain: "near", State: membership.Live, Capacity: 800})
	}
	for n := range 16 {
		list = append(list, membership.Member{ID: fmt.Sprint("small", n), FailureDomain: "near", State: membership.Live, Capacity: 200})
	}
	return list
}

// forwardingFleet connects an instance that is no relay to relays.
type forwardingFleet struct {
	entry         *gateway.Service
	direct        *fakeSender // of the entry
	relayed       *fakeSender // of all relays
	relays        map[string]*gateway.Service
	silent        map[string]bool // relays that take requests and do not answer
	broken        map[string]bool // relays whose connection ends with each request
	requestsTaken map[string]int
}

func newForwardingFleet(t *testing.T) *forwardingFleet {
	t.Helper()
	quick := func(target string, _ int) (time.Duration, query.Reply) { return 8 * time.Millisecond, answer(target) }
	f := &forwardingFleet{
		direct: &fakeSender{behave: quick, sent: map[string]int{}}, relayed: &fakeSender{behave: quick, sent: map[string]int{}},
		relays: map[string]*gateway.Service{}, silent: map[string]bool{}, broken: map[string]bool{}, requestsTaken: map[string]int{},
	}
	for n := range 3 {
		cfg := testConfig(t, f.relayed)
		cfg.Instance, cfg.Members = fmt.Sprint("relay", n), largeFleet{}
		f.relays[cfg.Instance] = newServiceFrom(t, cfg)
	}
	cfg := testConfig(t, f.direct)
	cfg.Members = largeFleet{}
	cfg.Forward = func(ctx context.Context, address string, r peer.ForwardedRequest, onTaken func()) peer.ForwardedResponse {
		f.requestsTaken[address]++
		if f.silent[address] {
			<-ctx.Done()
			return peer.ForwardedResponse{Outcome: peer.ForwardLost}
		}
		if f.broken[address] {
			return peer.ForwardedResponse{Outcome: peer.ForwardLost}
		}
		relay := f.relays[address]
		if relay == nil {
			return peer.ForwardedResponse{Outcome: peer.ForwardUnavailable}
		}
		onTaken()
		return relay.RunForwarded(ctx, r)
	}
	f.entry = newServiceFrom(t, cfg)
	return f
}

func (f *forwardingFleet) taken() int {
	n := 0
	for _, taken := range f.requestsTaken {
		n += taken
	}
	return n
}

// Guards against a large fleet in which every instance sends to every shard, and against a request to a single service
// that takes the way over a relay.
func TestGatheredRequestsRunAtRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardingFleet(t)
		got := do(t.Context(), f.entry, "/all/x")
		require.Equal(t, gateway.Merged, got.Kind, got.Reason)
		require.Len(t, got.Signatures, shards)
		require.Zero(t, got.Missing)
		require.Zero(t, f.direct.attempts())
		require.Equal(t, 1, f.taken())
		require.Equal(t, gateway.Answered, do(t.Context(), f.entry, "/one/x").Kind)
		require.Equal(t, 1, f.direct.attempts())
		require.Equal(t, 1, f.taken())
	})
}

// Guards against requests that fail while relays are lost, starting or gone. Load: one relay, then all of them, without
// power.
func TestLostRelays(t *testing.T) {
	for name, c := range map[string]struct {
		lost   int
		gone   bool // the lost relays refuse connections, instead of silence
		kind   gateway.ResponseKind
		direct int // attempts by the instance itself
		within time.Duration
	}{
		"none":     {0, false, gateway.Merged, 0, 20 * time.Millisecond},
		"one gone": {1, true, gateway.Merged, 0, 20 * time.Millisecond},
		"all gone": {3, true, gateway.Merged, shards, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newForwardingFleet(t)
				for n := range c.lost {
					id := fmt.Sprint("relay", n)
					f.silent[id] = !c.gone
					if c.gone {
						delete(f.relays, id)
					}
				}
				for range 10 { // The relay of a request is chosen at random.
					start := time.Now()
					got := do(t.Context(), f.entry, "/all/x")
					require.Equal(t, c.kind, got.Kind, got.Reason)
					require.LessOrEqual(t, time.Since(start), c.within)
					time.Sleep(10 * time.Second) // The relay is no longer avoided.
				}
				require.Equal(t, 10*c.direct, f.direct.attempts())
			})
		})
	}
}

// Guards against requests that all wait for a relay without power, and against a request that runs at two relays because
// a confirmation was late. Load: a relay that takes requests and does not answer.
func TestSilentRelayIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardingFleet(t)
		f.silent["relay0"] = true
		late := 0
		for range 40 {
			before := f.taken()
			if got := do(t.Context(), f.entry, "/all/x"); got.Kind != gateway.Merged {
				late++
			}
			require.Equal(t, before+1, f.taken(), "each request has one relay")
		}
		require.LessOrEqual(t, late, 1, "the first request shows that the relay is silent")
	})
}

// Guards against a refusal that says "not run" of a request that a relay may have run before this instance tried.
func TestRefusalAfterLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardingFleet(t)
		f.broken["relay0"] = true
		delete(f.relays, "relay1")
		delete(f.relays, "relay2")
		f.entry.SetTargets(directory.TargetsChanged{}) // The instance itself knows no target.
		for range 30 {                                 // The order of the relays is random; if the silent one comes last, the instance waits for it.
			got := do(t.Context(), f.entry, "/all/x")
			require.Contains(t, []gateway.ResponseKind{gateway.Failed, gateway.TimedOut}, got.Kind, got.Reason)
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against answers from two versions of the routes, and against requests that find no relay while versions differ:
// a relay follows the route of the instance that received the request, whichever versions it has had itself. Load:
// configurations in quick succession, of which each instance skips some.
func TestRelayFollowsRouteOfSender(t *testing.T) {
	for name, relayVersion := range map[string]query.Version{"older": 4, "newer": 7} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newForwardingFleet(t)
				ofEntry, _ := tableAndTargets()
				ofEntry.Version = 6
				ofEntry.Routes[0].Services = ofEntry.Routes[0].Services[1:]
				f.entry.SetTable(ofEntry)
				for _, r := range f.relays {
					table, _ := tableAndTargets()
					table.Version = relayVersion
					r.SetTable(table)
				}
				got := do(t.Context(), f.entry, "/all/x")
				require.Equal(t, gateway.Merged, got.Kind, got.Reason)
				require.Len(t, got.Signatures, shards-1)
				require.Zero(t, f.direct.attempts())
				require.Equal(t, 1, f.taken())
			})
		})
	}
}

// Guards against targets that work on a request whose caller has left.
func TestDepartedCallerCancelsAtRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardingFleet(t)
		f.relayed.behave = func(string, int) (time.Duration, query.Reply) { return time.Hour, query.Reply{} }
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		do(ctx, f.entry, "/all/x")
		synctest.Wait()
		f.relayed.mu.Lock()
		defer f.relayed.mu.Unlock()
		require.GreaterOrEqual(t, f.relayed.cancelled, shards)
	})
}

// Guards against a request that reaches more targets of a shard than its route allows, because several relays send it.
func TestRelaysShareAttemptsOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardingFleet(t)
		f.relayed.behave = func(string, int) (time.Duration, query.Reply) { return time.Hour, query.Reply{} }
		table, _ := tableAndTargets()
		f.relays["relay0"].RunForwarded(t.Context(), peer.ForwardedRequest{
			ID: "r", Method: "GET", Target: "/all/x", Path: "/all/x", Host: "h", RoutesVersion: table.Version, Route: table.Routes[0],
			TimeLeft: time.Second, SpentAttempts: 1,
		})
		require.Equal(t, shards, f.relayed.attempts(), "of two attempts at each shard, another relay made one")
	})
}

// Guards against a stopping instance that says of a request at a relay that it did not run.
func TestRequestAtRelayMayHaveRunWhenInstanceStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardingFleet(t)
		for n := range 3 {
			f.silent[fmt.Sprint("relay", n)] = true
		}
		f.entry.EndRequestsBy(time.Now().Add(300 * time.Millisecond))
		start := time.Now()
		got := do(t.Context(), f.entry, "/all/x")
		require.Contains(t, []gateway.ResponseKind{gateway.Failed, gateway.TimedOut}, got.Kind, got.Reason)
		require.LessOrEqual(t, time.Since(start), 300*time.Millisecond)
	})
}
