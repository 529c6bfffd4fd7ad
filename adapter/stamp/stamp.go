// Package stamp propagates hybrid logical clock stamps in a header of the HTTP messages between processes, so
// that the stamps of events in several processes follow the order of cause and effect.
package stamp

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"hyssopcroft.example/kernel/hlc"
)

// Header is the header field with the stamp of the sender: the physical part in nanoseconds since the Unix
// epoch, a dot and the logical part. The name is in canonical form, which allows direct access to http.Header.
const Header = "Hyssopcroft-Hlc"

// Propagator stamps the messages that one process sends and observes the stamps of those that it receives. A
// message carries the stamp of the last event that the process has recorded or observed, so that the effects
// of the message get later stamps. That stamp changes only with an event, and HTTP/2 header compression
// shortens a repeated value: a new value in every message lowers the ratio that path-cost reports at
// 110 shards from 0.9 to 0.75. A Propagator is safe for concurrent use. A nil Propagator does nothing.
type Propagator struct {
	clock    *hlc.Clock
	lastSent atomic.Pointer[encodedStamp]
	lastSeen atomic.Pointer[string]
}

// encodedStamp is a stamp with its header values, which are shared between messages and must not be modified.
type encodedStamp struct {
	at     hlc.Timestamp
	values []string
}

// New returns a propagator for the process with the given clock.
func New(clock *hlc.Clock) *Propagator { return &Propagator{clock: clock} }

// Set adds the current stamp to a header. It adds nothing before the first event of the process.
func (p *Propagator) Set(h http.Header) {
	if p == nil {
		return
	}
	last := p.clock.Last()
	if last == (hlc.Timestamp{}) {
		return
	}
	e := p.lastSent.Load()
	if e == nil || e.at != last {
		e = &encodedStamp{at: last, values: []string{format(last)}}
		p.lastSent.Store(e)
	}
	h[Header] = e.values
}

// Observe advances the clock to the stamp in a header. It ignores a header without a valid stamp.
func (p *Propagator) Observe(h http.Header) {
	values := h[Header]
	if p == nil || len(values) == 0 {
		return
	}
	text := values[0]
	if lastSeen := p.lastSeen.Load(); lastSeen != nil && *lastSeen == text {
		return
	}
	if at, ok := parse(text); ok {
		p.clock.Merge(at)
		p.lastSeen.Store(&text)
	}
}

func format(t hlc.Timestamp) string {
	text := strconv.AppendInt(make([]byte, 0, 32), t.Wall, 10)
	text = append(text, '.')
	return string(strconv.AppendUint(text, uint64(t.Logical), 10))
}

func parse(text string) (hlc.Timestamp, bool) {
	wall, logical, found := strings.Cut(text, ".")
	w, err := strconv.ParseInt(wall, 10, 64)
	if !found || err != nil || w < 0 {
		return hlc.Timestamp{}, false
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	return hlc.Timestamp{Wall: w, Logical: uint32(l)}, err == nil
}

// Transport returns a transport that stamps requests and observes the stamps of responses.
func (p *Propagator) Transport(next http.RoundTripper) http.RoundTripper {
	return transport{next: next, propagator: p}
}

type transport struct {
	next       http.RoundTripper
	propagator *Propagator
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context()) // A RoundTripper must not change the request of its caller.
	t.propagator.Set(req.Header)
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		t.propagator.Observe(resp.Header)
	}
	return resp, err
}

// Handler returns a handler that observes the stamps of requests and stamps responses. A response gets its
// stamp when its header is written, so that the stamp covers the events recorded until then.
func (p *Propagator) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Observe(r.Header)
		next.ServeHTTP(&stampingWriter{ResponseWriter: w, propagator: p}, r)
	})
}

type stampingWriter struct {
	http.ResponseWriter
	propagator *Propagator
	stamped    bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *stampingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *stampingWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *stampingWriter) Write(p []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(p)
}

func (w *stampingWriter) stamp() {
	if !w.stamped {
		w.stamped = true
		w.propagator.Set(w.Header())
	}
}
