package configsync

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// countingSource is a store that counts the calls and has no objects.
type countingSource struct {
	mu    sync.Mutex
	calls int
}

func (s *countingSource) Watch(context.Context, platform.Purpose, string, platform.Version, time.Duration) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return platform.Changes{}, nil
}

// startingFleet is a fleet of which self starts.
type startingFleet struct {
	self    string
	members []membership.Member
}

func (f startingFleet) Members() []membership.Member { return f.members }

func (f startingFleet) Self() membership.Member {
	return membership.Member{ID: f.self, FailureDomain: "d", State: membership.Starting}
}

func (startingFleet) Transport() http.RoundTripper { return http.DefaultTransport }

func (startingFleet) ConfigChanged() {}

// Guards against hundreds of instances that each read a store without objects at the first start of the fleet, and
// against one that waits for ever if the watchers deliver nothing. Load: the first start.
func TestFirstStartWaitsForWatchers(t *testing.T) {
	var members []membership.Member
	var ids []string
	for _, id := range []string{"a", "b", "c", "e"} {
		members = append(members, membership.Member{ID: id, FailureDomain: "d", State: membership.Starting})
		ids = append(ids, id)
	}
	watchers := config.Watchers("d", ids, config.WatchersPerDomain(1))
	for _, id := range ids {
		isWatcher := id == watchers[0] || id == watchers[1]
		synctest.Test(t, func(t *testing.T) {
			source := &countingSource{}
			bus := kernel.NewBus()
			defer func() { require.NoError(t, bus.Close()) }()
			ring := timeline.NewRing(id, 10, hlc.New(time.Now))
			s := NewWithSchema(defaultSchema, source, bus, ring, slog.New(slog.DiscardHandler), counters.NewSet())
			s.UseFleet(startingFleet{id, members})
			s.OnFirstStart()
			require.NoError(t, s.Start(t.Context()))
			calls := func() int {
				source.mu.Lock()
				defer source.mu.Unlock()
				return source.calls
			}
			time.Sleep(watchersTimeout - watchersPollInterval/2)
			require.Equal(t, isWatcher, calls() > 0)
			time.Sleep(watchersPollInterval + time.Second)
			require.Positive(t, calls())
			require.NoError(t, s.Stop(t.Context()))
		})
	}
}
