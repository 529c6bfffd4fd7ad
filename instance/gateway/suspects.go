package gateway

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/rendezvous"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

const (
	// probeTimeout bounds the connections that tell whether targets are still there: several round trips
	// between regions, and less than the seconds that a crashed target takes to come back.
	probeTimeout = 300 * time.Millisecond
	// mostProbed bounds the requests whose targets are probed at the same time. When a shard loses all
	// targets, its requests end without an answer and none of them is to blame.
	mostProbed = 16
	// tellTimeout bounds one message to a peer.
	tellTimeout = time.Second
	// tellAttempts is the number of times that a peer is told: one message may be lost.
	tellAttempts = 2
)

// suspects remembers requests that crash the targets which run them. Such a request comes again, at any
// instance; each submission would take down as many targets as it has attempts. A request counts as a
// suspect once it has ended without an answer and a target is gone that had it, because targets that
// only lose an answer are still there. It is safe for concurrent use.
type suspects struct {
	probes chan struct{} // holds one element for each request whose targets are probed

	mu   sync.Mutex // guards the fields below
	list *quarantine.List
	live map[string]uint64 // incarnations of the live members that know what is held
}

func newSuspects() *suspects {
	return &suspects{
		probes: make(chan struct{}, mostProbed), list: quarantine.NewListOf(crashLimit), live: map[string]uint64{},
	}
}

// fingerprint identifies the submissions of one request. Callers use a new port for each connection.
func fingerprint(r *Request) quarantine.Fingerprint {
	caller, _, err := net.SplitHostPort(r.Caller)
	if err != nil {
		caller = r.Caller
	}
	return quarantine.Hash(caller, r.Method, r.Host, r.Target, string(r.Body))
}

// suspicion returns the number of targets that crashed on a request, and the refusal of one that is held.
func (s *suspects) suspicion(r *Request) (crashes int, refused *Response) {
	s.mu.Lock()
	empty := s.list.Empty()
	s.mu.Unlock()
	if empty {
		return 0, nil
	}
	now, f := time.Now(), fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes = s.list.Crashes(f)
	if s.list.Refuses(now, f) {
		return crashes, &Response{
			Kind: Refused, Reason: reasonCrashes, RetryAfter: s.list.RetryAfter(now, f),
			inputs: []slog.Attr{fingerprintAttr(f), slog.Int("crashed_targets", crashes)},
		}
	}
	return crashes, nil
}

// crashed takes targets that crashed on a request. It returns those that were not known, and how many are
// known now.
func (s *suspects) crashed(f quarantine.Fingerprint, crashes []quarantine.Crash) (news []quarantine.Crash, known int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range crashes {
		if s.list.Crashed(now, f, 0, c) {
			news = append(news, c)
		}
	}
	return news, s.list.Crashes(f)
}

func (s *suspects) answered(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.HeldBack(f) {
		s.list.Answered(f, 0)
	}
}

// joined returns the live members that were not live, or are in another life, since the last call, and the
// requests that are held.
func (s *suspects) joined(members []membership.Member) ([]membership.Member, []quarantine.Confirmed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.live
	s.live = make(map[string]uint64, len(members))
	var joined []membership.Member
	for _, m := range members {
		if m.State != membership.Live {
			continue
		}
		s.live[m.ID] = m.Incarnation
		if before[m.ID] != m.Incarnation {
			joined = append(joined, m)
		}
	}
	return joined, s.list.AllConfirmed(time.Now())
}

func fingerprintAttr(f quarantine.Fingerprint) slog.Attr {
	return slog.String("fingerprint", strconv.FormatUint(uint64(f), 16))
}

// attemptLimit returns the attempts for each shard of a request on which targets have crashed before:
// together with those crashes no more than confirm it.
func attemptLimit(most, crashes int) int {
	if crashes > 0 {
		most = min(most, crashLimit-crashes)
	}
	return max(1, most)
}

// crashedTargets returns the number of targets that ended their connections while they ran the request, those of
// earlier submissions included.
func (q *run) crashedTargets() int {
	var targets []query.TargetID
	for _, r := range q.history {
		if r.ended(query.OutcomeCrashed) && !slices.Contains(targets, r.target) {
			targets = append(targets, r.target)
		}
	}
	return q.crashes + len(targets)
}

// learn takes what a request that has ended tells of it as a suspect.
func (q *run) learn() {
	var ended []query.TargetID
	for _, r := range q.history {
		switch {
		case r.ended(query.OutcomeAnswered, query.OutcomeFailed):
			if q.crashes > 0 {
				q.service.suspects.answered(fingerprint(q.request))
			}
			return
		case r.ended(query.OutcomeCrashed, query.OutcomeRefused):
			if !slices.Contains(ended, r.target) {
				ended = append(ended, r.target)
			}
		}
	}
	if len(ended) > 0 {
		q.service.probe(q.request, ended)
	}
}

// probe looks which of the targets that ended their connections while they had a request are gone. It
// goes on in the background, so that the final answer need not wait.
func (s *Service) probe(r *Request, ended []query.TargetID) {
	select {
	case s.suspects.probes <- struct{}{}:
	default:
		s.cfg.Log.Info("targets not probed: too many requests ended without an answer", "request", r.ID)
		return
	}
	go func() {
		defer func() { <-s.suspects.probes }()
		s.suspect(fingerprint(r), s.gone(ended), slog.String("request", r.ID))
	}()
}

// gone returns those of the targets that refuse connections. One that does not answer at all may be cut off.
func (s *Service) gone(ended []query.TargetID) []quarantine.Crash {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	found := make([]query.TargetID, len(ended))
	var looks sync.WaitGroup
	for i, id := range ended {
		e, known := s.target(id)
		if !known {
			continue
		}
		looks.Go(func() {
			if err := s.cfg.Sender.Reach(ctx, e.Address); err != nil && ctx.Err() == nil {
				found[i] = life(id, e.Incarnation)
			}
		})
	}
	looks.Wait()
	var crashes []quarantine.Crash
	for _, id := range found {
		if id != "" {
			crashes = append(crashes, quarantine.Crash{Target: id})
		}
	}
	return crashes
}

// life names one life of a target. A target may crash again after it has come back under its id.
func life(id query.TargetID, incarnation int64) query.TargetID {
	return id + query.TargetID("@"+strconv.FormatInt(incarnation, 36))
}

// suspect notes crashes on a request and tells the other instances at once, since the request may come
// again at any of them.
func (s *Service) suspect(f quarantine.Fingerprint, crashes []quarantine.Crash, source slog.Attr) {
	news, known := s.suspects.crashed(f, crashes)
	if len(news) == 0 {
		return
	}
	s.logSuspect("targets crashed while they ran a request", f, news, known, source)
	self := s.cfg.Instance
	for _, m := range s.cfg.Members.Members() {
		if m.ID != self && m.State != membership.Dead {
			s.tell(m, peer.Suspicion{Fingerprint: f, Crashes: news})
		}
	}
}

// Suspect takes the crashes that another instance has noticed.
func (s *Service) Suspect(m peer.Suspicion) {
	if news, known := s.suspects.crashed(m.Fingerprint, m.Crashes); len(news) > 0 {
		s.logSuspect("another instance reports a request that crashes targets", m.Fingerprint, news, known)
	}
}

func (s *Service) logSuspect(message string, f quarantine.Fingerprint, news []quarantine.Crash, known int, more ...any) {
	s.cfg.Metrics.crashes.Add(float64(len(news)))
	targets := make([]query.TargetID, 0, len(news))
	for _, c := range news {
		targets = append(targets, c.Target)
	}
	s.cfg.Log.Warn(message, append(more,
		fingerprintAttr(f), slog.Any("targets", targets), slog.Int("crashed_targets", known), slog.Bool("held", known >= crashLimit))...)
}

// tellJoined tells members that have come, or come back, which requests are held. One instance tells each.
func (s *Service) tellJoined() {
	members := s.cfg.Members.Members()
	joined, held := s.suspects.joined(members)
	if len(joined) == 0 || len(held) == 0 {
		return
	}
	live := membership.LiveIDs(members)
	for _, m := range joined {
		others := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return id == m.ID })
		if rendezvous.Choose(m.ID, others) != s.cfg.Instance {
			continue
		}
		for _, c := range held {
			s.tell(m, peer.Suspicion{Fingerprint: c.Fingerprint, Crashes: c.Crashes})
		}
	}
}

// tell sends a suspicion to a member in the background.
func (s *Service) tell(m membership.Member, suspicion peer.Suspicion) {
	go func() {
		var err error
		for range tellAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			err = s.cfg.SendSuspicion(ctx, m.Address, suspicion)
			cancel()
			if err == nil {
				return
			}
		}
		s.cfg.Log.Info("member not told of a request that crashes targets", "member", m.ID, "error", err)
	}()
}
