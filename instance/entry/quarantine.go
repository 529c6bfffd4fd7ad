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
	// suspectHops bounds how often a suspicion is passed on. Four to the seventh is 20 times the 780
	// instances of the target size, so that members reached twice do not end the spread early.
	suspectHops = 7
	// suspectWait bounds the wait for the peers' answers before a crashed canary is followed by another
	// one. Without it, a resend through a peer could run on a third target meanwhile. It is twice the
	// way there and back between regions.
	suspectWait = 50 * time.Millisecond
)

// suspects is the list of held requests of an instance. It is safe for concurrent use.
type suspects struct {
	mu   sync.Mutex // guards list
	list *quarantine.List
}

func newSuspects() *suspects { return &suspects{list: quarantine.NewList()} }

func (s *suspects) do(f func(*quarantine.List)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.list)
}

func (s *suspects) admit(g *guard) (v quarantine.Verdict) {
	s.do(func(l *quarantine.List) { v = l.Admit(time.Now(), g.fingerprint, g.shape) })
	return v
}

func (s *suspects) answered(g *guard) {
	s.do(func(l *quarantine.List) { l.Answered(g.fingerprint, g.shape) })
}

func (s *suspects) heldBack(f quarantine.Fingerprint) (held bool) {
	s.do(func(l *quarantine.List) { held = l.HeldBack(f) })
	return held
}

func (s *suspects) crashes(f quarantine.Fingerprint) (n int) {
	s.do(func(l *quarantine.List) { n = l.Crashes(f) })
	return n
}

func (s *suspects) learn(confirmed []quarantine.Confirmed) {
	s.do(func(l *quarantine.List) {
		for _, c := range confirmed {
			l.Import(time.Now(), c)
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
			kernel.Sleep(ctx, canaryPoll)
		case quarantine.Canary:
			if p, again := g.runCanary(ctx, m); !again {
				return p
			}
		}
	}
	return nil
}

func (g *guard) refuse() *problem.Problem {
	var wait time.Duration
	g.service.suspects.do(func(l *quarantine.List) { wait = l.RetryAfter(time.Now(), g.fingerprint) })
	p := refusal(http.StatusServiceUnavailable, problem.Quarantined, "the request may crash the targets that run it")
	if g.sent {
		p.Run = problem.MayHaveRun
	}
	g.service.counters.Counter("search_refused_" + string(p.Code)).Add(1)
	return p.WithRetryAfter(wait)
}

// crashed takes a crash of a target on a request that no target has answered, and tells the peers. The
// channel is closed once they have answered.
func (g *guard) crashed(c quarantine.Crash) <-chan struct{} {
	var news, confirmed bool
	var shared quarantine.Confirmed
	g.service.suspects.do(func(l *quarantine.List) {
		now := time.Now()
		news = l.Crashed(now, g.fingerprint, g.shape, c)
		shared, confirmed = l.Confirmed(now, g.fingerprint, g.shape)
	})
	if !news {
		told := make(chan struct{})
		close(told)
		return told
	}
	g.service.counters.Counter("crashes_suspected").Add(1)
	if confirmed {
		g.service.counters.Counter("requests_quarantined").Add(1)
		g.service.config.Confirm(shared)
	}
	return g.service.reportSuspicion(peer.Suspicion{
		Fingerprint: g.fingerprint, Shape: g.shape, Crashes: []quarantine.Crash{c}, Hops: suspectHops,
	})
}

// crashedCanary is crashed, and waits for the peers.
func (g *guard) crashedCanary(c quarantine.Crash) {
	patience := kernel.NewAlarm(suspectWait)
	defer patience.Stop()
	select {
	case <-g.crashed(c):
	case <-patience.C:
	}
}

// finish takes the answer of a query. It returns true if the query has to be asked again, because no
// target has answered it and one has crashed or a relay holds it back.
func (g *guard) finish(a query.Answer) bool {
	if len(a.Coverage.Included) > 0 {
		g.service.suspects.answered(g)
	}
	held := false
	for _, m := range a.Coverage.Missing {
		held = held || m.Cause == query.CauseQuarantined
		if m.Cause == query.CauseCrashed && len(a.Coverage.Included) == 0 {
			g.crashed(quarantine.Crash{Shard: m.Shard})
			held = true
			break // The shards of one fan-out may have been lost with the same relay.
		}
	}
	if !held || g.request.Cleared {
		return false
	}
	g.sent = true
	if len(a.Coverage.Included) > 0 {
		g.request.Cleared = true // The relays that hold it back learn so from the next attempt.
		return true
	}
	g.service.suspects.do(func(l *quarantine.List) { l.RemoveShape(g.shape) })
	return true
}

// Suspect implements relay.Backend. A suspicion that is new here is passed on.
func (s *Service) Suspect(m peer.Suspicion) {
	news := false
	s.suspects.do(func(l *quarantine.List) {
		for _, c := range m.Crashes {
			news = l.Crashed(time.Now(), m.Fingerprint, m.Shape, c) || news
		}
	})
	if m.Hops = min(m.Hops, suspectHops) - 1; news && m.Hops >= 0 {
		s.reportSuspicion(m)
	}
}

// reportSuspicion sends a suspicion to a few live peers. The channel is closed once all have answered.
func (s *Service) reportSuspicion(m peer.Suspicion) <-chan struct{} {
	return s.notifyPeers("suspicions_lost", func(ctx context.Context, address string) error {
		return s.relays.Suspect(ctx, address, m)
	})
}
