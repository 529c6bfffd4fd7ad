package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/kernel"
)

const (
	// peersAsked is the number of peers, in different failure domains if possible, that a cold
	// instance asks while the store is away.
	peersAsked = 3
	// coldPeriod is the mean time between two attempts of a cold instance.
	coldPeriod = time.Second
)

// errStoreEmpty says that the store answered and holds no configuration.
var errStoreEmpty = errors.New("the store holds no configuration")

// start reads all objects from the store or, while it is away, from peers, until either succeeds.
func (s *Service) start() {
	for s.ctx.Err() == nil {
		err := s.readStore()
		if err == nil || !errors.Is(err, errStoreEmpty) && s.readPeers() {
			s.mu.Lock()
			s.ready = true
			s.mu.Unlock()
			s.fleet.ConfigChanged()
			return
		}
		kernel.Sleep(s.ctx, coldPeriod/2+rand.N(coldPeriod))
	}
}

// readStore reads all kinds side by side, since requests wait for the last of them.
func (s *Service) readStore() error {
	lists := make([]platform.Changes, len(s.schema.Kinds))
	var reads errgroup.Group
	for i, kind := range s.schema.Kinds {
		reads.Go(func() (err error) {
			lists[i], err = s.source.Watch(s.ctx, platform.Purpose("cold_"+kind), kind, 0, 0)
			return err
		})
	}
	err := reads.Wait()
	for _, changes := range lists {
		s.takeAll(changes)
	}
	if err != nil {
		return err
	}
	if !s.known() {
		return errStoreEmpty
	}
	s.noteStore(s.schema.Required, true)
	return nil
}

// readPeers takes the newest objects of three peers in different failure domains, or of all that
// answer if there are fewer. It reports whether any of them had a configuration.
func (s *Service) readPeers() bool {
	answered := 0
	for _, m := range s.peersByDomain() {
		if answered == peersAsked || s.ctx.Err() != nil {
			break
		}
		if ready, err := s.fetchFrom(s.ctx, m.Address, transferTimeout); err == nil && ready {
			answered++
		}
	}
	return answered > 0 && s.known()
}

func (s *Service) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdsRequired()
}

// peersByDomain returns the other members in random order: first one of each failure domain, then
// the rest.
func (s *Service) peersByDomain() []membership.Member {
	members := s.fleet.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	self := s.fleet.Self().ID
	seen := map[string]bool{}
	var first, rest []membership.Member
	for _, m := range members {
		switch {
		case m.ID == self || m.State == membership.Dead || m.Address == "":
		case seen[m.FailureDomain]:
			rest = append(rest, m)
		default:
			seen[m.FailureDomain] = true
			first = append(first, m)
		}
	}
	return append(first, rest...)
}

// fetchFrom takes what a peer holds newer, and hands it what is newer here. It reports whether the
// peer is ready itself.
func (s *Service) fetchFrom(ctx context.Context, address string, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.counters.Counter("fetches_sent").Add(1)
	client := peer.DistributionClient(address, s.fleet.Transport())
	resp, err := client.Fetch(ctx, &memberpb.FetchRequest{Held: heldToWire(s.held()), Stamp: peer.StampOf(s.ring.Clock())})
	if err != nil {
		s.counters.Counter("fetch_failures").Add(1)
		return false, errors.Wrapf(err, "fetch from %s", address)
	}
	peer.ObserveStamp(s.ring.Clock(), resp.Stamp)
	for _, wire := range resp.Newer {
		o, err := peer.ObjectFromWire(wire)
		if err != nil {
			return false, errors.Wrapf(err, "fetch from %s", address)
		}
		s.offer(o)
	}
	for _, o := range s.newerThan(heldFromWire(resp.Older)) {
		if _, err := client.Push(ctx, &memberpb.PushRequest{Object: peer.ObjectToWire(o), Stamp: peer.StampOf(s.ring.Clock())}); err != nil {
			s.counters.Counter("push_failures").Add(1)
		}
	}
	return resp.Ready, nil
}
