package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// behaviour is how a searcher answers.
type behaviour int

const (
	well behaviour = iota
	slow
	shed
	// losing runs a third of its requests and resets the connection instead of answering.
	losing
	// extra sends a second answer behind a tenth of its answers.
	extra
	behaviours
)

const (
	serviceTime = 4 * time.Millisecond
	slowTime    = 60 * time.Millisecond
	// drainTime is the time after which a draining searcher must get no request.
	drainTime = 3 * time.Second
	// recordsOfPart is the number of records in a part.
	recordsOfPart = 4
)

// searcher is a stand-in for one target.
type searcher struct {
	id, service string
	ledger      *ledger
	proxy       *proxy

	mu      sync.Mutex // guards the fields below
	behave  behaviour
	drained time.Time // when it reported that it leaves, the zero time if it has not
	// excused reports whether instances may not know yet that it leaves.
	excused func() bool
}

// stamp signs the answer to a request.
func stamp(id, request string) string { return id + "." + request }

// records returns the records of a part, which follow from its stamp.
func records(stamp string) []string {
	out := make([]string, 0, recordsOfPart)
	for n := range recordsOfPart {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, stamp, n) // A hash takes every write.
		out = append(out, fmt.Sprintf("%016x", h.Sum64()))
	}
	return out
}

func (s *searcher) set(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave = b
}

func (s *searcher) drain(excused func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained, s.excused = time.Now(), excused
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	s.mu.Lock()
	behave, drained, excused := s.behave, s.drained, s.excused
	s.mu.Unlock()
	switch {
	case r.Header.Get("Expect-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case behave == shed && rand.IntN(2) == 0:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", request)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !drained.IsZero() && time.Since(drained) > drainTime && !excused():
		s.ledger.fail("drain: %s got request %s %v after it reported that it leaves", s.id, request, time.Since(drained))
	}
	s.ledger.run(request, s.service, r.URL.Path)
	wait := serviceTime
	if behave == slow {
		wait = slowTime
	}
	time.Sleep(time.Duration(float64(wait) * (0.5 + rand.Float64())))
	if behave == losing && rand.IntN(3) == 0 {
		s.hijack(w, "")
		return
	}
	sign := stamp(s.id, request)
	body := ""
	for _, rec := range records(sign) {
		body += rec
	}
	if behave == extra && rand.IntN(10) == 0 {
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", request, sign, len(body), body)
		s.hijack(w, one+one)
		return
	}
	w.Header().Set("Request-Id", request)
	w.Header().Set("Server-Stamp", sign)
	_, _ = w.Write([]byte(body)) // A caller that has gone needs no answer.
}

// hijack writes raw bytes and keeps the connection open; it resets it if there are none.
func (s *searcher) hijack(w http.ResponseWriter, raw string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		s.ledger.fail("stand-in: %v", err)
		return
	}
	if raw == "" {
		reset(c)
		_ = c.Close() // It is reset.
		return
	}
	_, _ = c.Write([]byte(raw)) // A caller that has gone needs no answer.
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// ledger holds what was run and what went wrong. It is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex // guards the fields below
	runs       map[string]int
	services   map[string]string // that ran a request last, by request
	notRun     []string          // requests that were answered with "not run"
	violations []string
}

func newLedger() *ledger { return &ledger{runs: map[string]int{}, services: map[string]string{}} }

func (l *ledger) run(request, service, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request]++
	l.services[request] = service
	if path == pathOnce && l.runs[request] > 1 {
		l.failLocked("twice: request %s ran %d times", request, l.runs[request])
	}
}

func (l *ledger) refused(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun = append(l.notRun, request)
}

func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLocked(format, args...)
}

func (l *ledger) failLocked(format string, args ...any) {
	const most = 50
	if len(l.violations) < most {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// close checks what can be told at the end only.
func (l *ledger) close() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.notRun {
		if l.runs[id] > 0 {
			l.failLocked("refused: request %s was answered \"not run\" and ran %d times", id, l.runs[id])
		}
	}
	return l.violations
}
