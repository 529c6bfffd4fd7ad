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
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

const (
	// suspicionTimeout bounds one attempt to send a suspicion to a peer.
	suspicionTimeout = time.Second
	// suspicionPause is the pause between two attempts.
	suspicionPause = 500 * time.Millisecond
	// suspicionSpan bounds the time over which a suspicion is sent again. A member that returns later gets all
	// suspicions then.
	suspicionSpan = 30 * time.Second
	// maxSentToJoined is the maximum number of suspected requests of which a member is told when it joins or returns,
	// the latest first.
	maxSentToJoined = 256
)

// suspects records requests that crash the targets that run them. Callers resubmit such a request at any instance, and
// each submission could crash as many targets as it has attempts. A request becomes a suspect once it has ended without
// an answer and a target that ran it refuses connections; a target that only lost an answer still accepts them. It is
// safe for concurrent use.
type suspects struct {
	mu               sync.Mutex // guards the fields below
	list             *quarantine.List
	liveIncarnations map[string]uint64              // by id, of the members that were live at the last call of joined
	probes           map[query.TargetID]*crashProbe // in progress, by incarnation id
}

func newSuspects() *suspects {
	return &suspects{
		list: quarantine.NewListWithThreshold(crashLimit), liveIncarnations: map[string]uint64{},
		probes: map[query.TargetID]*crashProbe{},
	}
}

// fingerprint identifies the submissions of one request. It leaves out the caller's port, which differs for each
// connection.
func fingerprint(r *Request) quarantine.Fingerprint {
	caller, _, err := net.SplitHostPort(r.Caller)
	if err != nil {
		caller = r.Caller
	}
	return quarantine.Hash(caller, r.Method, r.Host, r.Target, string(r.Body))
}

// refusal returns the refusal of a request that is quarantined, nil for any other request.
func (s *suspects) refusal(fingerprint func() quarantine.Fingerprint) *Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Empty() {
		return nil // Hashing each request would be in vain.
	}
	now, f := time.Now(), fingerprint()
	if !s.list.Refuses(now, f) {
		return nil
	}
	return &Response{
		Kind: Refused, Reason: reasonCrashes, RetryAfter: s.list.RetryAfter(now, f),
		inputs: []slog.Attr{fingerprintAttr(f), slog.Int("crashed_targets", s.list.CrashCount(f))},
	}
}

// crashCount returns the number of targets that are known to have crashed on a request.
func (s *suspects) crashCount(fingerprint func() quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Empty() {
		return 0
	}
	return s.list.CrashCount(fingerprint())
}

// record adds crashes of targets that ran a request. It returns those that were new, and the total.
func (s *suspects) record(f quarantine.Fingerprint, crashes []quarantine.Crash) (added []quarantine.Crash, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range crashes {
		if s.list.RecordCrash(now, f, 0, c) {
			added = append(added, c)
		}
	}
	return added, s.list.CrashCount(f)
}

// recordCompleteAnswer ends the suspicion of a request that targets have answered.
func (s *suspects) recordCompleteAnswer(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.RecordCompleteAnswer(time.Now(), f)
	if s.list.Restricted(f) {
		s.list.RecordAnswer(f, 0)
	}
}

// answeredRecently reports whether targets have answered an earlier submission of a request.
func (s *suspects) answeredRecently(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.AnsweredRecently(time.Now(), f)
}

// joined returns the members that have become live or have a new incarnation since the last call, and the suspected
// requests.
func (s *suspects) joined(members []membership.Member) ([]membership.Member, []quarantine.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.liveIncarnations
	s.liveIncarnations = make(map[string]uint64, len(members))
	var joined []membership.Member
	for _, m := range members {
		if m.State != membership.Live {
			continue
		}
		s.liveIncarnations[m.ID] = m.Incarnation
		if previous[m.ID] != m.Incarnation {
			joined = append(joined, m)
		}
	}
	if len(joined) == 0 {
		return nil, nil
	}
	return joined, s.list.Suspects(time.Now(), maxSentToJoined)
}

func fingerprintAttr(f quarantine.Fingerprint) slog.Attr {
	return slog.String("fingerprint", strconv.FormatUint(uint64(f), 16))
}

// attemptLimit returns the maximum number of attempts per shard of a request. If targets have crashed on earlier
// submissions, the attempts and these crashes together do not exceed crashLimit; one attempt is always allowed.
func attemptLimit(maxAttempts, crashes int) int {
	if crashes > 0 {
		maxAttempts = min(maxAttempts, crashLimit-crashes)
	}
	return max(1, maxAttempts)
}

// crashCount returns the number of targets that closed their connections while they ran the request, including the
// crashes of earlier submissions.
func (q *run) crashCount() int {
	var targets []query.TargetID
	for _, r := range q.attempts {
		if r.hasOutcome(query.OutcomeCrashed) && !slices.Contains(targets, r.target) {
			targets = append(targets, r.target)
		}
	}
	return q.priorCrashes + len(targets)
}

// updateSuspicion evaluates a request that has ended. If the targets of all its shards succeeded, the suspicion ends.
// Otherwise, the targets that crashed meanwhile are reported. An error response does not show that the request is harmless: a
// failing target also sends one instead of running the request. Nor does the answer of one shard say anything about another.
func (q *run) updateSuspicion() {
	if q.machine.Covered() == len(q.resolved.shards) {
		q.recordCompleteAnswer()
		return
	}
	if q.priorCrashes > 0 {
		q.probeUnanswered()
	}
	for _, p := range q.probes {
		q.service.addUnanswered(p, submission{id: q.id, request: q.request.ID, fingerprint: q.fingerprint()})
	}
}

func (q *run) recordCompleteAnswer() {
	f := q.fingerprint()
	if q.priorCrashes > 0 {
		q.service.cfg.Log.Info("targets answered a suspected request; its suspicion ends", "request", q.request.ID,
			fingerprintAttr(f), "crashed_targets", q.priorCrashes)
	}
	q.service.suspects.recordCompleteAnswer(f)
}

// probeUnanswered probes the targets of attempts that ended without a sign. The end of the connection of a crashed target
// may be lost on the way, and an attempt that was cancelled would not have shown it.
func (q *run) probeUnanswered() {
	for _, r := range q.attempts {
		if r.entry.Address == "" || r.phase == replied && r.outcome != query.OutcomeUnknown {
			continue
		}
		q.addProbe(q.service.probe(r.entry, false))
	}
}

// addProbe adds the probe of a target of the request, unless it is there already.
func (q *run) addProbe(p *crashProbe) {
	if !slices.Contains(q.probes, p) {
		q.probes = append(q.probes, p)
	}
}

// incarnationID returns an id for one incarnation of a target. A target may crash again after it has restarted under
// the same id.
func incarnationID(id query.TargetID, incarnation int64) query.TargetID {
	return id + query.TargetID("@"+strconv.FormatInt(incarnation, 36))
}

// reportCrashes records crashes on a request and sends new ones to the other instances, because the request may be
// resubmitted at any of them.
func (s *Service) reportCrashes(f quarantine.Fingerprint, crashes []quarantine.Crash, source ...any) {
	added, total := s.suspects.record(f, crashes)
	if len(added) == 0 {
		return
	}
	s.logCrashes("targets crashed while they ran a request", f, added, total, source...)
	s.saveIfQuarantined(f)
	self := s.cfg.Instance
	for _, m := range s.cfg.Members.Members() {
		if m.ID != self && m.State != membership.Dead {
			s.sendSuspicion(m, peer.Suspicion{Fingerprint: f, Crashes: added})
		}
	}
}

// Suspect records crashes that another instance reports.
func (s *Service) OnSuspicion(m peer.Suspicion) {
	if added, total := s.suspects.record(m.Fingerprint, m.Crashes); len(added) > 0 {
		s.logCrashes("another instance reports a request that crashes targets", m.Fingerprint, added, total)
		// Neither instance may have counted the last crash by itself.
		if s.isSaver(m.Fingerprint) {
			s.saveIfQuarantined(m.Fingerprint)
		}
	}
}

// isSaver reports whether this instance is the live member that saves a request which several instances have reported.
func (s *Service) isSaver(f quarantine.Fingerprint) bool {
	key := strconv.FormatUint(uint64(f), 16)
	return rendezvous.Choose(key, membership.LiveIDs(s.cfg.Members.Members())) == s.cfg.Instance
}

// saveIfQuarantined saves a request in the platform's store if it is quarantined. What instances keep in memory is lost
// with them, and does not reach an instance that is cut off from the others.
func (s *Service) saveIfQuarantined(f quarantine.Fingerprint) {
	s.suspects.mu.Lock()
	c, quarantined := s.suspects.list.Confirmed(time.Now(), f, 0)
	s.suspects.mu.Unlock()
	if quarantined {
		s.cfg.SaveQuarantined(c)
	}
}

// onQuarantineStored takes over the list of quarantined requests in the platform's store, and saves those that it lacks.
func (s *Service) onQuarantineStored(stored []quarantine.Confirmed) {
	now := time.Now()
	known := make(map[quarantine.Fingerprint]bool, len(stored))
	s.suspects.mu.Lock()
	for _, c := range stored {
		known[c.Fingerprint] = true
		s.suspects.list.Import(now, c)
	}
	missing := slices.DeleteFunc(s.suspects.list.AllConfirmed(now), func(c quarantine.Confirmed) bool { return known[c.Fingerprint] })
	s.suspects.mu.Unlock()
	s.cfg.Log.Info("quarantined requests read from the store", "requests", len(stored), "missing", len(missing))
	for _, c := range missing {
		if s.isSaver(c.Fingerprint) {
			s.cfg.SaveQuarantined(c)
		}
	}
}

func (s *Service) logCrashes(message string, f quarantine.Fingerprint, added []quarantine.Crash, total int, attrs ...any) {
	s.cfg.Metrics.crashes.Add(float64(len(added)))
	targets := make([]query.TargetID, 0, len(added))
	for _, c := range added {
		targets = append(targets, c.Target)
	}
	s.cfg.Log.Warn(message, append(attrs,
		fingerprintAttr(f), slog.Any("targets", targets), slog.Int("crashed_targets", total), slog.Bool("held", total >= crashLimit))...)
}

// sendSuspectsToJoined tells members that have joined, restarted or returned of the suspected requests. For each of these
// members, rendezvous hashing chooses the one instance that sends.
func (s *Service) sendSuspectsToJoined() {
	members := s.cfg.Members.Members()
	joined, suspected := s.suspects.joined(members)
	if len(suspected) == 0 {
		return
	}
	live := membership.LiveIDs(members)
	for _, m := range joined {
		others := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return id == m.ID })
		if rendezvous.Choose(m.ID, others) != s.cfg.Instance {
			continue
		}
		for _, c := range suspected {
			s.sendSuspicion(m, peer.Suspicion{Fingerprint: c.Fingerprint, Crashes: c.Crashes})
		}
	}
}

// sendSuspicion sends a suspicion to a member in the background, again and again until the member has it or has
// restarted. A member that is paused or cut off, and may count as dead meanwhile, would send the request to further
// targets afterwards.
func (s *Service) sendSuspicion(m membership.Member, suspicion peer.Suspicion) {
	s.background.Go(func() {
		start := time.Now()
		for {
			ctx, cancel := context.WithTimeout(s.ctx, suspicionTimeout)
			err := s.cfg.SendSuspicion(ctx, m.Address, suspicion)
			cancel()
			if err == nil {
				return
			}
			if time.Since(start) >= suspicionSpan || s.hasBeenReplaced(m) || !kernel.Sleep(s.ctx, suspicionPause) {
				s.cfg.Log.Info("cannot send a suspicion to a member", "member", m.ID, fingerprintAttr(suspicion.Fingerprint), "error", err)
				return
			}
		}
	})
}

// hasBeenReplaced reports whether a member has restarted.
func (s *Service) hasBeenReplaced(m membership.Member) bool {
	return slices.ContainsFunc(s.cfg.Members.Members(), func(now membership.Member) bool {
		return now.ID == m.ID && now.Incarnation != m.Incarnation
	})
}
