package gateway

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

const (
	// fleetReportRate is the number of crashes a second that all instances together report because the list has lost targets
	// with unanswered requests.
	fleetReportRate = 64
	// fleetReportBurst is the number that they may report at once.
	fleetReportBurst = 4 * fleetReportRate
	// minReportBurst is the number that each may report at once.
	minReportBurst = 2
)

// targetStart identifies one start of a target, and holds what a probe of it needs.
type targetStart struct {
	id, service, address string
	incarnation          int64
}

func startOf(e roster.Entry) targetStart {
	return targetStart{id: e.ID, service: e.Service, address: e.Address, incarnation: e.Incarnation}
}

// entry returns what the list said of the target.
func (t targetStart) entry() roster.Entry {
	return roster.Entry{ID: t.id, Service: t.service, Address: t.address, Incarnation: t.incarnation}
}

// remember remembers a submission that targets have not answered.
func (s *suspects) remember(now time.Time, entries []roster.Entry, u quarantine.Submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.unanswered.Add(now, startOf(e), u)
	}
	s.unansweredCount.Store(int64(s.unanswered.Len()))
}

// unansweredTargets returns the targets of which unanswered submissions are remembered.
func (s *suspects) unansweredTargets(now time.Time) []targetStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.unanswered.Targets(now)
	s.unansweredCount.Store(int64(s.unanswered.Len()))
	return targets
}

// takeUnanswered returns the submissions that a target has left unanswered, and forgets them.
func (s *suspects) takeUnanswered(t targetStart) []quarantine.Submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	submissions := s.unanswered.Take(t)
	s.unansweredCount.Store(int64(s.unanswered.Len()))
	return submissions
}

// onAnswer forgets the submissions that a target has survived.
func (s *suspects) onAnswer(now time.Time, e roster.Entry) {
	if s.unansweredCount.Load() == 0 {
		return // The usual case, for each reply of a target.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered.OnAnswer(now, startOf(e))
	s.unansweredCount.Store(int64(s.unanswered.Len()))
}

// signalTargetsLost tells the requests that run that the list has lost targets.
func (s *suspects) signalTargetsLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for q := range s.running {
		select {
		case q.targetsLost <- struct{}{}:
		default: // A signal is pending already.
		}
	}
}

// mayReport reports whether a crash that only the list has shown may be reported now.
func (s *suspects) mayReport(members int) bool {
	s.reports.SetLimit(rate.Limit(float64(fleetReportRate) / float64(max(1, members))))
	s.reports.SetBurst(max(minReportBurst, fleetReportBurst/max(1, members)))
	return s.reports.Allow()
}

// rememberUnanswered remembers a submission that has ended without the answers of targets, and probes those that the list has
// lost meanwhile.
func (s *Service) rememberUnanswered(entries []roster.Entry, u quarantine.Submission) {
	if len(entries) == 0 {
		return
	}
	s.suspects.remember(time.Now(), entries, u)
	for _, e := range s.lostOf(entries) {
		s.probeLost(startOf(e))
	}
}

// probeLostTargets probes the targets that the list has lost since requests were sent to them that they have not answered. The
// list is the only sign of a crash that leaves open connections silent.
func (s *Service) probeLostTargets() {
	targets := s.suspects.unansweredTargets(time.Now())
	if len(targets) == 0 {
		return
	}
	var lost []targetStart
	s.mu.Lock()
	stateOf := s.roster.States()
	for _, t := range targets {
		switch e := t.entry(); {
		case s.roster.IsDraining(e):
			s.suspects.takeUnanswered(t) // It ends in order.
		case stateOf(e) != roster.Listed:
			lost = append(lost, t)
		}
	}
	s.mu.Unlock()
	for _, t := range lost {
		s.probeLost(t)
	}
}

func (s *Service) probeLost(t targetStart) {
	submissions := s.suspects.takeUnanswered(t)
	if len(submissions) == 0 {
		return
	}
	p := s.probe(t.entry(), false)
	s.cfg.Log.Info("list has lost a target that left requests unanswered", "target", p.target, "service", t.service,
		slog.Int("submissions", len(submissions)))
	for _, u := range submissions {
		s.addUnanswered(p, u)
	}
}

// lostOf returns those of the entries that the list has lost.
func (s *Service) lostOf(entries []roster.Entry) []roster.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := slices.DeleteFunc(slices.Clone(entries), func(e roster.Entry) bool {
		now, inUse := s.targets[query.TargetID(e.ID)]
		return inUse && now.Incarnation == e.Incarnation
	})
	if len(lost) == 0 {
		return nil // The usual case; the states of all entries would take much longer.
	}
	stateOf := s.roster.States()
	return slices.DeleteFunc(lost, func(e roster.Entry) bool { return stateOf(e) == roster.Listed })
}

// isAnswer reports whether a reply shows that its target is alive.
func isAnswer(r query.Reply) bool {
	switch r.Outcome {
	case query.OutcomeAnswered, query.OutcomeFailed, query.OutcomeShed, query.OutcomeDraining:
		return true
	}
	return false
}
