package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answerMode determines how a searcher answers requests.
type answerMode int

const (
	answerNormal answerMode = iota
	answerSlow
	// answerShed refuses half of the requests without executing them.
	answerShed
	// answerReset resets the connection instead of answering a third of the requests, after executing them.
	answerReset
	// answerDuplicate sends a tenth of the answers twice on the same connection.
	answerDuplicate
	answerModeCount
)

const (
	meanServiceTime     = 4 * time.Millisecond
	slowMeanServiceTime = 60 * time.Millisecond
	// drainTimeout is the time after which a draining searcher must no longer receive requests.
	drainTimeout   = 3 * time.Second
	recordsPerPart = 4
)

// searcher is a stand-in for a target.
type searcher struct {
	id, service string
	recorder    *recorder
	proxy       *proxy

	mu            sync.Mutex // guards the fields below
	mode          answerMode
	drainingSince time.Time // the zero time if it is not draining
	// lateAllowed reports whether instances may not have received its draining state yet because of other faults.
	lateAllowed func() bool
	rateLimit   float64     // stated in answers, in requests a second of all instances; 0 if none is stated
	arrivals    []time.Time // of requests, if a limit is stated
}

// stamp returns the stamp that identifies the searcher and the request of an answer.
func stamp(id, requestID string) string { return id + "." + requestID }

// records returns the records of a part, which are derived from its stamp.
func records(stamp string) []string {
	out := make([]string, 0, recordsPerPart)
	for n := range recordsPerPart {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, stamp, n) // Writing to a hash never fails.
		out = append(out, fmt.Sprintf("%016x", h.Sum64()))
	}
	return out
}

func (s *searcher) setMode(mode answerMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *searcher) drain(lateAllowed func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince, s.lateAllowed = time.Now(), lateAllowed
}

const (
	// A searcher that states a limit gets at most rateTolerance times the limit and rateSlack requests in a rateWindow.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// checkRate adds a violation if the searcher got more requests than its limit allows in any window since the given time.
func (s *searcher) checkRate(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := int(rateTolerance*s.rateLimit*rateWindow.Seconds() + rateSlack)
	for i, at := range s.arrivals {
		if i >= allowed && !s.arrivals[i-allowed].Before(since) && at.Sub(s.arrivals[i-allowed]) < rateWindow {
			s.recorder.addViolation("rate: %s, which states a limit of %v a second, got more than %d requests in %v", s.id, s.rateLimit, allowed, rateWindow)
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("Request-Id")
	s.mu.Lock()
	mode, drainingSince, lateAllowed := s.mode, s.drainingSince, s.lateAllowed
	if s.rateLimit > 0 {
		s.arrivals = append(s.arrivals, time.Now())
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.rateLimit, 'f', -1, 64))
	}
	s.mu.Unlock()
	if !drainingSince.IsZero() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.Header.Get("Expect-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case mode == answerShed && rand.IntN(2) == 0:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "0.2")
		w.Header().Set("Request-Id", requestID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !drainingSince.IsZero() && time.Since(drainingSince) > drainTimeout && !lateAllowed():
		s.recorder.addViolation("drain: %s got request %s %v after it reported draining", s.id, requestID, time.Since(drainingSince))
	}
	s.recorder.recordRun(requestID, s.service, r.URL.Path)
	mean := meanServiceTime
	if mode == answerSlow {
		mean = slowMeanServiceTime
	}
	time.Sleep(time.Duration(float64(mean) * (0.5 + rand.Float64())))
	if mode == answerReset && rand.IntN(3) == 0 {
		s.hijack(w, "")
		return
	}
	answerStamp := stamp(s.id, requestID)
	body := ""
	for _, rec := range records(answerStamp) {
		body += rec
	}
	if mode == answerDuplicate && rand.IntN(10) == 0 {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", requestID, answerStamp, len(body), body)
		s.hijack(w, response+response)
		return
	}
	w.Header().Set("Request-Id", requestID)
	w.Header().Set("Server-Stamp", answerStamp)
	_, _ = w.Write([]byte(body)) // The client may have disconnected.
}

// hijack writes raw bytes to the connection and closes it a second later. Without bytes, it resets the connection.
func (s *searcher) hijack(w http.ResponseWriter, raw string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		s.recorder.addViolation("stand-in: %v", err)
		return
	}
	if raw == "" {
		resetOnClose(c)
		_ = c.Close() // Best effort: it is being reset.
		return
	}
	_, _ = c.Write([]byte(raw)) // The client may have disconnected.
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// recorder records which requests ran, which were refused, and the violations. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex        // guards the fields below
	runs        map[string]int    // number of runs by request
	lastService map[string]string // service that ran a request last, by request
	refused     []string          // requests for which a caller received a refusal
	violations  []string
}

func newRecorder() *recorder {
	return &recorder{runs: map[string]int{}, lastService: map[string]string{}}
}

func (r *recorder) recordRun(request, service, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
	r.lastService[request] = service
	if path == pathOnce && r.runs[request] > 1 {
		r.addViolationLocked("twice: request %s ran %d times", request, r.runs[request])
	}
}

func (r *recorder) recordRefused(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, request)
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, args...)
}

func (r *recorder) addViolationLocked(format string, args ...any) {
	const maxViolations = 50
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// finalCheck adds the violations that are only known at the end, which are refused requests that ran, and returns all
// violations.
func (r *recorder) finalCheck() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.refused {
		if r.runs[id] > 0 {
			r.addViolationLocked("refused: request %s was answered \"not run\" but ran %d times", id, r.runs[id])
		}
	}
	return r.violations
}
