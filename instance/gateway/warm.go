package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
)

const (
	// warmPeriod is the mean time between two checks for missing connections.
	warmPeriod = 500 * time.Millisecond
	// maxWarmedPerPeriod bounds the connections opened per check: 16 a second for each instance. With 60 instances
	// and 108 targets, each target accepts 9 a second, and each of these occupies a slot for 6 ms.
	maxWarmedPerPeriod = 8
	// unusedTimeout is how long an unused connection stays open where targets accept few connections and the next
	// first attempts are not likely to need it. It is half of the 10 s for which targets keep idle connections.
	// Hedges and retries need such connections while nearby targets are slow, which lasts some seconds.
	unusedTimeout = 5 * time.Second
	// warmTimeout bounds the time to open one connection.
	warmTimeout = time.Second
)

// warmLoop keeps connections open to the targets that the next attempts are likely to go to. Where targets accept few
// connections, it closes unused connections to other targets: after a power loss of the instances, a target counts
// the connections of their earlier incarnations until its idle timeout, and refuses new ones when it is at its limit.
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

// warm opens a connection to a cold address in the background. It reports whether the address was cold.
func (s *Service) warm(ctx context.Context, address string) bool {
	if !s.cfg.Sender.Cold(address) {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, warmTimeout)
		defer cancel()
		if err := s.cfg.Sender.Warm(ctx, address); err != nil && ctx.Err() == nil {
			s.cfg.Log.Info("cannot open a connection in advance", "address", address, "error", err)
		}
	}()
	return true
}

// likelyAddresses returns the addresses that the next attempts are likely to go to. If targets accept enough
// connections, warmExtra is true and the addresses for hedges and retries are included.
func (s *Service) likelyAddresses() (addresses []string, warmExtra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.balancer.LikelyTargets(time.Now(), s.warmExtra)
	addresses = make([]string, 0, len(ids))
	for _, id := range ids {
		addresses = append(addresses, s.targets[query.TargetID(id)].Address)
	}
	return addresses, s.warmExtra
}
