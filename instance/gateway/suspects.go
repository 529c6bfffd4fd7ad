package gateway

import (
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/routing"
)

// suspects records requests that crash the targets that run them. Callers resubmit such a request at any instance, and
// each submission could crash as many targets as it has attempts. A request becomes a suspect once it has ended without
// a complete answer and there is evidence that a target crashed that ran it; a target that only lost an answer is still there.
// It is safe for concurrent use.
type suspects struct {
	mu               sync.Mutex // guards the fields below; locked after Service.mu
	list             *quarantine.List
	liveIncarnations map[string]uint64              // by id, of the members that were live at the last call of joined
	probes           map[query.TargetID]*crashProbe // in progress, by incarnation id
	running          map[*run]struct{}              // requests that run at this instance
	unanswered       *quarantine.Unanswered[targetStart]
	// unansweredCount is unanswered.Len(), also readable without mu.
	unansweredCount atomic.Int64
	// reports bounds the crashes that are reported because the list has lost targets. The loss of a failure domain leaves all
	// requests unanswered that it had in flight.
	reports *rate.Limiter
}

func newSuspects() *suspects {
	return &suspects{
		list: quarantine.NewListWithThreshold(crashLimit), liveIncarnations: map[string]uint64{},
		probes: map[query.TargetID]*crashProbe{}, running: map[*run]struct{}{},
		unanswered: quarantine.NewUnanswered[targetStart](), reports: rate.NewLimiter(fleetReportRate, fleetReportBurst),
	}
}

// begin registers a request that runs from now on. end must be called once it has ended.
func (s *suspects) begin(q *run) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[q] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, q)
	}
}

// stopQuarantined tells the running submissions of a request to end if the request is quarantined. Their targets are likely
// to crash as well, unless they stop. It must be called with mu held.
func (s *suspects) stopQuarantined(now time.Time, f quarantine.Fingerprint) {
	if !s.list.Refuses(now, f) {
		return
	}
	for q := range s.running {
		if !q.isTrial && q.fingerprint() == f {
			q.stop()
		}
	}
}

// fingerprint identifies the submissions of one request. Nothing of the caller is part of it: the same request comes over
// many connections and from many addresses.
func fingerprint(r *Request) quarantine.Fingerprint {
	return quarantine.Hash(r.Method, routing.CanonicalHost(r.Host), quarantine.CanonicalTarget(r.Target), string(r.Body))
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

// trialIsDue reports whether a quarantined request may run once.
func (s *suspects) trialIsDue(fingerprint func() quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.list.Empty() && s.list.TrialIsDue(time.Now(), fingerprint())
}

// takeTrial reports whether the trial of a request has still to be made, and counts it if so.
func (s *suspects) takeTrial(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.list.TrialIsDue(now, f) {
		return false
	}
	s.list.BeginTrial(now, f)
	return true
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
	if len(added) > 0 {
		s.stopQuarantined(now, f)
	}
	return added, s.list.CrashCount(f)
}

// recordCompleteAnswer records that targets have answered a request at the given time. It reports whether that ends a
// suspicion.
func (s *suspects) recordCompleteAnswer(at time.Time, f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.RecordCompleteAnswer(at, f)
}

// answeredSince returns the time of the last complete answer to a request if one of the crashes was before it, else the zero
// time.
func (s *suspects) answeredSince(f quarantine.Fingerprint, crashes []quarantine.Crash) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.list.LastAnswered(f)
	if at.IsZero() || !slices.ContainsFunc(crashes, func(c quarantine.Crash) bool { return c.IsBefore(at) }) {
		return time.Time{}
	}
	return at
}

// answeredRecently reports whether targets have answered an earlier submission of a request.
func (s *suspects) answeredRecently(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.AnsweredRecently(time.Now(), f)
}

func fingerprintAttr(f quarantine.Fingerprint) slog.Attr {
	return slog.String("fingerprint", strconv.FormatUint(uint64(f), 16))
}

// incarnationID returns an id for one incarnation of a target. A target may crash again after it has restarted under
// the same id.
func incarnationID(id query.TargetID, incarnation int64) query.TargetID {
	return id + query.TargetID("@"+strconv.FormatInt(incarnation, 36))
}
