// Package kernel is the micro-kernel of an instance: services register under a name, find each
// other by name, start in the order of their needs and stop in reverse.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Service is a part of an instance with a life cycle.
type Service interface {
	// Name is the name under which other services look this one up.
	Name() string
	// Dependencies lists the names of the services that must run before this one starts.
	Dependencies() []string
	// Start returns once the service is usable. Background work goes on until Stop.
	Start(ctx context.Context) error
	// Stop ends background work and returns when it has ended or when ctx is done.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one instance.
type Kernel struct {
	bus *Bus

	mu       sync.Mutex // guards services, order and started
	services map[string]Service
	order    []string  // names in the order of registration
	started  []Service // services in the order in which they started
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{bus: NewBus(), services: map[string]Service{}}
}

// Bus returns the event bus of the instance.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds a service. It fails if the name is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[s.Name()]; taken {
		return errors.Errorf("service %q is registered twice", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s.Name())
	return nil
}

// Lookup returns the service registered under name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var none T
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	if !ok {
		return none, errors.Errorf("no service is registered under %q", name)
	}
	typed, ok := s.(T)
	if !ok {
		return none, errors.Errorf("service %q has type %T", name, s)
	}
	return typed, nil
}

// Start starts all services, each after those that it needs. If one fails, the ones that
// already run are stopped again and the error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Start(ctx); err != nil {
			return errors.Wrapf(firstError(err, k.Stop(ctx)), "start service %q", s.Name())
		}
		k.mu.Lock()
		k.started = append(k.started, s)
		k.mu.Unlock()
	}
	return nil
}

// Stop stops the running services in reverse order of their start and closes the bus. All
// services are stopped even if one of them fails; the first error is returned.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		err := errors.Wrapf(started[i].Stop(ctx), "stop service %q", started[i].Name())
		first = firstError(first, err)
	}
	return firstError(first, k.bus.Close())
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// startOrder sorts the services topologically by their needs.
func (k *Kernel) startOrder() ([]Service, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := sorter{services: k.services, state: map[string]visitState{}}
	for _, name := range k.order {
		if err := s.visit(name, ""); err != nil {
			return nil, err
		}
	}
	return s.sorted, nil
}

type visitState uint8

const (
	unvisited visitState = iota
	visiting
	visited
)

type sorter struct {
	services map[string]Service
	state    map[string]visitState
	sorted   []Service
}

func (s *sorter) visit(name, neededBy string) error {
	service, ok := s.services[name]
	if !ok {
		return errors.Errorf("service %q needs %q, which is not registered", neededBy, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return errors.Errorf("services %q and %q need each other", name, neededBy)
	}
	s.state[name] = visiting
	for _, need := range service.Dependencies() {
		if err := s.visit(need, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.sorted = append(s.sorted, service)
	return nil
}
