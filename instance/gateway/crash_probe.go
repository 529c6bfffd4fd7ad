package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

// probeTimeout bounds one check whether a target accepts connections. It allows several round trips between regions.
const probeTimeout = 300 * time.Millisecond

// crashProbe finds out whether a target has crashed. It starts when a connection closes in the middle of a request or when the
// list has lost a target that left a request unanswered, and is shared by all requests that the target had in flight.
type crashProbe struct {
	target query.TargetID // incarnation id
	closed bool           // the target closed a connection
	start  time.Time

	// The fields below are guarded by suspects.mu.

	evidence quarantine.Evidence
	// unanswered are the submissions that the target had in flight and that ended without an answer.
	unanswered []quarantine.Submission
}

// newSubmission returns the submission of a request that runs. It outlives the request, and keeps none of its body and header.
func newSubmission(q *run) quarantine.Submission {
	r := q.request
	return quarantine.Submission{ID: q.id, Fingerprint: q.fingerprint(), Began: q.start, Attrs: []any{
		slog.String("request", r.ID), slog.String("caller", r.Caller), slog.String("method", r.Method), slog.String("host", r.Host),
		slog.String("path", strings.Clone(r.Target[:min(len(r.Target), maxLoggedPath)])), slog.Int("body_bytes", len(r.Body)),
	}}
}

// maxLoggedPath bounds the path of a request in a log line, in bytes.
const maxLoggedPath = 200

// probe returns the probe of a target that has closed a connection in the middle of a request or, if closed is not set, left
// a request unanswered and is lost to the list. e is its entry at the time at which the request was sent.
func (s *Service) probe(e roster.Entry, closed bool) *crashProbe {
	p := &crashProbe{target: incarnationID(query.TargetID(e.ID), e.Incarnation), closed: closed, start: time.Now()}
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	if running, ok := s.suspects.probes[p.target]; ok && (running.closed || !closed) {
		return running
	}
	s.suspects.probes[p.target] = p
	s.background.Go(func() { s.runProbe(p, e) })
	return p
}

func (s *Service) runProbe(p *crashProbe, e roster.Entry) {
	check := quarantine.NewCrashCheck(p.closed)
	state := s.stateOf(e)
	if state == roster.Replaced {
		check.OnRestarted()
		s.updateEvidence(p, check.Evidence())
	}
	for step, ok := check.Next(); ok; step, ok = check.Next() {
		if !kernel.Sleep(s.ctx, step.Pause) {
			break
		}
		if !step.Connect {
			s.suspects.endSharing(p) // A connection that closes from now on needs checks of its own.
		}
		if step.Connect {
			check.OnConnect(s.tryConnect(e.Address))
		}
		switch state = s.stateOf(e); state {
		case roster.Replaced:
			check.OnRestarted()
		case roster.Removed:
			check.OnRemoved()
		}
		s.updateEvidence(p, check.Evidence())
	}
	s.suspects.endSharing(p)
	s.cfg.Log.Info("target probed after it closed a connection or left a request unanswered", "target", p.target, "service", e.Service,
		"address", e.Address, "closed", p.closed, "connects", fmt.Sprint(check.Connects()), "list", state.String(),
		"crash", check.Evidence().String(), "took_ms", time.Since(p.start).Milliseconds())
}

// endSharing makes later requests use a new probe.
func (s *suspects) endSharing(p *crashProbe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probes[p.target] == p {
		delete(s.probes, p.target)
	}
}

// updateEvidence reports the crash for the submissions that the target had in flight, if there is more evidence than before.
func (s *Service) updateEvidence(p *crashProbe, evidence quarantine.Evidence) {
	s.suspects.mu.Lock()
	more := evidence > p.evidence
	p.evidence = evidence
	unanswered := p.unanswered
	s.suspects.mu.Unlock()
	if !more {
		return
	}
	for _, u := range unanswered {
		s.reportCrash(u, p, evidence)
	}
}

// addUnanswered adds a submission that ended without an answer to the probe of a target that had it in flight.
func (s *Service) addUnanswered(p *crashProbe, u quarantine.Submission) {
	s.suspects.mu.Lock()
	p.unanswered = append(p.unanswered, u)
	evidence := p.evidence
	s.suspects.mu.Unlock()
	if evidence != quarantine.NoEvidence {
		s.reportCrash(u, p, evidence)
	}
}

// reportCrash reports a crash of a target that had a submission in flight.
func (s *Service) reportCrash(u quarantine.Submission, p *crashProbe, evidence quarantine.Evidence) {
	c := quarantine.Crash{Target: p.target, At: p.start}
	switch {
	case !p.closed && !s.suspects.mayReport(len(s.cfg.Members.Members())):
		s.cfg.Metrics.unreported.Inc()
		return
	case !p.closed:
		c.Began, c.Submission = u.Began, u.ID
	case evidence == quarantine.Proven && !s.suspects.answeredRecently(u.Fingerprint):
		c.Submission = u.ID
	}
	s.reportCrashes(u.Fingerprint, []quarantine.Crash{c}, append(slices.Clone(u.Attrs), slog.String("evidence", evidence.String()))...)
}

func (s *Service) tryConnect(address string) quarantine.ConnectResult {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	err := s.cfg.Sender.CheckReachable(ctx, address)
	switch {
	case err == nil:
		return quarantine.ConnectAccepted
	case ctx.Err() == nil:
		return quarantine.ConnectRefused
	}
	return quarantine.ConnectSilent
}

// stateOf returns what the list says of a target.
func (s *Service) stateOf(e roster.Entry) roster.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.StateOf(e)
}
