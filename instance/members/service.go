// Package members maintains an instance's view of the other instances, which it initialises from the
// platform's list or from seeds and updates by exchanges with a few peers.
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

// Name identifies the service in the dependencies of others.
const Name = "members"

const (
	// leaveTimeout bounds the exchanges which announce that the instance is stopping.
	leaveTimeout = membership.ExchangeTimeout
)

// Changed is published when the records of members have changed. Changes that become known together share an event:
// when a fleet of hundreds starts, each instance learns of each other one twice.
type Changed struct {
	// ID and State are those of the last member that changed.
	ID    string `json:"id"`
	State string `json:"state"`
}

// maxLoggedChanges is the maximum number of changes known together that are logged one by one.
const maxLoggedChanges = 8

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
	pool      *http.Transport // underlies transport
	traffic   *peer.Traffic
	bus       *kernel.Bus
	ring      *timeline.Ring
	log       *slog.Logger
	counters  *counters.Set

	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{} // wakes runNode after a change

	// firstStart is set until the instance has tried to add its entry at the first start of the whole fleet; used only
	// by the goroutine that reads the list.
	firstStart bool
	// registered is set once the list has the instance's own entry, and registeredEra is the era of the list in which it
	// was read; both are used only by the goroutine that reads the list.
	registered    bool
	registeredEra uint64

	mu   sync.Mutex // guards node
	node *membership.Node
}

// New returns a service for the instance that self describes. It binds the service to cfg, which reaches the
// peers through it.
func New(self membership.Member, lister Lister, cfg *configsync.Service, bus *kernel.Bus, ring *timeline.Ring, log *slog.Logger, c *counters.Set) *Service {
	traffic := &peer.Traffic{
		BytesSent: c.Counter("control_bytes_sent"), BytesReceived: c.Counter("control_bytes_received"),
		MessagesSent: c.Counter("control_messages_sent"), MessagesReceived: c.Counter("control_messages_received"),
	}
	pool := peer.NewTransport(traffic)
	s := &Service{
		lister: lister, config: cfg, transport: peer.CountMessages(peer.CompressMessages(pool), traffic), pool: pool,
		traffic: traffic, bus: bus, ring: ring, log: log, counters: c, wake: make(chan struct{}, 1),
		node: membership.NewNode(self, time.Now(), rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))),
	}
	cfg.UseFleet(s)
	return s
}

// WrapTransport wraps the transport to peers. It must be called before Start.
func (s *Service) WrapTransport(wrap func(http.RoundTripper) http.RoundTripper) {
	s.transport = wrap(s.transport)
}

// UseDial makes the service connect to peers with dial. The bytes of these connections are not counted. It
// must be called before Start.
func (s *Service) UseDial(dial target.DialFunc) { s.pool.DialContext = dial }

// UseSeeds sets addresses of instances from which the service requests the members while the platform's list
// is unavailable. The addresses may be out of date. It must be called before Start.
func (s *Service) UseSeeds(addresses []string) { s.seeds = addresses }

// OnFirstStart states that the whole fleet starts for the first time, so that the list lacks the instance. It must be
// called before Start.
func (s *Service) OnFirstStart() { s.firstStart = true }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{configsync.Name} }

// Start begins to read the platform's list and to exchange records with peers.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.listLoop(ctx) })
	s.wg.Go(func() { s.runNode(ctx) })
	return nil
}

// Stop ends the exchanges and announces to the peers that the instance is stopping.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.wg.Wait()
	s.announceStop(ctx)
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

// Announce changes the state of the instance itself, for example to membership.Leaving, and announces it to
// the peers at once.
func (s *Service) Announce(state membership.State) {
	s.update(func(now time.Time) { s.node.SetSelfState(now, state) })
}

// ConfigChanged implements configsync.Fleet: it announces the configuration in force to the peers, and sets a
// starting instance live once its configuration is ready.
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

// LiveCount returns the number of live members, but at least 1.
func (s *Service) LiveCount() int {
	return max(1, len(membership.LiveIDs(s.Members())))
}

// announceChanges logs and publishes the changes of members.
func (s *Service) announceChanges(changed []membership.Member) {
	if len(changed) == 0 {
		return
	}
	byState := map[string]int{}
	for _, m := range changed {
		s.ring.Add("member_changed", m.ID, m.State.String())
		byState[m.State.String()]++
		if len(changed) <= maxLoggedChanges {
			s.log.Info("member changed", "member", m.ID, "state", m.State.String(), "incarnation", m.Incarnation)
		}
	}
	if len(changed) > maxLoggedChanges {
		s.log.Info("members changed", "count", len(changed), "by_state", byState)
	}
	last := changed[len(changed)-1]
	if err := s.bus.Publish(Changed{ID: last.ID, State: last.State.String()}); err != nil {
		s.log.Error("event not published", "topic", "member_changed", "error", err)
	}
}

// update runs f with s.mu held, publishes the changes and wakes runNode.
func (s *Service) update(f func(now time.Time)) {
	s.mu.Lock()
	f(time.Now())
	changed := s.node.TakeChanges()
	isolated := s.node.Isolated()
	s.mu.Unlock()
	s.config.SetIsolated(isolated)
	s.announceChanges(changed)
	select {
	case s.wake <- struct{}{}:
	default: // A wake-up is pending already.
	}
}
