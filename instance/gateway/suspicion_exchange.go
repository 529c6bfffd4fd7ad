package gateway

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
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

// reportCrashes records crashes on a request and sends new ones to the other instances, because the request may be
// resubmitted at any of them.
func (s *Service) reportCrashes(f quarantine.Fingerprint, crashes []quarantine.Crash, source ...any) {
	added, total := s.suspects.record(f, crashes)
	if len(added) == 0 {
		return
	}
	s.logCrashes("targets crashed while they ran a request", f, added, total, source...)
	s.saveIfQuarantined(f)
	s.sendToOthers(peer.Suspicion{Fingerprint: f, Crashes: added, Reporter: s.cfg.Instance})
}

// sendToOthers sends a suspicion to all other members.
func (s *Service) sendToOthers(suspicion peer.Suspicion) {
	for _, m := range s.cfg.Members.Members() {
		if m.ID != s.cfg.Instance && m.State != membership.Dead {
			s.sendSuspicion(m, suspicion)
		}
	}
}

// OnSuspicion records crashes, or an answer, that another instance reports.
func (s *Service) OnSuspicion(m peer.Suspicion) {
	if !m.Answered.IsZero() && s.suspects.recordCompleteAnswer(m.Answered, m.Fingerprint) {
		s.cfg.Log.Info("another instance reports an answer to a suspected request; earlier crashes no longer count", fingerprintAttr(m.Fingerprint))
		if m.Hops > 0 {
			s.sendToOthers(peer.Suspicion{Fingerprint: m.Fingerprint, Answered: m.Answered})
		}
	}
	s.tellReporterOfAnswer(m)
	if added, total := s.suspects.record(m.Fingerprint, m.Crashes); len(added) > 0 {
		s.logCrashes("another instance reports a request that crashes targets", m.Fingerprint, added, total)
		// Neither instance may have counted the last crash by itself.
		if s.isSaver(m.Fingerprint) {
			s.saveIfQuarantined(m.Fingerprint)
		}
	}
}

// tellReporterOfAnswer tells the instance that reports crashes of an answer that came after them. That instance tells all the
// others, which may have counted the crashes as well.
func (s *Service) tellReporterOfAnswer(m peer.Suspicion) {
	answered := s.suspects.answeredSince(m.Fingerprint, m.Crashes)
	if m.Reporter == "" || answered.IsZero() {
		return
	}
	for _, member := range s.cfg.Members.Members() {
		if member.ID == m.Reporter {
			s.sendSuspicion(member, peer.Suspicion{Fingerprint: m.Fingerprint, Answered: answered, Hops: 1})
		}
	}
}

// isSaver reports whether this instance is the live member that saves a request which several instances have reported.
func (s *Service) isSaver(f quarantine.Fingerprint) bool {
	key := strconv.FormatUint(uint64(f), 16)
	return rendezvous.Choose(key, membership.LiveIDs(s.cfg.Members.Members())) == s.cfg.Instance
}

// beginTrial reports whether a quarantined request is to run once, to find out whether it still crashes targets. One instance
// makes all trials of a request, so that they stay few.
func (s *Service) beginTrial(r *Request, fingerprint func() quarantine.Fingerprint) bool {
	if !s.suspects.trialIsDue(fingerprint) || !s.isSaver(fingerprint()) || !s.suspects.takeTrial(fingerprint()) {
		return false
	}
	s.cfg.Log.Info("quarantined request runs once, since targets had answered it before", "request", r.ID, fingerprintAttr(fingerprint()))
	return true
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

// onQuarantineStored takes over the list of quarantined requests in the platform's store, and saves what it lacks: requests, and
// that targets had answered one before, which would be lost with the instances that know it.
func (s *Service) onQuarantineStored(stored []quarantine.Confirmed) {
	now := time.Now()
	answered := make(map[quarantine.Fingerprint]bool, len(stored)) // set if the stored request has the time of an answer
	s.suspects.mu.Lock()
	for _, c := range stored {
		answered[c.Fingerprint] = c.AnsweredMillis > 0
		s.suspects.list.Import(now, c)
		s.suspects.stopQuarantined(now, c.Fingerprint)
	}
	missing := slices.DeleteFunc(s.suspects.list.AllConfirmed(now), func(c quarantine.Confirmed) bool {
		hasAnswer, isStored := answered[c.Fingerprint]
		return isStored && (hasAnswer || c.AnsweredMillis == 0)
	})
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
