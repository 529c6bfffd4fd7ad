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

// fakeRegistry is a Registry in memory that records its calls.
type fakeRegistry struct {
	mu      sync.Mutex // guards the fields below
	entries []platform.Instance
	removed []string
	calls   []string
	era     uint64
}

func (r *fakeRegistry) Instances(context.Context, platform.Purpose) ([]platform.Instance, error) {
	return r.recordRead("read")
}

func (r *fakeRegistry) FreshInstances(context.Context) ([]platform.Instance, uint64, error) {
	list, err := r.recordRead("read fresh")
	return list, r.Era(), err
}

func (r *fakeRegistry) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

func (r *fakeRegistry) recordRead(call string) ([]platform.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
	return slices.Clone(r.entries), nil
}

func (r *fakeRegistry) WriteInstance(_ context.Context, i platform.Instance, replace bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.entries, func(e platform.Instance) bool { return e.ID == i.ID })
	switch {
	case replace != (at >= 0):
		return errors.New("conflict")
	case replace:
		r.calls = append(r.calls, "replace")
		r.entries[at] = i
	default:
		r.calls = append(r.calls, "create")
		r.entries = append(r.entries, i)
	}
	return nil
}

func (r *fakeRegistry) RemoveInstance(_ context.Context, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = append(r.removed, id)
	r.entries = r.entries[:1]
	return nil
}

// singleObjectStore is a configuration store with one object that never changes.
type singleObjectStore struct{}

func (singleObjectStore) Watch(ctx context.Context, _ platform.Purpose, _ string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	if after > 0 {
		time.Sleep(wait)
	}
	return platform.Changes{Revision: 1, Objects: []platform.Object{{Kind: "routes", Name: "current", Version: 1, Data: []byte("1")}}}, ctx.Err()
}

type changed struct{}

func (changed) Topic() string { return "changed" }

// Guards against a list that grows with each instance that fails permanently, and against the removal of an
// instance that may return: regions can be partitioned from each other for an hour.
func TestEntryOfDeadInstanceIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeRegistry{entries: []platform.Instance{
			{ID: "a", Address: "a:1", FailureDomain: "d", State: platform.InstanceLive},
			{ID: "lost", Address: "lost:1", FailureDomain: "d", State: platform.InstanceLive},
		}}
		defer startInstance(t, list)()
		time.Sleep(90 * time.Minute)
		require.Empty(t, list.removed)
		time.Sleep(time.Hour)
		list.mu.Lock()
		require.Equal(t, []string{"lost"}, list.removed)
		list.mu.Unlock()
	})
}

// Guards against an instance that does not register or does not read the list after a restart, and against
// needless calls to the list by a restart.
func TestInstanceRegisters(t *testing.T) {
	current := platform.Instance{ID: "a", Address: "a:1", FailureDomain: "d", State: platform.InstanceLive}
	moved := current
	moved.Address = "a:9"
	for name, c := range map[string]struct {
		before []platform.Instance
		calls  []string
	}{
		"first start":                {nil, []string{"read fresh", "create", "read fresh"}},
		"restart":                    {[]platform.Instance{current}, []string{"read fresh"}},
		"restart at another address": {[]platform.Instance{moved}, []string{"read fresh", "replace", "read fresh"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			list := &fakeRegistry{entries: c.before}
			defer startInstance(t, list)()
			time.Sleep(15 * time.Second)
			list.mu.Lock()
			defer list.mu.Unlock()
			require.Equal(t, []platform.Instance{current}, list.entries, name)
			require.Equal(t, append(c.calls, "read"), list.calls, name)
		})
	}
}

// Guards against an instance that is missing from the list because the list was restored from a copy.
func TestInstanceRegistersAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeRegistry{}
		defer startInstance(t, list)()
		time.Sleep(15 * time.Second)
		list.mu.Lock()
		list.entries, list.era = nil, 1
		list.mu.Unlock()
		time.Sleep(15 * time.Second)
		list.mu.Lock()
		defer list.mu.Unlock()
		require.Len(t, list.entries, 1)
	})
}

// startInstance starts an instance whose peers refuse connections, and returns a function that stops it.
func startInstance(t *testing.T, list members.Lister) (stop func()) {
	return startInstanceWithDial(t, list, func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	})
}

// startInstanceWithDial starts an instance that connects to its peers by dial.
func startInstanceWithDial(t *testing.T, list members.Lister, dial target.DialFunc, seeds ...string) (stop func()) {
	bus, ring, c := kernel.NewBus(), timeline.NewRing("a", 64, hlc.New(time.Now)), counters.NewSet()
	log := slog.New(slog.DiscardHandler)
	schema := configsync.Schema{
		Kinds: []string{"routes"}, Required: "routes", WatchWait: time.Second,
		Decode: func(config.Object) (kernel.Event, string, error) { return changed{}, "", nil },
	}
	objects := configsync.NewWithSchema(schema, singleObjectStore{}, bus, ring, log, c)
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
