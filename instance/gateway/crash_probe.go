package gateway

import (
	"context"
	"time"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
)

// probeTimeout bounds one check whether a target accepts connections. It allows several round trips between regions.
const probeTimeout = 300 * time.Millisecond

// probePauses are the pauses before the checks of a probe. The first check may find an idle connection that the crash
// has closed too, but whose end has not arrived yet. All checks end before a target that takes seconds to restart is
// back.
var probePauses = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// crashProbe finds out whether a target has crashed. It starts when a connection closes in the middle of a request, and
// is shared by all requests that the target had in flight.
type crashProbe struct {
	target query.TargetID // incarnation id
	done   chan struct{}  // closed once crashed is set
	// crashed is set if the target refuses connections. A target that does not respond has not been shown to have
	// crashed: it may only be unreachable from this instance.
	crashed bool
}

// probe returns the probe of a target that has closed a connection in the middle of a request, or false if the target is
// no longer in the list.
func (s *Service) probe(id query.TargetID) (*crashProbe, bool) {
	e, ok := s.target(id)
	if !ok {
		return nil, false
	}
	p := &crashProbe{target: incarnationID(id, e.Incarnation), done: make(chan struct{})}
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	if running, ok := s.suspects.probes[p.target]; ok {
		return running, true
	}
	s.suspects.probes[p.target] = p
	s.background.Go(func() { s.runProbe(p, e) })
	return p, true
}

func (s *Service) runProbe(p *crashProbe, e roster.Entry) {
	for i, pause := range probePauses {
		kernel.Sleep(s.ctx, pause)
		if i == len(probePauses)-1 {
			s.suspects.endProbe(p) // A connection that closes from now on needs checks of its own.
		}
		if p.crashed = s.refusesConnections(e.Address); p.crashed {
			break
		}
	}
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

func (s *Service) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	err := s.cfg.Sender.CheckReachable(ctx, address)
	return err != nil && ctx.Err() == nil
}
