package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopcroft.example/control/config"
)

// readForPeerInterval is the minimum time between two reads of the store on behalf of peers. It bounds the calls of a
// fleet whose watchers all fail.
const readForPeerInterval = time.Second

// fetchElsewhere fetches newer objects while the store does not respond to this watcher: from another watcher and from
// an instance that does not watch, which reads the store first. The store may have turned away all watchers and answer
// the other instances. Exchanges propagate what other watchers have too, but take a second for each instance on the
// path.
func (s *Service) fetchElsewhere(ctx context.Context, kind string) {
	var fetches sync.WaitGroup
	defer fetches.Wait()
	fetch := func(addresses []string, readStore bool, timeout time.Duration) {
		if len(addresses) == 0 {
			return
		}
		address := addresses[rand.IntN(len(addresses))]
		// Errors are counted; the next failed call of the store tries another instance.
		fetches.Go(func() { _, _ = s.fetchFrom(ctx, address, readStore, timeout) })
	}
	if kind == s.schema.Required {
		fetch(s.otherWatchers(), false, repairTimeout)
	}
	fetch(s.nonWatchers(), true, config.ColdTimeout(0)+repairTimeout)
}

// readForPeer reads the store on behalf of a watcher that gets no answers from it.
func (s *Service) readForPeer(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	due := s.stopWatches == nil && now.Sub(s.lastReadForPeer) >= readForPeerInterval
	if due {
		s.lastReadForPeer = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	s.counters.Counter("store_reads_for_peers").Add(1)
	_, err := s.readKinds(ctx, "relayed_", config.ColdTimeout(0))
	s.log.Info("store read for an instance that it does not answer", "error", err)
}
