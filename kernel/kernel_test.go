package kernel_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel"
)

// service records its starts and stops in log.
type service struct {
	name     string
	deps     []string
	log      *[]string
	startErr error
	stopErr  error
}

func (s *service) Name() string           { return s.name }
func (s *service) Dependencies() []string { return s.deps }

func (s *service) Start(context.Context) error {
	*s.log = append(*s.log, "+"+s.name)
	return s.startErr
}

func (s *service) Stop(context.Context) error {
	*s.log = append(*s.log, "-"+s.name)
	return s.stopErr
}

// Guards against services that start before their dependencies, stop before their dependents, or
// keep running after a failed start.
func TestStartAndStopOrder(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name              string
		services          []*service
		startErr, stopErr string
		log               []string
	}{
		{"dependency order, not registration order",
			[]*service{{name: "c", deps: []string{"b"}}, {name: "a"}, {name: "b", deps: []string{"a"}}},
			"", "", []string{"+a", "+b", "+c", "-c", "-b", "-a"}},
		{"unregistered dependency", []*service{{name: "a", deps: []string{"z"}}},
			`service "a" depends on "z", which is not registered`, "", nil},
		{"dependency cycle", []*service{{name: "a", deps: []string{"b"}}, {name: "b", deps: []string{"a"}}},
			`dependency cycle between services "a" and "b"`, "", nil},
		{"service that depends on itself", []*service{{name: "a", deps: []string{"a"}}},
			`dependency cycle between services "a" and "a"`, "", nil},
		{"failed start stops the started services in reverse",
			[]*service{{name: "a"}, {name: "b"}, {name: "c", startErr: broken}, {name: "d"}},
			`start service "c": broken`, "", []string{"+a", "+b", "+c", "-b", "-a"}},
		{"failed stop does not prevent other stops", []*service{{name: "a"}, {name: "b", stopErr: broken}},
			"", `stop service "b": broken`, []string{"+a", "+b", "-b", "-a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log []string
			k := kernel.New()
			for _, s := range c.services {
				s.log = &log
				require.NoError(t, k.Register(s))
			}
			requireError(t, c.startErr, k.Start(t.Context()))
			if c.startErr == "" {
				requireError(t, c.stopErr, k.Stop(t.Context()))
			}
			require.Equal(t, c.log, log)
		})
	}
}

func requireError(t *testing.T, want string, err error) {
	t.Helper()
	if want == "" {
		require.NoError(t, err)
		return
	}
	require.ErrorContains(t, err, want)
}

// Guards against two services under one name and against a lookup that returns the wrong service.
func TestRegisterAndLookup(t *testing.T) {
	k := kernel.New()
	a := &service{name: "a"}
	require.NoError(t, k.Register(a))
	require.ErrorContains(t, k.Register(&service{name: "a"}), "registered twice")
	found, err := kernel.Lookup[*service](k, "a")
	require.NoError(t, err)
	require.Same(t, a, found)
	_, err = kernel.Lookup[*service](k, "b")
	require.ErrorContains(t, err, `no service is registered under "b"`)
	_, err = kernel.Lookup[interface{ Missing() }](k, "a")
	require.ErrorContains(t, err, "has unexpected type")
}

type numberedEvent struct{ N int }

func (numberedEvent) Topic() string { return "numbered" }

type otherEvent struct{}

func (otherEvent) Topic() string { return "other" }

// Guards against events that are lost, reordered or delivered to the wrong topic, against concurrent
// calls of a handler, and against deliveries after the subscription has ended.
func TestBusDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = 1000 // exceeds subscriberBuffer
		bus := kernel.NewBus()
		var first, second []int
		ctx, cancel := context.WithCancel(t.Context())
		require.NoError(t, kernel.Subscribe(ctx, bus, func(ev numberedEvent) { first = append(first, ev.N) }))
		require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev numberedEvent) { second = append(second, ev.N) }))
		var want []int
		for n := range events {
			require.NoError(t, bus.Publish(numberedEvent{N: n}))
			require.NoError(t, bus.Publish(otherEvent{}))
			synctest.Wait()
			want = append(want, n)
		}
		require.Equal(t, want, first)
		cancel()
		synctest.Wait()
		require.NoError(t, bus.Publish(numberedEvent{N: events}))
		synctest.Wait()
		require.Len(t, first, events)
		require.Len(t, second, events+1)
		require.NoError(t, bus.Close())
	})
}
