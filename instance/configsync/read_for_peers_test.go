package configsync_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/directory"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// partialStore is a store that answers some instances and lets the calls of others hang.
type partialStore struct {
	mu       sync.Mutex // guards the fields below
	revision platform.Version
	changed  chan struct{} // closed by the next change
	hangs    map[string]bool
	calls    int
}

// set stores a new revision and lets the calls of the given instances hang from now on.
func (s *partialStore) set(revision platform.Version, hangs map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs = hangs
	if s.revision = revision; s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *partialStore) read(instance string) (platform.Version, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed, s.hangs[instance]
}

// callTimeout is the time after which the adapter gives up a call that does not wait.
const callTimeout = 1500 * time.Millisecond

// storeOf is the view that one instance has of a partialStore.
type storeOf struct {
	*partialStore
	instance string
}

func (s storeOf) Watch(ctx context.Context, _ platform.Purpose, kind string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		revision, changed, hangs := s.read(s.instance)
		switch {
		case hangs: // The adapter gives up a call after some time.
			timeout := wait + directory.WatchAnswerTimeout
			if wait == 0 {
				timeout = callTimeout
			}
			kernel.Sleep(ctx, timeout)
			return platform.Changes{}, errors.New("no answer")
		case revision > after:
			o := platform.Object{Kind: kind, Name: "current", Version: revision, Data: []byte("1")}
			return platform.Changes{Revision: revision, Objects: []platform.Object{o}}, nil
		case waitCtx.Err() != nil:
			return platform.Changes{Revision: revision}, ctx.Err()
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
		}
	}
}

// staticFleet is a fleet whose members do not change. Messages reach the services without a network.
type staticFleet struct {
	self     membership.Member
	members  []membership.Member
	handlers map[string]http.Handler // by address
}

func (f staticFleet) Members() []membership.Member { return f.members }
func (f staticFleet) Self() membership.Member      { return f.self }
func (f staticFleet) ConfigChanged()               {}
func (f staticFleet) Transport() http.RoundTripper { return f }

func (f staticFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.handlers[r.URL.Host].ServeHTTP(w, r)
	return w.Result(), nil
}

// startPartialFleet starts two instances in each of six failure domains over a store.
func startPartialFleet(t *testing.T, store *partialStore) map[string]*configsync.Service {
	var members []membership.Member
	for i := range 12 {
		id := "i" + strconv.Itoa(i)
		domain := fmt.Sprintf("domain-%d", i%6)
		members = append(members, membership.Member{ID: id, Address: id, FailureDomain: domain, State: membership.Live})
	}
	handlers, services := map[string]http.Handler{}, map[string]*configsync.Service{}
	schema := directory.Schema()
	schema.Decode = func(o config.Object) (kernel.Event, string, error) {
		return objectEvent{Kind: o.Key.Kind}, o.Key.Kind, nil
	}
	for _, m := range members {
		bus := kernel.NewBus()
		s := configsync.NewWithSchema(schema, storeOf{store, m.ID}, bus, timeline.NewRing(m.ID, 64, hlc.New(time.Now)), slog.New(slog.DiscardHandler), counters.NewSet())
		s.UseFleet(staticFleet{m, members, handlers})
		services[m.ID] = s
		_, handlers[m.Address] = peer.DistributionHandler(s)
		t.Cleanup(func() { require.NoError(t, bus.Close()) })
	}
	for _, s := range services {
		require.NoError(t, s.Start(t.Context()))
	}
	return services
}

// Guards against a change that no instance hears of because the store lets the calls of all instances that watch it
// hang, while it answers the others. In force everywhere within 5 s is the target; the exchanges of digests, which
// would spread the change too, are left out.
func TestChangeIsHeardWhileAllWatchersAreTurnedAway(t *testing.T) {
	const bound = 5 * time.Second
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			store := &partialStore{}
			store.set(1, nil)
			services := startPartialFleet(t, store)
			defer func() {
				for _, s := range services {
					require.NoError(t, s.Stop(context.Background()))
				}
			}()
			time.Sleep(5 * time.Second)
			store.set(2, nil) // All watches begin anew at the same time.
			synctest.Wait()
			time.Sleep(after)
			watching := map[string]bool{}
			for id, s := range services {
				watching[id] = s.Watching()
			}
			store.set(3, watching)
			time.Sleep(bound)
			for id, s := range services {
				require.EqualValues(t, 3, s.Digest().ConfigSequence, "%s, watching %v, turned away %v after a change", id, watching[id], after)
			}
		})
	}
}
