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

// limitsWorld is a store and several limits services, in virtual time.
type limitsWorld struct {
	store            *faults
	network, objects *faultyTransport
	views            map[string]*view
	services         map[string]*limits.Service
}

func newLimitsWorld(ids ...string) *limitsWorld {
	w := &limitsWorld{store: newFaults(1, 1), views: map[string]*view{}, services: map[string]*limits.Service{}}
	w.network = &faultyTransport{faults: newFaults(1, 2), handlers: map[string]http.Handler{}}
	handlers := map[string]http.Handler{"store": platform.NewServer(platform.NewStore())}
	w.objects = &faultyTransport{faults: w.store, handlers: handlers}
	for _, id := range ids {
		w.start(id, ids)
	}
	return w
}

func (w *limitsWorld) start(id string, live []string) {
	w.views[id] = &view{}
	w.views[id].set(live...)
	s := limits.New(limits.Config{
		Instance: id, Client: api.NewClient("http://store", w.objects, nil), Members: w.views[id],
		Lists: fixedLists{testLists()}, Peers: w.network, Ring: timeline.NewRing(id, 64, hlc.New(time.Now)),
		Log: slog.New(slog.DiscardHandler), Counters: counters.NewSet(),
	})
	if err := s.Start(context.Background()); err != nil {
		panic(err)
	}
	_, handler := peer.LendingHandler(s)
	w.network.serve(id, handler)
	w.services[id] = s
}

// stop ends an instance; the others learn of it at once. Without the store its leases stay.
func (w *limitsWorld) stop(id string, live ...string) {
	w.network.serve(id, nil)
	_ = w.services[id].Stop(context.Background()) // releases its leases if the store answers
	delete(w.services, id)
	for _, other := range live {
		w.views[other].set(live...)
	}
}

// refusals sends requests evenly through all instances, half of the limit in all, and returns the
// number that was refused.
func (w *limitsWorld) refusals(d time.Duration) int {
	limit := testLists().Limits["counter"].Value
	period := time.Duration(float64(len(w.services)) / (limit.RatePerSecond / 2) * float64(time.Second))
	refused := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(period) {
		for _, s := range w.services {
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

// Guards against limits that refuse requests because the store is away, for long or at the moment
// at which a lender is lost.
func TestLimitsOutliveAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"i1", "i2", "i3"}
		w := newLimitsWorld(ids...)
		time.Sleep(time.Second)
		w.refusals(time.Second) // the first loans
		require.Zero(t, w.refusals(time.Second))
		w.store.set(func(f *faults) { f.away = true })
		require.Zero(t, w.refusals(10*time.Second))
		for range 60 {
			time.Sleep(time.Minute)
			w.refusals(100 * time.Millisecond) // loans after a minute without demand
			require.Zero(t, w.refusals(100*time.Millisecond))
		}
		lost := limits.ChooseLender("counter", ids)
		left := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == lost })
		w.stop(lost, left...)
		w.refusals(10 * time.Second) // a successor begins within this time
		require.Zero(t, w.refusals(time.Second))
		w.store.set(func(f *faults) { f.away = false })
		time.Sleep(10 * time.Second)
		w.refusals(10 * time.Second) // leases are taken again
		require.Zero(t, w.refusals(time.Second))
		w.stop(left[0], left[1])
		w.stop(left[1])
	})
}
