package stamp_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/stamp"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// newRing returns the timeline of a process whose clock has a fixed offset.
func newRing(name string, offset time.Duration) *timeline.Ring {
	return timeline.NewRing(name, 16, hlc.New(func() time.Time { return time.Now().Add(offset) }))
}

// handlerTransport calls a handler directly, without a network.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// Guards against effects that precede their causes in the timeline of three processes whose clocks differ by
// minutes in either direction.
func TestCausePrecedesEffectAcrossSkewedClocks(t *testing.T) {
	for _, offsets := range [][3]time.Duration{
		{0, -5 * time.Minute, -10 * time.Minute}, {0, 5 * time.Minute, 10 * time.Minute}, {3 * time.Minute, 0, 6 * time.Minute},
	} {
		entry, relay, searcher := newRing("entry", offsets[0]), newRing("relay", offsets[1]), newRing("searcher", offsets[2])
		propagators := []*stamp.Propagator{
			stamp.New(entry.Clock()), stamp.New(relay.Clock()), stamp.New(searcher.Clock()),
		}
		last := propagators[2].Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			searcher.Add("ran", "", "")
			w.WriteHeader(http.StatusOK)
		}))
		middle := propagators[1].Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			relay.Add("took", "", "")
			get(t, propagators[1].Transport(handlerTransport{last}))
			relay.Add("answered", "", "")
			_, _ = w.Write([]byte("done"))
		}))
		entry.Add("sent", "", "")
		get(t, propagators[0].Transport(handlerTransport{middle}))
		entry.Add("got", "", "")

		e, r, s := entry.Events(), relay.Events(), searcher.Events()
		chain := []timeline.Event{e[0], r[0], s[0], r[1], e[1]}
		for i := range chain[1:] {
			require.Negative(t, chain[i].At.Compare(chain[i+1].At), "%s before %s, clocks %v", chain[i].Kind, chain[i+1].Kind, offsets)
		}
	}
}

func get(t *testing.T, transport http.RoundTripper) {
	req, err := http.NewRequest(http.MethodGet, "http://peer/", nil)
	require.NoError(t, err)
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Empty(t, req.Header, "the transport must not modify the request of its caller")
}

// Guards against malformed stamps that advance the clock.
func TestInvalidStampsAreIgnored(t *testing.T) {
	require.Equal(t, http.CanonicalHeaderKey(stamp.Header), stamp.Header)
	clock := hlc.New(func() time.Time { return time.Unix(0, 1000) })
	propagator := stamp.New(clock)
	for _, text := range []string{"", "x", "99999999", "99999999.", "99999999.x", "-5.1", "99999999.99999999999"} {
		propagator.Observe(http.Header{stamp.Header: {text}})
		require.EqualValues(t, 1000, clock.Now().Wall, text)
	}
	propagator.Observe(http.Header{stamp.Header: {"2000.3"}})
	require.Equal(t, hlc.Timestamp{Wall: 2000, Logical: 4}, clock.Now())
}
