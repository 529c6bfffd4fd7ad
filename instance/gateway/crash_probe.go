package gateway

import (
	"context"
	"slices"
	"time"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
)

// probeTimeout bounds one check whether a target accepts connections. It allows several round trips between regions.
const probeTimeout = 300 * time.Millisecond

// probeSteps are the steps of a probe, with the pause before each.
//
// The first connection check may find an idle connection that the crash has closed too, but whose end has not arrived
// yet. A target that is back before the last one still shows in the list, where it registers again within seconds.
var probeSteps = []struct {
	pause   time.Duration
	connect bool
}{{0, true}, {100 * time.Millisecond, true}, {400 * time.Millisecond, true}, {500 * time.Millisecond, false}, {time.Second, false}, {time.Second, false}}

// crashProbe finds out whether a target has crashed. It starts when a connection closes in the middle of a request, and
// is shared by all requests that the target had in flight.
type crashProbe struct {
	target query.TargetID // incarnation id
	done   chan struct{}  // closed once crashed is set
	// crashed is set if the target refuses connections or has restarted. A target that does not respond has not been
	// shown to have crashed: it may only be unreachable from this instance.
	crashed bool
}

// probe returns the probe of a target that has closed a connection in the middle of a request. e is its entry at the time
// at which the request was sent.
func (s *Service) probe(e roster.Entry) *crashProbe {
	p := &crashProbe{target: incarnationID(query.TargetID(e.ID), e.Incarnation), done: make(chan struct{})}
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	if running, ok := s.suspects.probes[p.target]; ok {
		return running
	}
	s.suspects.probes[p.target] = p
	s.background.Go(func() { s.runProbe(p, e) })
	return p
}

func (s *Service) runProbe(p *crashProbe, e roster.Entry) {
	start := time.Now()
	var connects []string
	restarted := false
	for _, step := range probeSteps {
		kernel.Sleep(s.ctx, step.pause)
		if !step.connect {
			s.suspects.endProbe(p) // A connection that closes from now on needs checks of its own.
		}
		if restarted = s.hasRestarted(e); !restarted && step.connect {
			connects = append(connects, s.tryConnect(e.Address))
		}
		if p.crashed = restarted || len(connects) > 0 && connects[len(connects)-1] == connectRefused; p.crashed {
			break
		}
	}
	s.cfg.Log.Info("target probed after it closed a connection or left a request unanswered", "target", p.target, "service", e.Service,
		"address", e.Address, "connects", connects, "restarted", restarted, "listed", s.isListed(e), "crashed", p.crashed,
		"took_ms", time.Since(start).Milliseconds())
	s.suspects.endProbe(p)
	close(p.done)
}

func (s *suspects) endProbe(p *crashProbe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probes[p.target] == p {
		delete(s.probes, p.target)
	}
}

// Results of a connect in the log line of a probe.
const (
	connectAccepted = "accepted" // or there is a usable connection
	connectRefused  = "refused"
	connectSilent   = "silent"
)

func (s *Service) tryConnect(address string) string {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	err := s.cfg.Sender.CheckReachable(ctx, address)
	switch {
	case err == nil:
		return connectAccepted
	case ctx.Err() == nil:
		return connectRefused
	}
	return connectSilent
}

// isListed reports whether the list has the incarnation of a target.
func (s *Service) isListed(e roster.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.roster.Entries(time.Now()), func(now roster.Entry) bool {
		return now.ID == e.ID && now.Incarnation == e.Incarnation
	})
}

// hasRestarted reports whether the list shows a later start of a target, under its id or at its address.
func (s *Service) hasRestarted(e roster.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, now := range s.roster.Entries(time.Now()) {
		if (now.ID == e.ID || now.Address == e.Address) && now.Incarnation > e.Incarnation {
			return true
		}
	}
	return false
}
