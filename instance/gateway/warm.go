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
	// warmPerLook bounds the connections that are opened at a look: 16 a second for each instance. With
	// 60 instances before 108 targets, each target accepts 9 a second, which take 6 ms of a slot each.
	warmPerLook = 8
	// warmTimeout bounds the opening of one connection.
	warmTimeout = time.Second
)

// warmLoop keeps connections open to the targets that the next attempts are likely to go to.
func (s *Service) warmLoop(ctx context.Context) {
	for kernel.Sleep(ctx, warmPeriod/2+rand.N(warmPeriod)) {
		opened := 0
		for _, address := range s.likelyAddresses() {
			if opened == warmPerLook {
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

// likelyAddresses leaves out second attempts where targets accept too few connections: after a loss of
// power they count those of the earlier lives until their idle time of 10 s has passed, and need the
// rest for first attempts.
func (s *Service) likelyAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.fleet.Likely(time.Now(), s.ample)
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		addresses = append(addresses, s.targets[query.TargetID(id)].Address)
	}
	return addresses
}
