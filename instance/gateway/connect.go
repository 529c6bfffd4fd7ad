package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/forward"
)

const (
	// connectPeriod is the mean time between two checks for missing connections.
	connectPeriod = 500 * time.Millisecond
	// maxConnectsPerPeriod bounds the connections opened per check: 16 a second for each instance. With 60 instances
	// and 108 targets, each target accepts 9 a second, and each of these occupies a slot for 6 ms.
	maxConnectsPerPeriod = 8
	// maxAcceptsPerSecond bounds the connections that a target accepts from all relays together.
	maxAcceptsPerSecond = 9
	// relayConnectPeriod is the mean time between two requests that keep the connections to relays open. It is below
	// the idle timeout of connections between instances.
	relayConnectPeriod = 15 * time.Second
	// unusedTimeout is how long an unused connection stays open where targets accept few connections and the next
	// first attempts are not likely to need it. It is half of the 10 s for which targets keep idle connections.
	// Hedges and retries need such connections while nearby targets are slow, which lasts some seconds.
	unusedTimeout = 5 * time.Second
	// connectTimeout bounds the time to open one connection.
	connectTimeout = time.Second
)

// connectLoop keeps connections open to the targets that the next attempts are likely to go to. Where targets accept
// few connections, it closes unused connections to other targets: after a power loss of the instances, a target counts
// the connections of their earlier incarnations until its idle timeout, and refuses new ones when it is at its limit.
func (s *Service) connectLoop(ctx context.Context) {
	for kernel.Sleep(ctx, connectPeriod/2+rand.N(connectPeriod)) {
		opened := 0
		likely, connectExtra := s.likelyAddresses()
		maxConnects := s.maxConnects()
		if connectExtra {
			s.cfg.Sender.KeepSpares(likely)
		} else {
			s.cfg.Sender.KeepSpares(nil)
		}
		if !connectExtra {
			keep := make(map[string]bool, len(likely))
			for _, address := range likely {
				keep[address] = true
			}
			s.cfg.Sender.CloseUnused(unusedTimeout, keep)
		}
		for _, address := range likely {
			if opened >= maxConnects {
				break
			}
			if s.connect(ctx, address) {
				opened++
			}
		}
	}
}

// connect opens a connection in the background if the address needs one. It reports whether it does.
func (s *Service) connect(ctx context.Context, address string) bool {
	if !s.cfg.Sender.NeedsConnection(address) {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		if err := s.cfg.Sender.Connect(ctx, address); err != nil && ctx.Err() == nil {
			s.cfg.Log.Info("cannot open a connection in advance", "address", address, "error", err)
		}
	}()
	return true
}

// maxConnects returns the maximum number of connections to open per check.
func (s *Service) maxConnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fleet.isRelay {
		return maxConnectsPerPeriod
	}
	perPeriod := maxAcceptsPerSecond * connectPeriod.Seconds() * float64(len(s.targets)) / float64(s.fleet.relays.instances)
	return max(maxConnectsPerPeriod, int(perPeriod))
}

// likelyAddresses returns the addresses that the next attempts are likely to go to. If targets accept enough
// connections, connectExtra is true and the addresses for hedges and retries are included.
func (s *Service) likelyAddresses() (addresses []string, connectExtra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.balancer.LikelyTargets(time.Now(), s.connectExtra)
	addresses = make([]string, 0, len(ids))
	for _, id := range ids {
		if e := s.targets[id]; s.fleet.isRelay || !s.anyRelayed([]string{e.Service}) {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses, s.connectExtra
}

// connectRelaysLoop keeps connections open to the relays of the instance's region: the round trips to open one are a
// part of the time in which a relay takes a request.
func (s *Service) connectRelaysLoop(ctx context.Context) {
	connectedAt := map[string]time.Time{} // by address
	for kernel.Sleep(ctx, connectPeriod/2+rand.N(connectPeriod)) {
		now := time.Now()
		for _, address := range s.nearRelays() {
			if now.Sub(connectedAt[address]) < relayConnectPeriod/2+rand.N(relayConnectPeriod) {
				continue
			}
			connectedAt[address] = now
			s.background.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, connectTimeout)
				defer cancel()
				if err := s.cfg.ConnectRelay(ctx, address); err != nil && ctx.Err() == nil {
					s.cfg.Log.Info("cannot connect to a relay in advance", "address", address, "error", err)
				}
			})
		}
	}
}

// nearRelays returns the addresses of the relays of the instance's region, none if the instance is a relay itself.
func (s *Service) nearRelays() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet.isRelay {
		return nil
	}
	var addresses []string
	for _, r := range s.fleet.others {
		if r.Distance != forward.OtherRegion {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}
