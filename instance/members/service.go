// Package members keeps an instance's view of the other instances: from the platform's list at
// first, then from exchanges with a few peers.
package members

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
)

// Name is the name of the service.
const Name = "members"

const (
	// leaveTimeout bounds the exchanges that announce the end of the instance.
	leaveTimeout = membership.ExchangeTimeout
)

// Changed is published when the record of a member changed.
type Changed struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Topic implements kernel.Event.
func (Changed) Topic() string { return "member_changed" }

// Lister reads the platform's list of instances. It is implemented by platform.Client.
type Lister interface {
	Instances(ctx context.Context, p platform.Purpose) ([]platform.Instance, error)
}

// Service exchanges member records with peers. It is safe for concurrent use.
type Service struct {
	lister    Lister
	seeds     []string
	config    *configsync.Service
	transport http.RoundTripper
	pool      *http.Transport // carries transport
	traffic   *peer.Traffic
	bus       *kernel.Bus
	ring      *timeline.Ring
	log       *slog.Logger
	counters  *counters.Set

	cancel context.CancelFunc
	done   sync.WaitGroup
	kick   chan struct{} // wakes the loop after a change

	registered bool // the list has the instance's own entry; used by the goroutine that reads the list

	mu   sync.Mutex // guards node
	node *membership.Node
}

// New returns a service for the instance that self describes. The service lets cfg reach the peers.
func New(self membership.Member, lister Lister, cfg *configsync.Service, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	traffic := &peer.Traffic{
		BytesSent: c.Counter("control_bytes_sent"), BytesReceived: c.Counter("control_bytes_received"),
		MessagesSent: c.Counter("control_messages_sent"), MessagesReceived: c.Counter("control_messages_received"),
	}
	pool := peer.NewTransport(traffic)
	s := &Service{
		lister: lister, config: cfg, transport: peer.CountMessages(pool, traffic), pool: pool,
		traffic: traffic, bus: bus, ring: ring, log: log, counters: c, kick: make(chan struct{}, 1),
		node: membership.NewNode(self, time.Now(), rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))),
	}
	cfg.Bind(s)
	return s
}

// WrapTransport replaces the transport to peers by one built on it. It must be called before Start.
func (s *Service) WrapTransport(wrap func(http.RoundTripper) http.RoundTripper) {
	s.transport = wrap(s.transport)
}

// UseDial makes the service open its connections to peers with dial, whose bytes are not counted. It must
// be called before Start.
func (s *Service) UseDial(dial target.DialFunc) { s.pool.DialContext = dial }

// UseSeeds sets addresses of instances that are asked for the members while the platform's list is away.
// They may be out of date. It must be called before Start.
func (s *Service) UseSeeds(addresses []string) { s.seeds = addresses }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{configsync.Name} }

// Start begins to exchange records.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.readLists(ctx) })
	s.done.Go(func() { s.exchange(ctx) })
	return nil
}

// Stop tells the peers that the instance ends, and ends the exchanges.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.done.Wait()
	s.leave(ctx)
	s.pool.CloseIdleConnections()
	return nil
}

// Leave announces to the peers that the instance is leaving.
func (s *Service) Leave() { s.Announce(membership.Leaving) }

// Leaving reports whether the instance has announced that it is leaving.
func (s *Service) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Self().State == membership.Leaving
}

// Announce changes the state of the instance itself, for example to membership.Leaving, and tells
// the peers at once.
func (s *Service) Announce(state membership.State) {
	s.update(func(now time.Time) { s.node.SetSelfState(now, state) })
}

// ConfigChanged implements configsync.Fleet: it tells the peers what is in force here, and that the
// instance takes requests once it is ready.
func (s *Service) ConfigChanged() {
	sequence, ready := s.config.Digest().ConfigSequence, s.config.Ready()
	s.update(func(now time.Time) {
		s.node.SetConfigSequence(sequence, now)
		if ready && s.node.Self().State == membership.Starting {
			s.node.SetSelfState(now, membership.Live)
		}
	})
}

// Members returns all known members, the instance itself included, sorted by id.
func (s *Service) Members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Members()
}

// Self returns the record of the instance itself.
func (s *Service) Self() membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Self()
}

// Transport returns the transport to peers.
func (s *Service) Transport() http.RoundTripper { return s.transport }

// Traffic returns the counters of control traffic, for the server that peers connect to.
func (s *Service) Traffic() *peer.Traffic { return s.traffic }

// LiveCount returns the number of members that take requests, at least 1.
func (s *Service) LiveCount() int {
	return max(1, len(membership.LiveIDs(s.Members())))
}

// update runs f with the lock held, publishes the changes and wakes the loop.
func (s *Service) update(f func(now time.Time)) {
	s.mu.Lock()
	f(time.Now())
	changed := s.node.TakeChanges()
	s.mu.Unlock()
	for _, m := range changed {
		s.ring.Add("member_changed", m.ID, m.State.String())
		s.log.Info("member changed", "member", m.ID, "state", m.State.String(), "incarnation", m.Incarnation)
		if err := s.bus.Publish(Changed{ID: m.ID, State: m.State.String()}); err != nil {
			s.log.Error("event not published", "topic", "member_changed", "error", err)
		}
	}
	select {
	case s.kick <- struct{}{}:
	default: // The loop is about to wake already.
	}
}
