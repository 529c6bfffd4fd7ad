package members_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// written is a list that instances write themselves.
type written struct {
	mu      sync.Mutex // guards the fields below
	entries []platform.Instance
	removed []string
}

func (w *written) Instances(context.Context, platform.Purpose) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries, nil
}

func (w *written) RemoveInstance(_ context.Context, id string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = append(w.removed, id)
	w.entries = w.entries[:1]
	return nil
}

type emptyStore struct{}

func (emptyStore) Watch(ctx context.Context, _ platform.Purpose, _ string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	if after > 0 {
		time.Sleep(wait)
	}
	return platform.Changes{Revision: 1, Objects: []platform.Object{{Kind: "routes", Name: "current", Version: 1, Data: []byte("1")}}}, ctx.Err()
}

type changed struct{}

func (changed) Topic() string { return "changed" }

// Guards against a list that grows with each instance that is lost for good, and against the removal of one
// that may come back: regions lose each other for an hour.
func TestEntryOfLostInstanceIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &written{entries: []platform.Instance{
			{ID: "a", Address: "a:1", FailureDomain: "d", State: platform.InstanceLive},
			{ID: "lost", Address: "lost:1", FailureDomain: "d", State: platform.InstanceLive},
		}}
		bus, ring, c := kernel.NewBus(), timeline.NewRing("a", 64, hlc.New(time.Now)), counters.NewSet()
		log := slog.New(slog.DiscardHandler)
		schema := configsync.Schema{
			Kinds: []string{"routes"}, Required: "routes", WatchWait: time.Second,
			Decode: func(config.Object) (kernel.Event, string, error) { return changed{}, "", nil },
		}
		objects := configsync.NewOf(schema, emptyStore{}, bus, ring, log, c)
		self := membership.Member{ID: "a", Address: "a:1", FailureDomain: "d", Incarnation: 1, State: membership.Starting}
		s := members.New(self, list, objects, bus, ring, log, c)
		s.UseDial(func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		})
		require.NoError(t, objects.Start(t.Context()))
		require.NoError(t, s.Start(t.Context()))
		time.Sleep(90 * time.Minute)
		require.Empty(t, list.removed)
		time.Sleep(time.Hour)
		list.mu.Lock()
		require.Equal(t, []string{"lost"}, list.removed)
		list.mu.Unlock()
		require.NoError(t, s.Stop(t.Context()))
		require.NoError(t, objects.Stop(t.Context()))
		require.NoError(t, bus.Close())
	})
}
