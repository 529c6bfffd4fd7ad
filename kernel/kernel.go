// Package kernel manages the services of an instance: services register under a name, look each other
// up by name, start in dependency order and stop in reverse.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Service is a component of an instance that is started and stopped.
type Service interface {
	// Name returns the name under which other services look this one up.
	Name() string
	// Dependencies returns the names of the services that must run before this one starts.
	Dependencies() []string
	// Start returns once the service is usable. Background work continues until Stop.
	Start(ctx context.Context) error
	// Stop ends background work and returns when that work has ended or ctx is done.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one instance.
type Kernel struct {
	bus *Bus

	mu       sync.Mutex // guards services, names and started
	services map[string]Service
	names    []string  // in registration order
	started  []Service // in start order
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{bus: NewBus(), services: map[string]Service{}}
}

// Bus returns the event bus of the instance.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds a service. It fails if a service of that name is already registered.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[s.Name()]; taken {
		return errors.Errorf("service %q is registered twice", s.Name())
	}
	k.services[s.Name()] = s
	k.names = append(k.names, s.Name())
	return nil
}

// Lookup returns the service registered under name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	if !ok {
		return zero, errors.Errorf("no service is registered under %q", name)
	}
	typed, ok := s.(T)
	if !ok {
		return zero, errors.Errorf("service %q has unexpected type %T", name, s)
	}
	return typed, nil
}

// Start starts all services, each after its dependencies. If one fails, the services already started
// are stopped and the error is returned.
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

// Stop stops the started services in reverse start order and closes the bus. All services are
// stopped even if one of them fails; the first error is returned.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	var firstErr error
	for i := len(started) - 1; i >= 0; i-- {
		err := errors.Wrapf(started[i].Stop(ctx), "stop service %q", started[i].Name())
		firstErr = firstError(firstErr, err)
	}
	return firstError(firstErr, k.bus.Close())
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// startOrder sorts the services topologically by their dependencies.
func (k *Kernel) startOrder() ([]Service, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := sorter{services: k.services, state: map[string]visitState{}}
	for _, name := range k.names {
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

func (s *sorter) visit(name, dependent string) error {
	service, ok := s.services[name]
	if !ok {
		return errors.Errorf("service %q depends on %q, which is not registered", dependent, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return errors.Errorf("dependency cycle between services %q and %q", name, dependent)
	}
	s.state[name] = visiting
	for _, dependency := range service.Dependencies() {
		if err := s.visit(dependency, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.sorted = append(s.sorted, service)
	return nil
}
