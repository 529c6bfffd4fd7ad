package fleet_test

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/emulator/platform"
	"hyssopcroft.example/instance/limits"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// fixedLists is a configuration that never changes.
type fixedLists struct{ lists config.Lists }

// InForce implements limits.Lists.
func (f fixedLists) InForce() (config.Lists, bool) { return f.lists, true }

// limitsEnv contains a store and several limits services that run in virtual time.
type limitsEnv struct {
	storeFaults                   *faults
	peerTransport, storeTransport *faultyTransport
	members                       map[string]*fakeMembers
	services                      map[string]*limits.Service
}

func newLimitsEnv(ids ...string) *limitsEnv {
	env := &limitsEnv{
		storeFaults: newFaults(1, 1), members: map[string]*fakeMembers{}, services: map[string]*limits.Service{},
	}
	env.peerTransport = &faultyTransport{faults: newFaults(1, 2), handlers: map[string]http.Handler{}}
	handlers := map[string]http.Handler{"store": platform.NewServer(platform.NewStore())}
	env.storeTransport = &faultyTransport{faults: env.storeFaults, handlers: handlers}
	for _, id := range ids {
		env.start(id, ids)
	}
	return env
}

func (env *limitsEnv) start(id string, live []string) {
	env.members[id] = &fakeMembers{}
	env.members[id].setLive(live...)
	s := limits.New(limits.Config{
		Instance: id, Client: api.NewClient("http://store", env.storeTransport, nil), Members: env.members[id],
		Lists: fixedLists{testLists()}, Peers: env.peerTransport, Ring: timeline.NewRing(id, 64, hlc.New(time.Now)),
		Log: slog.New(slog.DiscardHandler), Counters: counters.NewSet(),
	})
	if err := s.Start(context.Background()); err != nil {
		panic(err)
	}
	_, handler := peer.LendingHandler(s)
	env.peerTransport.setHandler(id, handler)
	env.services[id] = s
}

// stop stops an instance and sets the members of the live ones at once. The leases of the stopped instance remain if
// the store is unavailable.
func (env *limitsEnv) stop(id string, live ...string) {
	env.peerTransport.setHandler(id, nil)
	_ = env.services[id].Stop(context.Background()) // fails to release the leases while the store is unavailable
	delete(env.services, id)
	for _, other := range live {
		env.members[other].setLive(live...)
	}
}

// countRefusals sends requests at half of the plan's rate limit, spread evenly over all instances, for d. It returns
// the number of refused requests.
func (env *limitsEnv) countRefusals(d time.Duration) int {
	limit := testLists().Limits["counter"].Value
	period := time.Duration(float64(len(env.services)) / (limit.RatePerSecond / 2) * float64(time.Second))
	refused := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(period) {
		for _, s := range env.services {
			release, p := s.Admit(context.Background(), "counter")
			if p != nil {
				refused++
				continue
			}
			release()
		}
	}
	return refused
}

// Guards against limits that refuse requests because the store is unavailable, either for an hour or when a lender
// stops during the outage.
func TestLimitsSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"i1", "i2", "i3"}
		env := newLimitsEnv(ids...)
		time.Sleep(time.Second)
		env.countRefusals(time.Second) // until the first loans are made
		require.Zero(t, env.countRefusals(time.Second))
		env.storeFaults.update(func(f *faults) { f.unavailable = true })
		require.Zero(t, env.countRefusals(10*time.Second))
		for range 60 {
			time.Sleep(time.Minute)
			env.countRefusals(100 * time.Millisecond) // until loans are made again after a minute without demand
			require.Zero(t, env.countRefusals(100*time.Millisecond))
		}
		lender := limits.ChooseLender("counter", ids)
		remaining := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == lender })
		env.stop(lender, remaining...)
		env.countRefusals(10 * time.Second) // until a successor lends
		require.Zero(t, env.countRefusals(time.Second))
		env.storeFaults.update(func(f *faults) { f.unavailable = false })
		time.Sleep(10 * time.Second)
		env.countRefusals(10 * time.Second) // until leases are acquired again
		require.Zero(t, env.countRefusals(time.Second))
		env.stop(remaining[0], remaining[1])
		env.stop(remaining[1])
	})
}
