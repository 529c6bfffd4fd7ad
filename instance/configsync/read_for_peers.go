package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"hyssopcroft.example/control/config"
)

const (
	// readForPeerInterval is the minimum time between two reads of the store on behalf of peers. It bounds the calls
	// of a fleet whose watchers all fail.
	readForPeerInterval = time.Second
	// maxReaders is the maximum number of instances that a watcher lets read the store after a failed call.
	maxReaders = 3
)

// fetchElsewhere fetches newer objects while the store does not respond to this watcher: from another watcher, and from
// instances that do not watch, which read the store first. The store may have turned away all watchers and answer the
// other instances. Exchanges propagate what other watchers have too, but take a second for each instance on the path.
func (s *Service) fetchElsewhere(ctx context.Context, kind string) {
	if s.readingThroughPeers.CompareAndSwap(false, true) {
		s.done.Go(func() {
			defer s.readingThroughPeers.Store(false)
			s.readThroughPeers(ctx)
		})
	}
	if watchers := s.otherWatchers(); kind == s.schema.Required && len(watchers) > 0 {
		// Errors are counted; the next failed call tries another watcher.
		_, _ = s.fetchFrom(ctx, watchers[rand.IntN(len(watchers))], false, repairTimeout)
	}
}

// readThroughPeers lets instances that do not watch read the store, until one of them gets an answer from it.
func (s *Service) readThroughPeers(ctx context.Context) {
	readers := s.nonWatchers()
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	for _, address := range readers[:min(len(readers), maxReaders)] {
		if resp, err := s.fetchFrom(ctx, address, true, config.ColdTimeout(0)+repairTimeout); err == nil && resp.StoreRead {
			return
		}
	}
}

// peerReads limits the reads of the store on behalf of peers.
type peerReads struct {
	group singleflight.Group // peers that ask during a read wait for its result

	mu       sync.Mutex // guards the fields below
	last     time.Time  // when the last read began
	answered bool       // the store answered it
}

// readForPeer reads the store on behalf of a watcher that gets no answers from it, and reports whether the store
// answered this read or one within readForPeerInterval before. It gives up when ctx is done.
func (s *Service) readForPeer(ctx context.Context) bool {
	result := s.peerReads.group.DoChan("", func() (any, error) { return s.readUnlessRecent(), nil })
	select {
	case r := <-result:
		return r.Val.(bool)
	case <-ctx.Done():
		return false
	}
}

func (s *Service) readUnlessRecent() bool {
	p := &s.peerReads
	p.mu.Lock()
	recent, answered := time.Since(p.last) < readForPeerInterval, p.answered
	if !recent {
		p.last = time.Now()
	}
	p.mu.Unlock()
	if recent || s.Watching() {
		return answered
	}
	s.counters.Counter("store_reads_for_peers").Add(1)
	_, err := s.readKinds(s.ctx, "peer_", config.ColdTimeout(0))
	s.log.Info("store read on behalf of a peer", "error", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = err == nil
	return p.answered
}
