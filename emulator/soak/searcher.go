package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// answerMode is how a searcher answers.
type answerMode int

const (
	answerNormal answerMode = iota
	answerSlow
	answerShed
	// answerReset runs a third of its requests and resets the connection instead of answering.
	answerReset
	// answerDuplicate sends a second answer behind a tenth of its answers.
	answerDuplicate
	answerModeCount
)

const (
	meanServiceTime     = 4 * time.Millisecond
	slowMeanServiceTime = 60 * time.Millisecond
	// drainTimeout is the time after which a draining searcher must get no request.
	drainTimeout = 3 * time.Second
	// recordsPerPart is the number of records in a part.
	recordsPerPart = 4
)

// searcher is a stand-in for one target.
type searcher struct {
	id, service string
	recorder    *recorder
	proxy       *proxy

	mu            sync.Mutex // guards the fields below
	mode          answerMode
	drainingSince time.Time // when it reported that it leaves, the zero time if it has not
	// lateAllowed reports whether instances may not know yet that it leaves.
	lateAllowed func() bool
}

// stamp signs the answer to a request.
func stamp(id, requestID string) string { return id + "." + requestID }

// records returns the records of a part, which follow from its stamp.
func records(stamp string) []string {
	out := make([]string, 0, recordsPerPart)
	for n := range recordsPerPart {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, stamp, n) // A hash takes every write.
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

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("Request-Id")
	s.mu.Lock()
	mode, drainingSince, lateAllowed := s.mode, s.drainingSince, s.lateAllowed
	s.mu.Unlock()
	switch {
	case r.Header.Get("Expect-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case mode == answerShed && rand.IntN(2) == 0:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", requestID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !drainingSince.IsZero() && time.Since(drainingSince) > drainTimeout && !lateAllowed():
		s.recorder.addViolation("drain: %s got request %s %v after it reported that it leaves", s.id, requestID, time.Since(drainingSince))
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
	_, _ = w.Write([]byte(body)) // A caller that has gone needs no answer.
}

// hijack writes raw bytes and keeps the connection open; it resets it if there are none.
func (s *searcher) hijack(w http.ResponseWriter, raw string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		s.recorder.addViolation("stand-in: %v", err)
		return
	}
	if raw == "" {
		resetOnClose(c)
		_ = c.Close() // It is reset.
		return
	}
	_, _ = c.Write([]byte(raw)) // A caller that has gone needs no answer.
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// recorder holds what was run and what went wrong. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex // guards the fields below
	runs        map[string]int
	lastService map[string]string // that ran a request last, by request
	refused     []string          // requests that were answered with "not run"
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

// finalCheck checks what can be told at the end only.
func (r *recorder) finalCheck() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.refused {
		if r.runs[id] > 0 {
			r.addViolationLocked("refused: request %s was answered \"not run\" and ran %d times", id, r.runs[id])
		}
	}
	return r.violations
}
