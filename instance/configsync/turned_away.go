package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

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
	var fetches sync.WaitGroup
	if watchers := s.otherWatchers(); kind == s.schema.Required && len(watchers) > 0 {
		// Errors are counted; the next failed call tries another watcher.
		fetches.Go(func() { _, _ = s.fetchFrom(ctx, watchers[rand.IntN(len(watchers))], false, repairTimeout) })
	}
	fetches.Go(func() { s.fetchThroughReaders(ctx) })
	fetches.Wait()
}

// fetchThroughReaders lets instances that do not watch read the store, until one of them gets an answer from it.
func (s *Service) fetchThroughReaders(ctx context.Context) {
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
	mu       sync.Mutex // guards the fields below; held during a read, so that other peers wait for its result
	last     time.Time  // when the last read began
	answered bool       // the store answered it
}

// readForPeer reads the store on behalf of a watcher that gets no answers from it, and reports whether the store
// answered this read or one within readForPeerInterval before.
func (s *Service) readForPeer(ctx context.Context) bool {
	p := &s.peerReads
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Watching() || time.Since(p.last) < readForPeerInterval {
		return p.answered
	}
	p.last = time.Now()
	s.counters.Counter("store_reads_for_peers").Add(1)
	_, err := s.readKinds(ctx, "relayed_", config.ColdTimeout(0))
	p.answered = err == nil
	s.log.Info("store read for an instance that it does not answer", "error", err)
	return p.answered
}
