package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	api "hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/emulator/pipenet"
	"hyssopcroft.example/emulator/platform"
	"hyssopcroft.example/kernel/settings"
)

const purpose api.Purpose = "test"

// objectAPI is the API that both the stand-in and the adapter implement.
type objectAPI interface {
	Get(ctx context.Context, p api.Purpose, kind, name string) (api.Object, error)
	Put(ctx context.Context, p api.Purpose, o api.Object, expected api.Version, ttl time.Duration) (api.Version, error)
	Delete(ctx context.Context, p api.Purpose, kind, name string, expected api.Version) error
	Watch(ctx context.Context, p api.Purpose, kind string, after api.Version, wait time.Duration) (api.Changes, error)
	Instances(ctx context.Context, p api.Purpose) ([]api.Instance, error)
}

// directAPI implements objectAPI by calling the store without a connection.
type directAPI struct{ store *platform.Store }

func (d directAPI) Get(_ context.Context, _ api.Purpose, kind, name string) (api.Object, error) {
	if o, ok := d.store.Get(kind, name); ok {
		return o, nil
	}
	return api.Object{}, api.ErrNotFound
}

func (d directAPI) Put(
	_ context.Context, _ api.Purpose, o api.Object, expected api.Version, ttl time.Duration,
) (api.Version, error) {
	after, ok := d.store.Put(o.Kind, o.Name, o.Data, expected, ttl)
	return versionOrConflict(after, ok, expected)
}

func (d directAPI) Delete(_ context.Context, _ api.Purpose, kind, name string, expected api.Version) error {
	after, ok := d.store.Delete(kind, name, expected)
	_, err := versionOrConflict(after, ok, expected)
	return err
}

func versionOrConflict(after api.Object, ok bool, expected api.Version) (api.Version, error) {
	if !ok {
		return 0, &api.ConflictError{Kind: after.Kind, Name: after.Name, Expected: expected, Actual: after.Version}
	}
	return after.Version, nil
}

func (d directAPI) Watch(
	ctx context.Context, _ api.Purpose, kind string, after api.Version, wait time.Duration,
) (api.Changes, error) {
	return d.store.Watch(ctx, kind, after, wait), nil
}

func (d directAPI) Instances(context.Context, api.Purpose) ([]api.Instance, error) {
	return d.store.Instances(), nil
}

type harness struct {
	store  *platform.Store
	server *platform.Server
	client *api.Client
	calls  int // number of calls counted by the client
}

func withHarness(t *testing.T, f func(*testing.T, *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{store: platform.NewStore()}
		h.server = platform.NewServer(h.store)
		network := pipenet.New()
		l, err := network.Listen("platform:80")
		require.NoError(t, err)
		server := &http.Server{Handler: h.server}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: network.DialContext}
		h.client = api.NewClient("http://platform", transport, func(api.Purpose) { h.calls++ })
		defer server.Close()
		defer transport.CloseIdleConnections()
		f(t, h)
	})
}

func configObject(data string) api.Object {
	return api.Object{Kind: "config", Name: "current", Data: json.RawMessage(data)}
}

func requireConflict(t *testing.T, err error, expected, actual api.Version) {
	t.Helper()
	var c *api.ConflictError
	require.ErrorAs(t, err, &c)
	require.Equal(t, api.ConflictError{Kind: "config", Name: "current", Expected: expected, Actual: actual}, *c)
}

// Guards against differences between the stand-in and the adapter in versions, conflicts, expiry or
// watches.
func TestObjectContract(t *testing.T) {
	ctx := context.Background()
	mustPut := func(t *testing.T, o objectAPI, data string, expected api.Version) api.Version {
		v, err := o.Put(ctx, purpose, configObject(data), expected, 0)
		require.NoError(t, err)
		return v
	}
	requireData := func(t *testing.T, o objectAPI, data string, version api.Version) {
		got, err := o.Get(ctx, purpose, "config", "current")
		require.NoError(t, err)
		require.Equal(t, api.Object{Kind: "config", Name: "current", Version: version, Data: json.RawMessage(data)}, got)
	}
	requireAbsent := func(t *testing.T, o objectAPI) {
		_, err := o.Get(ctx, purpose, "config", "current")
		require.ErrorIs(t, err, api.ErrNotFound)
	}
	cases := map[string]func(*testing.T, objectAPI, *harness){
		"a missing object is not found": func(t *testing.T, o objectAPI, _ *harness) { requireAbsent(t, o) },
		"a written object is read with its version": func(t *testing.T, o objectAPI, _ *harness) {
			requireData(t, o, `1`, mustPut(t, o, `1`, 0))
		},
		"a write that expects another version changes nothing": func(t *testing.T, o objectAPI, _ *harness) {
			v := mustPut(t, o, `1`, 0)
			_, err := o.Put(ctx, purpose, configObject(`2`), 0, 0)
			requireConflict(t, err, 0, v)
			requireData(t, o, `1`, v)
		},
		"one of two racing writes succeeds": func(t *testing.T, o objectAPI, _ *harness) {
			v := mustPut(t, o, `1`, 0)
			latest := mustPut(t, o, `2`, v)
			_, err := o.Put(ctx, purpose, configObject(`3`), v, 0)
			requireConflict(t, err, v, latest)
			requireData(t, o, `2`, latest)
		},
		"a delete that expects another version changes nothing": func(t *testing.T, o objectAPI, _ *harness) {
			v := mustPut(t, o, `1`, 0)
			requireConflict(t, o.Delete(ctx, purpose, "config", "current", v+1), v+1, v)
			require.NoError(t, o.Delete(ctx, purpose, "config", "current", v))
			requireConflict(t, o.Delete(ctx, purpose, "config", "current", v), v, 0)
			requireAbsent(t, o)
		},
		"an object expires": func(t *testing.T, o objectAPI, _ *harness) {
			_, err := o.Put(ctx, purpose, configObject(`1`), 0, time.Second)
			require.NoError(t, err)
			time.Sleep(time.Second)
			requireAbsent(t, o)
		},
		"a first watch returns all objects immediately": func(t *testing.T, o objectAPI, _ *harness) {
			v := mustPut(t, o, `1`, 0)
			changes, err := o.Watch(ctx, purpose, "config", 0, time.Hour)
			require.NoError(t, err)
			require.Equal(t, v, changes.Revision)
			require.Len(t, changes.Objects, 1)
		},
		"a watch waits for a change": func(t *testing.T, o objectAPI, h *harness) {
			v := mustPut(t, o, `1`, 0)
			time.AfterFunc(time.Second, func() { h.store.Put("config", "current", []byte(`2`), v, 0) })
			start := time.Now()
			changes, err := o.Watch(ctx, purpose, "config", v, time.Minute)
			require.NoError(t, err)
			require.Len(t, changes.Objects, 1)
			require.Equal(t, time.Second, time.Since(start))
		},
		"a watch ends without a change": func(t *testing.T, o objectAPI, _ *harness) {
			v := mustPut(t, o, `1`, 0)
			changes, err := o.Watch(ctx, purpose, "config", v, time.Second)
			require.NoError(t, err)
			require.Equal(t, v, changes.Revision)
			require.Empty(t, changes.Objects)
		},
		"a watch returns a deletion": func(t *testing.T, o objectAPI, _ *harness) {
			v := mustPut(t, o, `1`, 0)
			require.NoError(t, o.Delete(ctx, purpose, "config", "current", v))
			changes, err := o.Watch(ctx, purpose, "config", v, time.Second)
			require.NoError(t, err)
			require.True(t, changes.Objects[0].Deleted)
		},
		"the instance list is returned": func(t *testing.T, o objectAPI, h *harness) {
			list := []api.Instance{{ID: "entry-1", Address: "127.0.0.1:7101", State: api.InstanceLive}}
			h.store.SetInstances(list)
			got, err := o.Instances(ctx, purpose)
			require.NoError(t, err)
			require.Equal(t, list, got)
		},
	}
	for name, run := range cases {
		t.Run(name+"/stand-in", func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) { run(t, directAPI{h.store}, h) })
		})
		t.Run(name+"/adapter", func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) { run(t, h.client, h) })
		})
	}
}

// Guards against faults that have no effect at the adapter, or an effect other than the documented one.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	second := settings.Duration(time.Second)
	requireUnavailable := func(t *testing.T, err error) { require.ErrorIs(t, err, api.ErrUnavailable) }
	put := func(h *harness, data string, expected api.Version) error {
		_, err := h.client.Put(ctx, purpose, configObject(data), expected, 0)
		return err
	}
	storedData := func(h *harness) string {
		o, _ := h.store.Get("config", "current")
		return string(o.Data)
	}
	cases := []struct {
		name   string
		faults platform.Faults
		run    func(*testing.T, *harness)
	}{
		{"a refused write has no effect", platform.Faults{Outage: platform.OutageRefuse}, func(t *testing.T, h *harness) {
			requireUnavailable(t, put(h, `1`, 0))
			require.Empty(t, storedData(h))
		}},
		{"a call to a silent platform ends at its time limit", platform.Faults{Outage: platform.OutageSilent}, func(t *testing.T, h *harness) {
			start := time.Now()
			requireUnavailable(t, put(h, `1`, 0))
			require.Equal(t, 2*time.Second, time.Since(start))
			require.Empty(t, storedData(h))
		}},
		{"a lost answer leaves the write in effect", platform.Faults{LostAnswers: 1}, func(t *testing.T, h *harness) {
			requireUnavailable(t, put(h, `1`, 0))
			require.Equal(t, `1`, storedData(h))
		}},
		{"a slow write takes effect after the timeout of its caller", platform.Faults{Delay: 3 * second}, func(t *testing.T, h *harness) {
			requireUnavailable(t, put(h, `1`, 0))
			time.Sleep(900 * time.Millisecond)
			require.Empty(t, storedData(h))
			time.Sleep(200 * time.Millisecond)
			require.Equal(t, `1`, storedData(h))
		}},
		{"a stale read returns the previous version", platform.Faults{StaleReads: 1, StaleFor: second}, func(t *testing.T, h *harness) {
			first, _ := h.store.Put("config", "current", []byte(`1`), 0, 0)
			time.Sleep(time.Second)
			h.store.Put("config", "current", []byte(`2`), first.Version, 0)
			for _, want := range []string{`1`, `2`} {
				got, err := h.client.Get(ctx, purpose, "config", "current")
				require.NoError(t, err)
				require.JSONEq(t, want, string(got.Data))
				time.Sleep(time.Second)
			}
		}},
		{"a watch event is late", platform.Faults{WatchDelay: second}, func(t *testing.T, h *harness) {
			o, _ := h.store.Put("config", "current", []byte(`1`), 0, 0)
			start := time.Now()
			changes, err := h.client.Watch(ctx, purpose, "config", o.Version-1, time.Minute)
			require.NoError(t, err)
			require.Len(t, changes.Objects, 1)
			require.Equal(t, time.Second, time.Since(start))
		}},
		{"the instance list lags", platform.Faults{InstanceLag: second}, func(t *testing.T, h *harness) {
			h.store.SetInstances([]api.Instance{{ID: "entry-1"}})
			for want := range 2 {
				list, err := h.client.Instances(ctx, purpose)
				require.NoError(t, err)
				require.Len(t, list, want)
				time.Sleep(time.Second)
			}
		}},
		{"a call with another purpose is not affected", platform.Faults{Outage: platform.OutageRefuse, Purposes: []api.Purpose{"claim"}}, func(t *testing.T, h *harness) {
			require.NoError(t, put(h, `1`, 0))
		}},
		{"an outage ends a waiting watch", platform.Faults{}, func(t *testing.T, h *harness) {
			o, _ := h.store.Put("config", "current", []byte(`1`), 0, 0)
			time.AfterFunc(time.Second, func() { _ = h.server.SetFaults(platform.Faults{Outage: platform.OutageRefuse}) })
			start := time.Now()
			_, err := h.client.Watch(ctx, purpose, "config", o.Version, time.Minute)
			requireUnavailable(t, err)
			require.Equal(t, time.Second, time.Since(start))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				require.NoError(t, h.server.SetFaults(c.faults))
				c.run(t, h)
				require.EqualValues(t, h.calls, h.server.Calls(purpose).Value())
			})
		})
	}
}

// Guards against runs with the same seed in which different calls fail.
func TestSeedRepeatsFaults(t *testing.T) {
	run := func(seed uint64) (failed []int) {
		withHarness(t, func(t *testing.T, h *harness) {
			require.NoError(t, h.server.SetFaults(platform.Faults{Seed: seed, LostAnswers: 0.5}))
			for i := range 20 {
				_, err := h.client.Put(t.Context(), purpose, api.Object{Kind: "k", Name: string(rune('a' + i)), Data: []byte(`1`)}, 0, 0)
				if errors.Is(err, api.ErrUnavailable) {
					failed = append(failed, i)
				}
			}
		})
		return failed
	}
	first := run(5)
	require.NotEmpty(t, first)
	require.Less(t, len(first), 20)
	require.Equal(t, first, run(5))
	require.NotEqual(t, first, run(6))
}

// Guards against invalid faults that are accepted without an error.
func TestInvalidFaultsAreRejected(t *testing.T) {
	s := platform.NewServer(platform.NewStore())
	for _, f := range []platform.Faults{{LostAnswers: 1.5}, {StaleReads: -1}, {Delay: -1}, {Outage: "partly"}} {
		require.Error(t, s.SetFaults(f))
	}
}
