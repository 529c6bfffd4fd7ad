// Package members keeps an instance's view of the other instances: from the platform's list at
// first, then from direct exchanges.
package members

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
)

// Name is the name of the service.
const Name = "members"

const (
	// exchangePeriod is the time between two exchanges with the peers.
	exchangePeriod = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// listPeriod is the time between two reads of the platform's list.
	listPeriod = 10 * time.Second
)

// Changed is published when the record of a member changed.
type Changed struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Topic implements kernel.Event.
func (Changed) Topic() string { return "member_changed" }

// Service exchanges member records with peers. It is safe for concurrent use.
type Service struct {
	client    *platform.Client
	transport http.RoundTripper
	bus       *kernel.Bus
	ring      *timeline.Ring
	log       *slog.Logger
	counters  *counters.Set

	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex // guards table
	table *membership.Table
}

// New returns a service for the instance that self describes.
func New(self membership.Member, client *platform.Client, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	return &Service{
		client: client, transport: peer.NewTransport(), bus: bus, ring: ring, log: log, counters: c,
		table: membership.NewTable(self),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{configsync.Name} }

// Start begins to exchange records.
func (s *Service) Start(startCtx context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	err := kernel.Subscribe(ctx, s.bus, func(ev configsync.InForce) {
		s.change(func(m *membership.Member) { m.ConfigSequence = uint64(ev.Sequence) })
	})
	if err != nil {
		cancel()
		return err
	}
	s.change(func(m *membership.Member) { m.State = membership.Live })
	s.readList(startCtx) // The first exchange reaches only those that are known.
	s.done.Go(func() { every(ctx, listPeriod, s.readList) })
	s.done.Go(func() { every(ctx, exchangePeriod, s.exchangeWithAll) })
	return nil
}

// Stop ends the exchanges.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Leave announces to all peers that the instance is leaving, and returns when each has been told or
// could not be reached.
func (s *Service) Leave(ctx context.Context) {
	s.change(func(m *membership.Member) { m.State = membership.Leaving })
	s.announce(s.self())
	s.exchangeWithAll(ctx)
}

// Leaving reports whether the instance has announced that it is leaving.
func (s *Service) Leaving() bool { return s.self().State == membership.Leaving }

// Members returns all known members, the instance itself included.
func (s *Service) Members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// LiveCount returns the number of members that take requests, at least 1.
func (s *Service) LiveCount() int {
	live := 0
	for _, m := range s.Members() {
		if m.State == membership.Live {
			live++
		}
	}
	return max(1, live)
}

// Exchange implements the twirp service.
func (s *Service) Exchange(_ context.Context, req *memberpb.ExchangeRequest) (*memberpb.ExchangeResponse, error) {
	s.counters.Counter("exchanges_received").Add(1)
	s.merge(peer.FromWire(req.Sender))
	return &memberpb.ExchangeResponse{Responder: peer.ToWire(s.self())}, nil
}

func (s *Service) self() membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

func (s *Service) change(f func(*membership.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetSelf(f)
}

func (s *Service) merge(m membership.Member) {
	s.mu.Lock()
	changed := s.table.Merge(m)
	s.mu.Unlock()
	if !changed {
		return
	}
	s.announce(m)
}

// announce tells the other services of this instance about a changed record.
func (s *Service) announce(m membership.Member) {
	s.ring.Add("member_changed", m.ID, m.State.String())
	if err := s.bus.Publish(Changed{ID: m.ID, State: m.State.String()}); err != nil {
		s.log.Error("event not published", "topic", "member_changed", "error", err)
	}
}

func (s *Service) readList(ctx context.Context) {
	list, err := s.client.Instances(ctx, "list_instances")
	if err != nil {
		s.counters.Counter("instance_list_failures").Add(1)
		return
	}
	for _, i := range list {
		state := membership.Starting
		if i.State == platform.InstanceLeaving {
			state = membership.Leaving
		}
		s.merge(membership.Member{ID: i.ID, Address: i.Address, FailureDomain: i.FailureDomain, State: state})
	}
}

func (s *Service) exchangeWithAll(ctx context.Context) {
	self := s.self()
	var wait sync.WaitGroup
	for _, m := range s.Members() {
		if m.ID == self.ID || m.State == membership.Dead {
			continue
		}
		wait.Go(func() { s.exchangeWith(ctx, self, m) })
	}
	wait.Wait()
}

func (s *Service) exchangeWith(ctx context.Context, self, other membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s.counters.Counter("exchanges_sent").Add(1)
	client := peer.MembershipClient(other.Address, s.transport)
	resp, err := client.Exchange(ctx, &memberpb.ExchangeRequest{Sender: peer.ToWire(self)})
	if err != nil {
		s.counters.Counter("exchange_failures").Add(1)
		return
	}
	s.merge(peer.FromWire(resp.Responder))
}

// every calls f at once and then once in each period until ctx is done.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
