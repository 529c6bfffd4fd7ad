package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

const (
	// maxSuspicionHops bounds how often a suspicion is passed on. Four to the seventh is 20 times the 780
	// instances of the target size, so that members reached twice do not end the spread early.
	maxSuspicionHops = 7
	// peerReportTimeout bounds the wait for the peers' answers before a crashed canary is followed by another
	// one. Without it, a resend through a peer could run on a third target meanwhile. It is twice the
	// way there and back between regions.
	peerReportTimeout = 50 * time.Millisecond
)

// suspects is the list of held requests of an instance. It is safe for concurrent use.
type suspects struct {
	mu   sync.Mutex // guards list
	list *quarantine.List
}

func newSuspects() *suspects { return &suspects{list: quarantine.NewList()} }

func (s *suspects) withList(f func(*quarantine.List)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.list)
}

func (s *suspects) admit(g *guard) (v quarantine.Verdict) {
	s.withList(func(l *quarantine.List) { v = l.Admit(time.Now(), g.fingerprint, g.shape) })
	return v
}

func (s *suspects) recordAnswer(g *guard) {
	s.withList(func(l *quarantine.List) { l.Answered(g.fingerprint, g.shape) })
}

func (s *suspects) heldBack(f quarantine.Fingerprint) (held bool) {
	s.withList(func(l *quarantine.List) { held = l.HeldBack(f) })
	return held
}

func (s *suspects) crashCount(f quarantine.Fingerprint) (n int) {
	s.withList(func(l *quarantine.List) { n = l.Crashes(f) })
	return n
}

func (s *suspects) importConfirmed(confirmed []quarantine.Confirmed) {
	s.withList(func(l *quarantine.List) {
		for _, c := range confirmed {
			l.Learn(time.Now(), c)
		}
	})
}

// guard follows one request from its admission to its answer.
type guard struct {
	service     *Service
	index       *index
	request     query.Request
	fingerprint quarantine.Fingerprint
	shape       quarantine.Shape
	sent        bool // a target may have run the request
}

func (s *Service) newGuard(ix *index, req query.Request) *guard {
	g := &guard{service: s, index: ix, request: req}
	g.fingerprint, g.shape = quarantine.Identify(req.Index, req.Query)
	return g
}

// admit returns once the request may ask all shards, or why it is refused.
func (g *guard) admit(ctx context.Context, m query.Map) *problem.Problem {
	for !g.request.Cleared {
		switch g.service.suspects.admit(g) {
		case quarantine.Run:
			return nil
		case quarantine.Refuse:
			return g.refuse()
		case quarantine.Wait:
			if !time.Now().Before(g.request.Deadline) || ctx.Err() != nil {
				return g.refuse()
			}
			kernel.Sleep(ctx, canaryPollInterval)
		case quarantine.Canary:
			if p, recheck := g.runCanary(ctx, m); !recheck {
				return p
			}
		}
	}
	return nil
}

func (g *guard) refuse() *problem.Problem {
	var wait time.Duration
	g.service.suspects.withList(func(l *quarantine.List) { wait = l.RetryAfter(time.Now(), g.fingerprint) })
	p := refusal(http.StatusServiceUnavailable, problem.Quarantined, "the request may crash the targets that run it")
	if g.sent {
		p.Run = problem.MayHaveRun
	}
	g.service.counters.Counter("search_refused_" + string(p.Code)).Add(1)
	return p.RetryAfter(wait)
}

// recordCrash takes a crash of a target on a request that no target has answered, and tells the peers. The
// channel is closed once they have answered.
func (g *guard) recordCrash(c quarantine.Crash) <-chan struct{} {
	var isNew, confirmed bool
	var record quarantine.Confirmed
	g.service.suspects.withList(func(l *quarantine.List) {
		now := time.Now()
		isNew = l.Crashed(now, g.fingerprint, g.shape, c)
		record, confirmed = l.Confirmed(now, g.fingerprint, g.shape)
	})
	if !isNew {
		done := make(chan struct{})
		close(done)
		return done
	}
	g.service.counters.Counter("crashes_suspected").Add(1)
	if confirmed {
		g.service.counters.Counter("requests_quarantined").Add(1)
		g.service.config.Confirm(record)
	}
	return g.service.reportSuspicion(peer.Suspicion{
		Fingerprint: g.fingerprint, Shape: g.shape, Crashes: []quarantine.Crash{c}, Hops: maxSuspicionHops,
	})
}

// recordCanaryCrash is crashed, and waits for the peers.
func (g *guard) recordCanaryCrash(c quarantine.Crash) {
	timeout := kernel.NewAlarm(peerReportTimeout)
	defer timeout.Stop()
	select {
	case <-g.recordCrash(c):
	case <-timeout.C:
	}
}

// onAnswer takes the answer of a query. It returns true if the query has to be asked again, because no
// target has answered it and one has crashed or a relay holds it back.
func (g *guard) onAnswer(a query.Answer) bool {
	if len(a.Coverage.Included) > 0 {
		g.service.suspects.recordAnswer(g)
	}
	retry := false
	for _, m := range a.Coverage.Missing {
		retry = retry || m.Cause == query.CauseQuarantined
		if m.Cause == query.CauseCrashed && len(a.Coverage.Included) == 0 {
			g.recordCrash(quarantine.Crash{Shard: m.Shard})
			retry = true
			break // The shards of one fan-out may have been lost with the same relay.
		}
	}
	if !retry || g.request.Cleared {
		return false
	}
	g.sent = true
	if len(a.Coverage.Included) > 0 {
		g.request.Cleared = true // The relays that hold it back learn so from the next attempt.
		return true
	}
	g.service.suspects.withList(func(l *quarantine.List) { l.Distrust(g.shape) })
	return true
}

// Suspect implements relay.Backend. A suspicion that is new here is passed on.
func (s *Service) Suspect(m peer.Suspicion) {
	isNew := false
	s.suspects.withList(func(l *quarantine.List) {
		for _, c := range m.Crashes {
			isNew = l.Crashed(time.Now(), m.Fingerprint, m.Shape, c) || isNew
		}
	})
	if m.Hops = min(m.Hops, maxSuspicionHops) - 1; isNew && m.Hops >= 0 {
		s.reportSuspicion(m)
	}
}

// reportSuspicion sends a suspicion to a few live peers. The channel is closed once all have answered.
func (s *Service) reportSuspicion(m peer.Suspicion) <-chan struct{} {
	return s.notifyPeers("suspicions_lost", func(ctx context.Context, address string) error {
		return s.relays.Suspect(ctx, address, m)
	})
}
