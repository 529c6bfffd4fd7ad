package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
)

const (
	// warmPeriod is the mean time between two looks at which connections are missing.
	warmPeriod = 500 * time.Millisecond
	// maxWarmedPerPeriod bounds the connections that are opened at a look: 16 a second for each instance. With
	// 60 instances before 108 targets, each target accepts 9 a second, which take 6 ms of a slot each.
	maxWarmedPerPeriod = 8
	// unusedTimeout is how long a connection that the next first attempts are not likely to need is kept after
	// its use where targets accept few. It is half of the 10 s for which targets keep idle connections;
	// second attempts need them for as long as targets near by are slow, which is some seconds.
	unusedTimeout = 5 * time.Second
	// warmTimeout bounds the opening of one connection.
	warmTimeout = time.Second
)

// warmLoop keeps connections open to the targets that the next attempts are likely to go to. Where targets
// accept few, it closes others that are not in use: after a loss of power a target counts the connections of
// the earlier lives for as long as it keeps idle ones, and refuses new ones if they take all places.
func (s *Service) warmLoop(ctx context.Context) {
	for kernel.Sleep(ctx, warmPeriod/2+rand.N(warmPeriod)) {
		opened := 0
		likely, warmExtra := s.likelyAddresses()
		if !warmExtra {
			keep := make(map[string]bool, len(likely))
			for _, address := range likely {
				keep[address] = true
			}
			s.cfg.Sender.CloseUnused(unusedTimeout, keep)
		}
		for _, address := range likely {
			if opened == maxWarmedPerPeriod {
				break
			}
			if s.warm(ctx, address) {
				opened++
			}
		}
	}
}

// warm reports whether a connection had to be opened.
func (s *Service) warm(ctx context.Context, address string) bool {
	if !s.cfg.Sender.Cold(address) {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, warmTimeout)
		defer cancel()
		if err := s.cfg.Sender.Warm(ctx, address); err != nil && ctx.Err() == nil {
			s.cfg.Log.Info("connection not opened ahead", "address", address, "error", err)
		}
	}()
	return true
}

// likelyAddresses returns where the next attempts are likely to go, and whether targets accept enough
// connections for second attempts too, which are left out otherwise.
func (s *Service) likelyAddresses() (addresses []string, warmExtra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.balancer.Likely(time.Now(), s.warmExtra)
	addresses = make([]string, 0, len(ids))
	for _, id := range ids {
		addresses = append(addresses, s.targets[query.TargetID(id)].Address)
	}
	return addresses, s.warmExtra
}
