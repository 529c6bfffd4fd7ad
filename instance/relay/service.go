// Package relay serves the second level of a fan-out over two levels: other instances ask this one
// for the shards of the groups of targets that it holds.
package relay

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/kernel/counters"
)

// Name is the name of the service.
const Name = "relay"

// Backend runs one group over the targets of this instance.
type Backend interface {
	// RunGroup returns the partial answer, or an outcome that says that nothing was sent.
	RunGroup(ctx context.Context, g peer.ScatterGroup) peer.Partial
}

// Service implements relaypb.Relay. It is safe for concurrent use.
type Service struct {
	backend  Backend
	counters *counters.Set
}

// New returns a service over a backend.
func New(backend Backend, c *counters.Set) *Service { return &Service{backend: backend, counters: c} }

// ScatterGroup implements relaypb.Relay. Failures are outcomes in the response.
func (s *Service) ScatterGroup(ctx context.Context, req *relaypb.GroupRequest) (*relaypb.GroupResponse, error) {
	start := time.Now()
	p := s.backend.RunGroup(ctx, peer.GroupFromWire(req))
	s.counters.Counter("relay_groups_" + p.Outcome.String()).Add(1)
	p.Took = time.Since(start)
	return peer.PartialToWire(p), nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }
