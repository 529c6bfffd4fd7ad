// Package stamp carries hybrid logical clock stamps in a header of the HTTP messages between
// processes, so that events of several processes are in the order of cause and effect.
package stamp

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"hyssopcroft.example/kernel/hlc"
)

// Header holds the stamp of the sender: the physical part in nanoseconds since the Unix epoch, a dot
// and the logical part. It is in canonical form.
const Header = "Hyssopcroft-Hlc"

// Propagator stamps and observes the messages of one process. A message carries the stamp of the latest
// event that the process has recorded or heard of, so that its effects are stamped later. That stamp
// changes only with an event, and HTTP/2 shortens a header that repeats itself. A new value in every
// message lowered the ratio that path-cost reports at 110 shards from 0.9 to 0.75. A Carrier is safe for
// concurrent use. A nil one does nothing.
type Propagator struct {
	clock    *hlc.Clock
	lastSent atomic.Pointer[encodedStamp]
	lastSeen atomic.Pointer[string]
}

// encodedStamp is a stamp with the values of its header, which are shared and not to be changed.
type encodedStamp struct {
	at     hlc.Timestamp
	values []string
}

// New returns a carrier for the process with the given clock.
func New(clock *hlc.Clock) *Propagator { return &Propagator{clock: clock} }

// Set puts the stamp into a header. A process that has no event yet sends none.
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

// Observe moves the clock to the stamp in a header. A header without a valid stamp does nothing.
func (p *Propagator) Observe(h http.Header) {
	values := h[Header]
	if p == nil || len(values) == 0 {
		return
	}
	text := values[0]
	if seen := p.lastSeen.Load(); seen != nil && *seen == text {
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

// Handler returns a handler that observes the stamps of requests and stamps responses when their
// header is written, which is after what the handler did before.
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

// Unwrap serves http.ResponseController.
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
