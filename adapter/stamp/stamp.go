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
	clock *hlc.Clock
	sent  atomic.Pointer[encoded]
	seen  atomic.Pointer[string]
}

// encoded is a stamp with the values of its header, which are shared and not to be changed.
type encoded struct {
	at     hlc.Timestamp
	values []string
}

// New returns a carrier for the process with the given clock.
func New(clock *hlc.Clock) *Propagator { return &Propagator{clock: clock} }

// Set puts the stamp into a header. A process that has no event yet sends none.
func (c *Propagator) Set(h http.Header) {
	if c == nil {
		return
	}
	last := c.clock.Last()
	if last == (hlc.Timestamp{}) {
		return
	}
	e := c.sent.Load()
	if e == nil || e.at != last {
		e = &encoded{at: last, values: []string{format(last)}}
		c.sent.Store(e)
	}
	h[Header] = e.values
}

// Observe moves the clock to the stamp in a header. A header without a valid stamp does nothing.
func (c *Propagator) Observe(h http.Header) {
	values := h[Header]
	if c == nil || len(values) == 0 {
		return
	}
	text := values[0]
	if seen := c.seen.Load(); seen != nil && *seen == text {
		return
	}
	if at, ok := parse(text); ok {
		c.clock.Merge(at)
		c.seen.Store(&text)
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
func (c *Propagator) Transport(next http.RoundTripper) http.RoundTripper {
	return transport{next: next, carrier: c}
}

type transport struct {
	next    http.RoundTripper
	carrier *Propagator
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context()) // A RoundTripper must not change the request of its caller.
	t.carrier.Set(req.Header)
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		t.carrier.Observe(resp.Header)
	}
	return resp, err
}

// Handler returns a handler that observes the stamps of requests and stamps responses when their
// header is written, which is after what the handler did before.
func (c *Propagator) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Observe(r.Header)
		next.ServeHTTP(&writer{ResponseWriter: w, carrier: c}, r)
	})
}

type writer struct {
	http.ResponseWriter
	carrier *Propagator
	stamped bool
}

// Unwrap serves http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(p)
}

func (w *writer) stamp() {
	if !w.stamped {
		w.stamped = true
		w.carrier.Set(w.Header())
	}
}
