package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopcroft.example/control/membership"
)

const (
	// notifyFanOut is the number of peers to which an instance sends a suspicion or a report.
	notifyFanOut = 4
	// notifyTimeout bounds the call to one peer.
	notifyTimeout = time.Second
)

// notifyPeers sends a message to up to notifyFanOut random peers that are not dead and adds the failed calls to
// lostCounter. The channel is closed when all calls have ended.
func (s *Service) notifyPeers(lostCounter string, send func(ctx context.Context, address string) error) <-chan struct{} {
	done := make(chan struct{})
	if s.members == nil {
		close(done)
		return done
	}
	var calls sync.WaitGroup
	peers := s.members.Members()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sent := 0
	for _, p := range peers {
		if p.ID == s.instance || p.State == membership.Dead || sent == notifyFanOut {
			continue
		}
		sent++
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if send(ctx, p.Address) != nil {
				s.counters.Counter(lostCounter).Add(1)
			}
		})
	}
	go func() {
		calls.Wait()
		close(done)
	}()
	return done
}
