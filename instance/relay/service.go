// Package relay serves the lower level of a two-level fan-out: it runs parts of other instances' queries on the groups
// of targets that this instance holds.
package relay

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
)

// Name is the name of the service.
const Name = "relay"

// Backend runs groups on the targets of this instance and receives the reports of other instances.
type Backend interface {
	// RunGroup returns the partial answer, or an outcome which states that no attempt was sent to a target.
	RunGroup(ctx context.Context, g peer.GroupRequest) peer.GroupResponse
	// OnSuspicion handles another instance's report that a request crashed targets.
	OnSuspicion(s peer.Suspicion)
	// OnDrainingReport handles another instance's report that a target is leaving.
	OnDrainingReport(d peer.DrainingReport)
	// RunForwarded runs a request of a caller of another instance.
	RunForwarded(ctx context.Context, r peer.ForwardedRequest) peer.ForwardedResponse
}

// Service implements relaypb.Relay. It is safe for concurrent use.
type Service struct {
	backend   Backend
	counters  *counters.Set
	startWork func() bool
	endWork   func()
}

// New returns a service that runs groups on a backend.
func New(backend Backend, c *counters.Set) *Service {
	return &Service{backend: backend, counters: c, startWork: func() bool { return true }, endWork: func() {}}
}

// UseDrain sets the functions that are called around each group: startWork returns false if new work is refused, and
// endWork is called when an accepted group has ended. UseDrain must be called before the service serves requests.
func (s *Service) UseDrain(startWork func() bool, endWork func()) {
	s.startWork, s.endWork = startWork, endWork
}

// ScatterGroup implements relaypb.Relay. Failures are reported as outcomes in the response.
func (s *Service) ScatterGroup(ctx context.Context, req *relaypb.GroupRequest) (*relaypb.GroupResponse, error) {
	start := time.Now()
	p := s.run(ctx, peer.GroupRequestFromWire(req))
	s.counters.Counter("relay_groups_" + p.Outcome.String()).Add(1)
	p.Took = time.Since(start)
	return peer.GroupResponseToWire(p), nil
}

// Suspect implements relaypb.Relay.
func (s *Service) Suspect(_ context.Context, req *relaypb.SuspectRequest) (*relaypb.SuspectResponse, error) {
	s.backend.OnSuspicion(peer.SuspicionFromWire(req))
	return &relaypb.SuspectResponse{}, nil
}

// Draining implements relaypb.Relay.
func (s *Service) Draining(_ context.Context, req *relaypb.DrainingRequest) (*relaypb.DrainingResponse, error) {
	s.backend.OnDrainingReport(peer.DrainingReportFromWire(req))
	return &relaypb.DrainingResponse{}, nil
}

// Forward implements relaypb.Relay. Failures are reported as outcomes in the response.
func (s *Service) Forward(ctx context.Context, req *relaypb.ForwardRequest) (*relaypb.ForwardResponse, error) {
	resp := peer.ForwardedResponse{Outcome: peer.ForwardUnavailable, Reason: "the instance is leaving"}
	if s.startWork() {
		defer s.endWork()
		resp = s.backend.RunForwarded(ctx, peer.ForwardedRequestFromWire(req))
	}
	s.counters.Counter("relay_forwarded_" + resp.Outcome.String()).Add(1)
	return peer.ForwardedResponseToWire(resp), nil
}

func (s *Service) run(ctx context.Context, g peer.GroupRequest) peer.GroupResponse {
	if !s.startWork() {
		return peer.GroupResponse{Reply: group.Reply{Attempt: g.Attempt, Outcome: query.OutcomeDraining}}
	}
	defer s.endWork()
	return s.backend.RunGroup(ctx, g)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }
