package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
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

// coldPeers is the number of peers that a cold instance fetches from while the store is unavailable, in
// different failure domains if possible.
const coldPeers = 3

const (
	// watchersTimeout is the time for which an instance waits for the watchers at the first start of the fleet.
	watchersTimeout = 5 * time.Second
	// watchersPollInterval is the interval at which it checks whether they have delivered.
	watchersPollInterval = 200 * time.Millisecond
)

// errStoreEmpty is returned if the store responds but contains no object of the required kind.
var errStoreEmpty = errors.New("the store contains no configuration")

// coldStart reads all objects from the store. If that fails, it reads from the store and from peers
// concurrently until either succeeds, because a timeout is the only sign of an unresponsive store or a
// lost peer.
func (s *Service) coldStart() {
	var err error
	if !s.firstStart || !s.awaitWatchers() {
		err = s.readStore(s.ctx, 0)
	}
	if err != nil && !s.retryReads(errors.Is(err, errStoreEmpty)) {
		return
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	s.fleet.ConfigChanged()
}

// awaitWatchers waits for the objects that the watchers read, while the whole fleet starts for the first time: hundreds
// of instances would otherwise read each object from a store that has none yet. It returns false if this instance is a
// watcher, or if the objects have not arrived within watchersTimeout.
func (s *Service) awaitWatchers() bool {
	deadline := time.Now().Add(watchersTimeout)
	for time.Now().Before(deadline) && kernel.Sleep(s.ctx, watchersPollInterval) {
		self := s.fleet.Self()
		switch {
		case s.hasAllKinds():
			return true
		case len(s.fleet.Members()) > 1 && slices.Contains(s.watchersOf(self.FailureDomain), self.ID):
			return false
		}
	}
	return false
}

// hasAllKinds reports whether there is an object of each kind.
func (s *Service) hasAllKinds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := map[string]bool{}
	for _, r := range s.objects.Revisions() {
		held[r.Kind] = true
	}
	return !slices.ContainsFunc(s.schema.Kinds, func(kind string) bool { return !held[kind] })
}

// retryReads reads from the store and from peers until a read succeeds. It returns false if the service is
// stopped first. Peers are not read while the store responds that it is empty.
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

// coldPause returns the delay before the next read, with jitter.
func (s *Service) coldPause() time.Duration {
	mean := config.ColdPause(len(s.fleet.Members()), len(s.schema.Kinds))
	return mean/2 + rand.N(mean)
}

// readStore reads all kinds, since no request is served before the last one is read. attempt counts from 0.
func (s *Service) readStore(ctx context.Context, attempt int) error {
	results, err := s.readKinds(ctx, "cold_", config.ColdTimeout(attempt))
	if err != nil && ctx.Err() == nil { // Otherwise a peer was faster, or the service is stopping.
		s.log.Warn("initial read of the store failed; retrying", "attempt", attempt, "error", err)
	}
	if err != nil {
		return err
	}
	if !s.hasRequired() {
		return errStoreEmpty
	}
	s.recordStoreResult(s.schema.Required, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, kind := range s.schema.Kinds {
		s.startRevisions[kind] = results[i].Revision
	}
	return nil
}

// readKinds reads all kinds from the store concurrently, and offers what it has read even if a read fails. The purpose
// of each call is the given prefix and the kind.
func (s *Service) readKinds(ctx context.Context, purposePrefix string, timeout time.Duration) ([]platform.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make([]platform.Changes, len(s.schema.Kinds))
	var reads errgroup.Group
	for i, kind := range s.schema.Kinds {
		reads.Go(func() (err error) {
			results[i], err = s.source.Watch(ctx, platform.Purpose(purposePrefix+kind), kind, 0, 0)
			return err
		})
	}
	err := reads.Wait()
	for _, changes := range results {
		s.offerAll(changes)
	}
	return results, err
}

// readPeers fetches newer objects from up to coldPeers peers concurrently. It reports whether at least one
// of them was ready and an object of the required kind is present. attempt counts from 0.
func (s *Service) readPeers(ctx context.Context, attempt int) bool {
	peers := s.peersByDomain()
	var readyPeers atomic.Int32
	var reads sync.WaitGroup
	for _, m := range peers[:min(len(peers), coldPeers)] {
		reads.Go(func() {
			if resp, err := s.fetchFrom(ctx, m.Address, false, config.ColdTimeout(attempt)); err == nil && resp.Ready {
				readyPeers.Add(1)
			}
		})
	}
	reads.Wait()
	return readyPeers.Load() > 0 && s.hasRequired()
}

// hasRequired reports whether there is an object of the required kind.
func (s *Service) hasRequired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasRequiredLocked()
}

// peersByDomain returns the other members that are not dead, in random order: first one of each failure
// domain, then the rest.
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

// fetchFrom fetches the objects that are newer at a peer and pushes those that are newer here to it. With readStore, the
// peer reads the store first. It returns the peer's answer.
func (s *Service) fetchFrom(ctx context.Context, address string, readStore bool, timeout time.Duration) (*memberpb.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.counters.Counter("fetches_sent").Add(1)
	client := peer.DistributionClient(address, s.fleet.Transport())
	req := &memberpb.FetchRequest{Held: revisionsToWire(s.revisions()), ReadStore: readStore, Stamp: peer.NewStamp(s.ring.Clock())}
	resp, err := client.Fetch(ctx, req)
	if err != nil {
		s.counters.Counter("fetch_failures").Add(1)
		return nil, errors.Wrapf(err, "fetch from %s", address)
	}
	peer.ObserveStamp(s.ring.Clock(), resp.Stamp)
	for _, wire := range resp.Newer {
		o, err := peer.ObjectFromWire(wire)
		if err != nil {
			return nil, errors.Wrapf(err, "fetch from %s", address)
		}
		s.offer(o)
	}
	for _, o := range s.newerThan(revisionsFromWire(resp.Older)) {
		if _, err := client.Push(ctx, &memberpb.PushRequest{Object: s.wireObject(o), Stamp: peer.NewStamp(s.ring.Clock())}); err != nil {
			s.counters.Counter("push_failures").Add(1)
		}
	}
	return resp, nil
}
