// Package stamp carries hybrid logical clock stamps in a header of the HTTP messages between
// processes, so that events of several processes are in the order of cause and effect.
package stamp

import (
	"net/http"
	"strconv"
	"strings"

	"hyssopcroft.example/kernel/hlc"
)

// Header holds the stamp of the sender: the physical part in nanoseconds since the Unix epoch, a dot
// and the logical part. It is in canonical form.
const Header = "Hyssopcroft-Hlc"

// Set puts the present stamp of the clock into a header. A nil clock sets nothing.
func Set(h http.Header, clock *hlc.Clock) {
	if clock == nil {
		return
	}
	now := clock.Now()
	text := strconv.AppendInt(make([]byte, 0, 32), now.Wall, 10)
	text = append(text, '.')
	text = strconv.AppendUint(text, uint64(now.Logical), 10)
	h[Header] = []string{string(text)}
}

// Observe moves the clock past the stamp in a header. A header without a valid stamp, and a nil clock,
// do nothing.
func Observe(h http.Header, clock *hlc.Clock) {
	if clock == nil {
		return
	}
	if at, ok := parse(h.Get(Header)); ok {
		clock.Observe(at)
	}
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
func Transport(next http.RoundTripper, clock *hlc.Clock) http.RoundTripper {
	return transport{next: next, clock: clock}
}

type transport struct {
	next  http.RoundTripper
	clock *hlc.Clock
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context()) // A RoundTripper must not change the request of its caller.
	Set(req.Header, t.clock)
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		Observe(resp.Header, t.clock)
	}
	return resp, err
}

// Handler returns a handler that observes the stamps of requests and stamps responses when their
// header is written, which is after what the handler did before.
func Handler(next http.Handler, clock *hlc.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Observe(r.Header, clock)
		next.ServeHTTP(&writer{ResponseWriter: w, clock: clock}, r)
	})
}

type writer struct {
	http.ResponseWriter
	clock   *hlc.Clock
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
		Set(w.Header(), w.clock)
	}
}
