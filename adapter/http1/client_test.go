package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/http1"
)

const okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"

// testTarget answers the requests of each connection with the given texts, one for each request, and then
// ends the connection. An empty text ends it without an answer.
type testTarget struct {
	net.Listener
	connections atomic.Int64
	requests    chan string
}

func serve(t *testing.T, responses ...string) *testTarget {
	t.Helper()
	return listen(t, func(s *testTarget, c net.Conn) { s.respond(c, responses) })
}

// listen hands each connection to the function, which runs beside others.
func listen(t *testing.T, handle func(s *testTarget, c net.Conn)) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testTarget{Listener: l, requests: make(chan string, 100)}
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go handle(s, c)
		}
	}()
	return s
}

func (s *testTarget) respond(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }() // The test looks at the far end only.
	r := bufio.NewReader(c)
	for _, text := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.requests <- req.Method + " " + req.RequestURI + " " + string(body)
		if _, err := io.WriteString(c, text); err != nil || text == "" {
			return
		}
	}
	_, _ = r.ReadByte() // Waits until the far end closes the connection.
}

// Guards against connections that are kept although no request needs them, which a target counts for its
// whole idle time once the instance has lost power; and against closing those that are used or to be kept.
func TestCloseUnused(t *testing.T) {
	unused, kept := serve(t, okResponse), serve(t, okResponse)
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{unused.Addr().String(): 1, kept.Addr().String(): 1})
	for _, s := range []*testTarget{unused, kept} {
		_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
		require.NoError(t, err)
	}
	c.CloseUnused(time.Hour, nil)
	require.False(t, c.Cold(unused.Addr().String()), "it was used just now")
	c.CloseUnused(0, map[string]bool{kept.Addr().String(): true})
	require.True(t, c.Cold(unused.Addr().String()))
	require.False(t, c.Cold(kept.Addr().String()))
}

func newClient(s *testTarget, limit int) *http1.Client {
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{s.Addr().String(): limit})
	return c
}

func newRequest(id string) *http1.Request {
	return &http1.Request{
		Method: "GET", Target: "/a//b/%2f?x=1", Host: "h", Header: http.Header{},
		Matches: func(r *http1.Response) bool { return r.Header.Get("Request-Id") == id },
	}
}

// Guards against an answer that is taken although it is cut, and against a connection that carries
// another request after bytes that belong to none.
func TestResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		ok     bool
		stage  http1.Stage
		reused bool
	}{
		"whole":                   {okResponse, true, 0, true},
		"chunked":                 {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, 0, true},
		"interim answer first":    {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, true, 0, true},
		"asks to close":           {strings.Replace(okResponse, "Content", "Connection: close\r\nContent", 1), true, 0, false},
		"another request's":       {strings.Replace(okResponse, "Id: a", "Id: b", 1), true, 0, false},
		"second answer behind it": {okResponse + okResponse, true, 0, false},
		"bytes behind it":         {okResponse + "xyz", true, 0, false},
		"body cut":                {strings.Replace(okResponse, ": 2", ": 9", 1), false, http1.Refused, false},
		"header cut":              {"HTTP/1.1 200 OK\r\nContent-", false, http1.Sent, false},
		"no answer":               {"", false, http1.Refused, false},
		"not HTTP":                {"garbage garbage\r\n\r\n", false, http1.Sent, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, tc.answer, okResponse)
			if !tc.ok {
				s = serveAndClose(t, tc.answer)
			}
			client := newClient(s, 2)
			resp, err := client.Do(t.Context(), s.Addr().String(), newRequest("a"))
			if !tc.ok {
				var failed *http1.Error
				require.True(t, errors.As(err, &failed), "%v", err)
				require.Equal(t, tc.stage, failed.Stage)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "ok", string(resp.Body))
			_, err = client.Do(t.Context(), s.Addr().String(), newRequest("a"))
			if tc.reused {
				require.NoError(t, err)
			}
			want := int64(2)
			if tc.reused {
				want = 1
			}
			require.Equal(t, want, s.connections.Load())
		})
	}
}

// serveAndClose answers the first request of each connection with the text and closes it.
func serveAndClose(t *testing.T, text string) *testTarget {
	t.Helper()
	return listen(t, func(_ *testTarget, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text) // The test looks at the far end only.
		}
		_ = c.Close()
	})
}

// Guards against a request that is sent a second time by the transport when its connection ends, which
// would run one that may not be repeated twice.
func TestRequestIsSentOnce(t *testing.T) {
	s := serve(t, okResponse, "")
	client := newClient(s, 2)
	_, err := client.Do(t.Context(), s.Addr().String(), newRequest("a"))
	require.NoError(t, err)
	_, err = client.Do(t.Context(), s.Addr().String(), newRequest("a"))
	var failed *http1.Error
	require.True(t, errors.As(err, &failed))
	require.Equal(t, http1.Closed, failed.Stage)
	require.Len(t, s.requests, 2)
	require.Equal(t, int64(1), s.connections.Load())
}

// Guards against a changed request line or body.
func TestRequestIsUnchanged(t *testing.T) {
	s := serve(t, okResponse)
	r := newRequest("a")
	r.Method, r.Body = "POST", []byte("body")
	_, err := newClient(s, 1).Do(t.Context(), s.Addr().String(), r)
	require.NoError(t, err)
	require.Equal(t, "POST /a//b/%2f?x=1 body", <-s.requests)
}

// Guards against "may have run" where nothing was sent.
func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{address: 1})
	_, err = c.Do(t.Context(), address, newRequest("a"))
	var failed *http1.Error
	require.True(t, errors.As(err, &failed))
	require.Equal(t, http1.NotSent, failed.Stage)
}

// Guards against requests that "may have run" at a target that has as many connections as it accepts: one that
// refused a connection is sent nothing on the next one until it is seen to stay open.
func TestRefusingTargetIsWatched(t *testing.T) {
	var accepts atomic.Bool
	s := listen(t, func(s *testTarget, c net.Conn) {
		if !accepts.Load() {
			_ = c.Close() // The test looks at the far end only.
			return
		}
		s.respond(c, []string{okResponse})
	})
	c := newClient(s, 1)
	stage := func() http1.Stage {
		_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
		var failed *http1.Error
		require.True(t, errors.As(err, &failed))
		return failed.Stage
	}
	require.Equal(t, http1.Refused, stage())
	require.Equal(t, http1.NotSent, stage())
	require.Equal(t, http1.NotSent, stage())
	accepts.Store(true)
	_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
	require.NoError(t, err)
	require.Len(t, s.requests, 1)
}

// Guards against a watch that outlives its request.
func TestWatchEndsOnCancellation(t *testing.T) {
	refuse := make(chan struct{}, 1)
	refuse <- struct{}{}
	s := listen(t, func(_ *testTarget, c net.Conn) {
		select {
		case <-refuse:
			_ = c.Close() // The test looks at the far end only.
		default:
		}
	})
	c := newClient(s, 1)
	_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
	require.Error(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Do(ctx, s.Addr().String(), newRequest("a"))
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, s.requests)
}

// Guards against a target that counts as gone although it accepts connections, or as there although it
// does not; and against connections beyond the limit that a look at it opens.
func TestReach(t *testing.T) {
	s := serve(t, okResponse)
	address := s.Addr().String()
	c := newClient(s, 1)
	for range 3 {
		require.NoError(t, c.Reach(t.Context(), address))
	}
	require.False(t, c.Cold(address), "the connection is kept")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	c.SetLimits(map[string]int{address: 1, closed: 1})
	require.Error(t, c.Reach(t.Context(), closed))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.NoError(t, c.Reach(ctx, "127.0.0.1:1"), "it has no limit, so that nothing is known of it")
	require.True(t, c.Cold(closed))
	require.LessOrEqual(t, s.connections.Load(), int64(1))
}

// Guards against more connections to a target than its limit, against a request that waits for good, and
// against a cancelled one that keeps its connection.
func TestLimitAndCancellation(t *testing.T) {
	unblock, blocked := make(chan struct{}), make(chan struct{})
	var open, maxOpen atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			close(blocked)
			<-unblock
		}
	}), ConnState: func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }() // Ends with an error on Close.
	defer func() { close(unblock); require.NoError(t, server.Close()) }()
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{l.Addr().String(): 1})
	ctx, cancel := context.WithCancel(t.Context())
	blockedErr := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, l.Addr().String(), &http1.Request{Method: "GET", Target: "/hold", Host: "h", Header: http.Header{}})
		blockedErr <- err
	}()
	<-blocked
	nextErr := make(chan error, 1)
	go func() {
		_, err := c.Do(t.Context(), l.Addr().String(), &http1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		nextErr <- err
	}()
	cancel()
	var failed *http1.Error
	require.True(t, errors.As(<-blockedErr, &failed))
	require.Equal(t, http1.Sent, failed.Stage, "the target may have run it")
	require.NoError(t, <-nextErr)
	require.LessOrEqual(t, maxOpen.Load(), int64(2), "the cancelled one may still be closing at the far end")
}
