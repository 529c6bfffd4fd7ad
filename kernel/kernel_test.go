package kernel_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/kernel"
)

// service logs its starts and stops.
type service struct {
	name     string
	needs    []string
	log      *[]string
	startErr error
	stopErr  error
}

func (s *service) Name() string           { return s.name }
func (s *service) Dependencies() []string { return s.needs }

func (s *service) Start(context.Context) error {
	*s.log = append(*s.log, "+"+s.name)
	return s.startErr
}

func (s *service) Stop(context.Context) error {
	*s.log = append(*s.log, "-"+s.name)
	return s.stopErr
}

// Guards against services that start before those they need, stop before those that need them, or
// go on after a failed start.
func TestStartAndStopOrder(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name              string
		services          []*service
		startErr, stopErr string
		log               []string
	}{
		{"by needs, not by registration", []*service{{name: "c", needs: []string{"b"}}, {name: "a"}, {name: "b", needs: []string{"a"}}},
			"", "", []string{"+a", "+b", "+c", "-c", "-b", "-a"}},
		{"a need that is not registered", []*service{{name: "a", needs: []string{"z"}}},
			`service "a" needs "z", which is not registered`, "", nil},
		{"needs in a cycle", []*service{{name: "a", needs: []string{"b"}}, {name: "b", needs: []string{"a"}}}, "need each other", "", nil},
		{"a service that needs itself", []*service{{name: "a", needs: []string{"a"}}}, "need each other", "", nil},
		{"a failed start stops what runs, in reverse", []*service{{name: "a"}, {name: "b"}, {name: "c", startErr: broken}, {name: "d"}},
			`start service "c": broken`, "", []string{"+a", "+b", "+c", "-b", "-a"}},
		{"a failed stop does not keep others running", []*service{{name: "a"}, {name: "b", stopErr: broken}},
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

// Guards against two services under one name and against a lookup that returns the wrong one.
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
	require.ErrorContains(t, err, "has type")
}

type numbered struct{ N int }

func (numbered) Topic() string { return "numbered" }

type other struct{}

func (other) Topic() string { return "other" }

// Guards against events that are lost, reordered or delivered to the wrong topic, and against a
// handler that runs twice at a time.
func TestBusDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = 1000 // more than the buffer of a subscriber
		bus := kernel.NewBus()
		var first, second []int
		ctx, cancel := context.WithCancel(t.Context())
		require.NoError(t, kernel.Subscribe(ctx, bus, func(ev numbered) { first = append(first, ev.N) }))
		require.NoError(t, kernel.Subscribe(t.Context(), bus, func(ev numbered) { second = append(second, ev.N) }))
		var want []int
		for n := range events {
			require.NoError(t, bus.Publish(numbered{N: n}))
			require.NoError(t, bus.Publish(other{}))
			synctest.Wait()
			want = append(want, n)
		}
		require.Equal(t, want, first)
		cancel()
		synctest.Wait()
		require.NoError(t, bus.Publish(numbered{N: events}))
		synctest.Wait()
		require.Len(t, first, events)
		require.Len(t, second, events+1)
		require.NoError(t, bus.Close())
	})
}
