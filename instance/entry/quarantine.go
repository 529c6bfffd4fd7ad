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
	// maxSuspicionHops bounds the number of times that a suspicion is forwarded. With notifyFanOut receivers at each
	// hop, 4^7 messages are 20 times the 780 instances of the target size, so that duplicate deliveries do not stop
	// the spread before all members are reached.
	maxSuspicionHops = 7
	// peerReportTimeout bounds the wait for the exchange of suspicions with peers before the next canary is sent.
	// Without the wait, a copy of the request that was resent to a peer could run on a third target meanwhile. It
	// is twice the round-trip time between regions.
	peerReportTimeout = 50 * time.Millisecond
)

// suspects is the quarantine list of an instance. It is safe for concurrent use.
type suspects struct {
	mu   sync.Mutex // guards list
	list *quarantine.List
}

func newSuspects() *suspects { return &suspects{list: quarantine.NewList()} }

// withList calls f with the list while holding the mutex.
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
	s.withList(func(l *quarantine.List) { l.RecordAnswer(g.fingerprint, g.shape) })
}

func (s *suspects) restricted(f quarantine.Fingerprint) (restricted bool) {
	s.withList(func(l *quarantine.List) { restricted = l.Restricted(f) })
	return restricted
}

func (s *suspects) crashCount(f quarantine.Fingerprint) (n int) {
	s.withList(func(l *quarantine.List) { n = l.CrashCount(f) })
	return n
}

func (s *suspects) importConfirmed(confirmed []quarantine.Confirmed) {
	s.withList(func(l *quarantine.List) {
		for _, c := range confirmed {
			l.Import(time.Now(), c)
		}
	})
}

// guard applies the quarantine to one request, from its admission to its answer.
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

// admit waits until the request may run on all shards. It returns a problem if the request is refused.
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
		p.RunState = problem.MayHaveRun
	}
	g.service.counters.Counter("search_refused_" + string(p.Code)).Add(1)
	return p.WithRetryAfter(wait)
}

// recordCrash records the crash of a target on a request that no target has answered, and notifies the peers if the
// crash is new. The channel is closed when the calls to the peers have ended.
func (g *guard) recordCrash(c quarantine.Crash) <-chan struct{} {
	var isNew, confirmed bool
	var record quarantine.Confirmed
	g.service.suspects.withList(func(l *quarantine.List) {
		now := time.Now()
		isNew = l.RecordCrash(now, g.fingerprint, g.shape, c)
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
		g.service.config.AddQuarantined(record)
	}
	return g.service.reportSuspicion(peer.Suspicion{
		Fingerprint: g.fingerprint, Shape: g.shape, Crashes: []quarantine.Crash{c}, Hops: maxSuspicionHops,
	})
}

// recordCanaryCrash calls recordCrash and waits for the peers, up to peerReportTimeout.
func (g *guard) recordCanaryCrash(c quarantine.Crash) {
	timeout := kernel.NewAlarm(peerReportTimeout)
	defer timeout.Stop()
	select {
	case <-g.recordCrash(c):
	case <-timeout.C:
	}
}

// onAnswer handles the answer of a query. It returns true if the query must run again, because no target has answered
// it and one has crashed, or because a relay has held it back.
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
			break // Other shards may be missing because of the same relay, so one crash is recorded.
		}
	}
	if !retry || g.request.Cleared {
		return false
	}
	g.sent = true
	if len(a.Coverage.Included) > 0 {
		g.request.Cleared = true // The next attempt informs the relays that hold the request back.
		return true
	}
	g.service.suspects.withList(func(l *quarantine.List) { l.RemoveShape(g.shape) })
	return true
}

// Suspect implements relay.Backend. A suspicion that is new to this instance is forwarded.
func (s *Service) OnSuspicion(m peer.Suspicion) {
	isNew := false
	s.suspects.withList(func(l *quarantine.List) {
		for _, c := range m.Crashes {
			isNew = l.RecordCrash(time.Now(), m.Fingerprint, m.Shape, c) || isNew
		}
	})
	if m.Hops = min(m.Hops, maxSuspicionHops) - 1; isNew && m.Hops >= 0 {
		s.reportSuspicion(m)
	}
}

// reportSuspicion sends a suspicion to peers. The channel is closed when the calls have ended.
func (s *Service) reportSuspicion(m peer.Suspicion) <-chan struct{} {
	return s.notifyPeers("suspicions_lost", func(ctx context.Context, address string) error {
		return s.relayClient.ReportSuspicion(ctx, address, m)
	})
}
