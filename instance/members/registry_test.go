package members_test

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/target"
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
	calls   []string
}

func (w *written) Instances(context.Context, platform.Purpose) ([]platform.Instance, error) {
	return w.read("read")
}

func (w *written) FreshInstances(context.Context) ([]platform.Instance, error) {
	return w.read("read fresh")
}

func (w *written) read(call string) ([]platform.Instance, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, call)
	return slices.Clone(w.entries), nil
}

func (w *written) WriteInstance(_ context.Context, i platform.Instance, replace bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.IndexFunc(w.entries, func(e platform.Instance) bool { return e.ID == i.ID })
	switch {
	case replace != (at >= 0):
		return errors.New("conflict")
	case replace:
		w.calls = append(w.calls, "replace")
		w.entries[at] = i
	default:
		w.calls = append(w.calls, "create")
		w.entries = append(w.entries, i)
	}
	return nil
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
		defer start(t, list)()
		time.Sleep(90 * time.Minute)
		require.Empty(t, list.removed)
		time.Sleep(time.Hour)
		list.mu.Lock()
		require.Equal(t, []string{"lost"}, list.removed)
		list.mu.Unlock()
	})
}

// Guards against an instance that never registers or never reads the list after a restart, and against calls that
// a restart makes for nothing.
func TestInstanceRegisters(t *testing.T) {
	own := platform.Instance{ID: "a", Address: "a:1", FailureDomain: "d", State: platform.InstanceLive}
	moved := own
	moved.Address = "a:9"
	for name, c := range map[string]struct {
		before []platform.Instance
		calls  []string
	}{
		"first start":                {nil, []string{"read fresh", "create", "read fresh"}},
		"restart":                    {[]platform.Instance{own}, []string{"read fresh"}},
		"restart at another address": {[]platform.Instance{moved}, []string{"read fresh", "replace", "read fresh"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			list := &written{entries: c.before}
			defer start(t, list)()
			time.Sleep(15 * time.Second)
			list.mu.Lock()
			defer list.mu.Unlock()
			require.Equal(t, []platform.Instance{own}, list.entries, name)
			require.Equal(t, append(c.calls, "read"), list.calls, name)
		})
	}
}

// start starts an instance whose peers accept no connection, and returns what ends it.
func start(t *testing.T, list members.Lister) (stop func()) {
	return startWith(t, list, func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
}

// startWith starts an instance that reaches its peers by dial.
func startWith(t *testing.T, list members.Lister, dial target.DialFunc, seeds ...string) (stop func()) {
	bus, ring, c := kernel.NewBus(), timeline.NewRing("a", 64, hlc.New(time.Now)), counters.NewSet()
	log := slog.New(slog.DiscardHandler)
	schema := configsync.Schema{
		Kinds: []string{"routes"}, Required: "routes", WatchWait: time.Second,
		Decode: func(config.Object) (kernel.Event, string, error) { return changed{}, "", nil },
	}
	objects := configsync.NewWithSchema(schema, emptyStore{}, bus, ring, log, c)
	self := membership.Member{ID: "a", Address: "a:1", FailureDomain: "d", Incarnation: 1, State: membership.Starting}
	s := members.New(self, list, objects, bus, ring, log, c)
	s.UseDial(dial)
	s.UseSeeds(seeds)
	require.NoError(t, objects.Start(t.Context()))
	require.NoError(t, s.Start(t.Context()))
	return func() {
		require.NoError(t, s.Stop(t.Context()))
		require.NoError(t, objects.Stop(t.Context()))
		require.NoError(t, bus.Close())
	}
}
