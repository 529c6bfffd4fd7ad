package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/memberpb"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/kernel"
)

// peersAsked is the number of peers, in different failure domains if possible, that a cold instance asks while
// the store is away.
const peersAsked = 3

// errStoreEmpty says that the store answered and holds no configuration.
var errStoreEmpty = errors.New("the store holds no configuration")

// start reads all objects from the store or, once a read has failed, from peers, until either succeeds. They are
// asked side by side, because a silent store and a lost peer are noticed by a time limit only.
func (s *Service) start() {
	err := s.readStore(s.ctx, 0)
	if err != nil && !s.retryReads(errors.Is(err, errStoreEmpty)) {
		return
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	s.fleet.ConfigChanged()
}

// retryReads reports whether a read succeeded before the service was stopped. Peers are of no use while the store
// says that it holds nothing.
func (s *Service) retryReads(storeEmpty bool) bool {
	var empty atomic.Bool
	empty.Store(storeEmpty)
	var storeReads, peerReads int
	fromStore := func(ctx context.Context) bool {
		storeReads++
		err := s.readStore(ctx, storeReads)
		empty.Store(errors.Is(err, errStoreEmpty))
		return err == nil
	}
	fromPeers := func(ctx context.Context) bool {
		peerReads++
		return !empty.Load() && s.readPeers(ctx, peerReads)
	}
	return kernel.RetryAny(s.ctx, s.coldPause, fromStore, fromPeers)
}

// coldPause returns the pause before the next read, with jitter.
func (s *Service) coldPause() time.Duration {
	mean := config.ColdPause(len(s.fleet.Members()), len(s.schema.Kinds))
	return mean/2 + rand.N(mean)
}

// readStore reads all kinds side by side, since requests wait for the last of them. attempt counts from 0.
func (s *Service) readStore(ctx context.Context, attempt int) error {
	limited, cancel := context.WithTimeout(ctx, config.ColdTimeout(attempt))
	defer cancel()
	lists := make([]platform.Changes, len(s.schema.Kinds))
	var reads errgroup.Group
	for i, kind := range s.schema.Kinds {
		reads.Go(func() (err error) {
			lists[i], err = s.source.Watch(limited, platform.Purpose("cold_"+kind), kind, 0, 0)
			return err
		})
	}
	err := reads.Wait()
	for _, changes := range lists {
		s.takeAll(changes)
	}
	if err != nil && ctx.Err() == nil { // Otherwise a peer was faster, or the service stops.
		s.log.Warn("the store was not read at the start; it is tried again", "attempt", attempt, "error", err)
	}
	if err != nil {
		return err
	}
	if !s.known() {
		return errStoreEmpty
	}
	s.noteStore(s.schema.Required, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, kind := range s.schema.Kinds {
		s.readAt[kind] = lists[i].Revision
	}
	return nil
}

// readPeers takes the newest objects of three peers in different failure domains, or of those of them that
// answer. It reports whether any of them was ready. attempt counts from 0.
func (s *Service) readPeers(ctx context.Context, attempt int) bool {
	peers := s.peersByDomain()
	var answered atomic.Int32
	var reads sync.WaitGroup
	for _, m := range peers[:min(len(peers), peersAsked)] {
		reads.Go(func() {
			if ready, err := s.fetchFrom(ctx, m.Address, config.ColdTimeout(attempt)); err == nil && ready {
				answered.Add(1)
			}
		})
	}
	reads.Wait()
	return answered.Load() > 0 && s.known()
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
	resp, err := client.Fetch(ctx, &memberpb.FetchRequest{Held: heldToWire(s.held()), Stamp: peer.NewStamp(s.ring.Clock())})
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
		if _, err := client.Push(ctx, &memberpb.PushRequest{Object: peer.ObjectToWire(o), Stamp: peer.NewStamp(s.ring.Clock())}); err != nil {
			s.counters.Counter("push_failures").Add(1)
		}
	}
	return resp.Ready, nil
}
