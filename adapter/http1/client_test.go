package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/http1"
)

const okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"

// testTarget is a server whose connections are served by a function of the test. It counts the connections
// and records the requests.
type testTarget struct {
	net.Listener
	connections atomic.Int64
	requests    chan string
}

// serve starts a target that sends the given raw responses on each connection, one per request, and then waits
// for the client to close it. After an empty response it closes the connection itself.
func serve(t *testing.T, responses ...string) *testTarget {
	t.Helper()
	return listen(t, func(s *testTarget, c net.Conn) { s.respond(c, responses) })
}

// listen starts a target that runs handle for each connection in a goroutine of its own.
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
	defer func() { _ = c.Close() }() // The test checks only the client's end.
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
	_, _ = r.ReadByte() // Waits until the client closes the connection.
}

// Guards against connections that stay open although no request needs them: if the instance loses power, the
// target counts them until its idle timeout. Also guards against closing connections that are used or in keep.
func TestCloseUnused(t *testing.T) {
	unused, kept := serve(t, okResponse), serve(t, okResponse)
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{unused.Addr().String(): 1, kept.Addr().String(): 1})
	for _, s := range []*testTarget{unused, kept} {
		_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
		require.NoError(t, err)
	}
	c.CloseUnused(time.Hour, nil)
	require.False(t, c.NeedsConnection(unused.Addr().String()), "the connection was used just now")
	c.CloseUnused(0, map[string]bool{kept.Addr().String(): true})
	require.True(t, c.NeedsConnection(unused.Addr().String()))
	require.False(t, c.NeedsConnection(kept.Addr().String()))
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

// Guards against accepting a truncated response, and against reusing a connection that has received data
// belonging to no request.
func TestResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		ok       bool
		stage    http1.Stage
		reused   bool
	}{
		"whole":                   {okResponse, true, 0, true},
		"chunked":                 {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, 0, true},
		"interim response first":  {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, true, 0, true},
		"close requested":         {strings.Replace(okResponse, "Content", "Connection: close\r\nContent", 1), true, 0, false},
		"ID of another request":   {strings.Replace(okResponse, "Id: a", "Id: b", 1), true, 0, false},
		"second response follows": {okResponse + okResponse, true, 0, false},
		"extra bytes follow":      {okResponse + "xyz", true, 0, false},
		"truncated body":          {strings.Replace(okResponse, ": 2", ": 9", 1), false, http1.Sent, false},
		"truncated header":        {"HTTP/1.1 200 OK\r\nContent-", false, http1.Sent, false},
		"no response":             {"", false, http1.Refused, false},
		"not HTTP":                {"garbage garbage\r\n\r\n", false, http1.Sent, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, tc.response, okResponse)
			if !tc.ok {
				s = serveAndClose(t, tc.response)
			}
			client := newClient(s, 2)
			resp, err := client.Do(t.Context(), s.Addr().String(), newRequest("a"))
			if !tc.ok {
				var failure *http1.Error
				require.True(t, errors.As(err, &failure), "%v", err)
				require.Equal(t, tc.stage, failure.Stage)
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

// Guards against a target that closes a connection in the middle of its response, unnoticed, on a connection without an
// earlier response; and against a target that is said to have closed a connection on which it sent no response at all, or
// that this end closed.
func TestCloseInTheMiddleOfResponseIsReported(t *testing.T) {
	for name, response := range map[string]string{
		"body": strings.Replace(okResponse, ": 2", ": 9", 1), "header": "HTTP/1.1 200 OK\r\nContent-", "status line": "HTTP/1.1 2",
		"chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", "nothing sent": "",
	} {
		t.Run(name, func(t *testing.T) {
			s := serveAndClose(t, response)
			_, err := newClient(s, 1).Do(t.Context(), s.Addr().String(), newRequest("a"))
			var failure *http1.Error
			require.True(t, errors.As(err, &failure), "%v", err)
			require.True(t, failure.PeerClosed)
		})
	}
	s := listen(t, func(_ *testTarget, c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // It ends when the client closes c.
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := newClient(s, 1).Do(ctx, s.Addr().String(), newRequest("a"))
	var failure *http1.Error
	require.True(t, errors.As(err, &failure), "%v", err)
	require.False(t, failure.PeerClosed)
}

// serveAndClose starts a target that sends text in response to the first request of each connection and then
// closes the connection.
func serveAndClose(t *testing.T, text string) *testTarget {
	t.Helper()
	return listen(t, func(_ *testTarget, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text) // The test checks only the client's end.
		}
		_ = c.Close()
	})
}

// Guards against an automatic retry when the connection is closed, which could run a request twice that must
// not be repeated.
func TestRequestIsSentOnce(t *testing.T) {
	s := serve(t, okResponse, "")
	client := newClient(s, 2)
	_, err := client.Do(t.Context(), s.Addr().String(), newRequest("a"))
	require.NoError(t, err)
	_, err = client.Do(t.Context(), s.Addr().String(), newRequest("a"))
	var failure *http1.Error
	require.True(t, errors.As(err, &failure))
	require.Equal(t, http1.Closed, failure.Stage)
	require.Len(t, s.requests, 2)
	require.Equal(t, int64(1), s.connections.Load())
}

// Guards against changes to the request line or the body, such as a cleaned path.
func TestRequestIsUnchanged(t *testing.T) {
	s := serve(t, okResponse)
	r := newRequest("a")
	r.Method, r.Body = "POST", []byte("body")
	_, err := newClient(s, 1).Do(t.Context(), s.Addr().String(), r)
	require.NoError(t, err)
	require.Equal(t, "POST /a//b/%2f?x=1 body", <-s.requests)
}

// Guards against reporting that a request may have run when its dial failed and nothing was sent.
func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{address: 1})
	_, err = c.Do(t.Context(), address, newRequest("a"))
	var failure *http1.Error
	require.True(t, errors.As(err, &failure))
	require.Equal(t, http1.NotSent, failure.Stage)
}

// Guards against requests that may have run at a target at its connection limit: after a refused connection,
// the client sends a request only on a connection that the target has kept open for the time of the watch.
func TestRefusingTargetIsWatched(t *testing.T) {
	var accepts atomic.Bool
	s := listen(t, func(s *testTarget, c net.Conn) {
		if !accepts.Load() {
			_ = c.Close() // The test checks only the client's end.
			return
		}
		s.respond(c, []string{okResponse})
	})
	c := newClient(s, 1)
	stage := func() http1.Stage {
		_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
		var failure *http1.Error
		require.True(t, errors.As(err, &failure))
		return failure.Stage
	}
	require.Equal(t, http1.Refused, stage())
	require.Equal(t, http1.NotSent, stage())
	require.Equal(t, http1.NotSent, stage())
	accepts.Store(true)
	_, err := c.Do(t.Context(), s.Addr().String(), newRequest("a"))
	require.NoError(t, err)
	require.Len(t, s.requests, 1)
}

// Guards against a watch of a new connection that continues after its request is cancelled.
func TestWatchEndsOnCancellation(t *testing.T) {
	refuse := make(chan struct{}, 1)
	refuse <- struct{}{}
	s := listen(t, func(_ *testTarget, c net.Conn) {
		select {
		case <-refuse:
			_ = c.Close() // The test checks only the client's end.
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

// Guards against more connections to a target than its limit, against a request that waits forever, and
// against a cancelled request that does not release its connection.
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
	var failure *http1.Error
	require.True(t, errors.As(<-blockedErr, &failure))
	require.Equal(t, http1.Sent, failure.Stage, "the target may have run the request")
	require.NoError(t, <-nextErr)
	require.LessOrEqual(t, maxOpen.Load(), int64(2), "the server may still be closing the cancelled connection")
}

// Guards against a target whose bytes fill the memory: the header, interim responses and framing of a response are
// bounded as its body is, the connection is closed, and the request counts as one that may have run.
func TestEndlessResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"no line end":       {"", strings.Repeat("x", 1000)},
		"one header line":   {ok + "X: ", strings.Repeat("x", 1000)},
		"header fields":     {ok, "X: y\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body until close":  {ok + "\r\n", strings.Repeat("x", 1000)},
		"body by length":    {ok + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1000)},
		"chunks":            {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension":   {ok + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1000)},
		"trailer":           {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			s := listen(t, func(_ *testTarget, conn net.Conn) {
				defer close(closed)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				text := c.start + strings.Repeat(c.repeat, 1+100_000/len(c.repeat))
				for {
					n, err := io.WriteString(conn, text)
					sent.Add(int64(n))
					if err != nil {
						return
					}
					text = strings.Repeat(c.repeat, 1+100_000/len(c.repeat))
				}
			})
			client := newClient(s, 1)
			tooLarge := 0
			client.OnTooLarge(func(string) { tooLarge++ })
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Do(ctx, s.Addr().String(), newRequest("a"))
			runtime.ReadMemStats(&after)
			var failure *http1.Error
			require.True(t, errors.As(err, &failure), "%v", err)
			require.Equal(t, http1.Sent, failure.Stage, "the target may have run the request")
			require.NoError(t, ctx.Err(), "the read ended before the deadline")
			<-closed
			// Socket buffers hold some MB more than was read.
			require.Less(t, sent.Load(), int64(16<<20))
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20))
			t.Log(tooLarge, err)
		})
	}
}

// Guards against a wake-up that is lost: the request that got it ended at the same time, or the limit was raised while
// requests waited. Both left a free connection unused.
func TestWaitersAreWoken(t *testing.T) {
	for round := range 200 {
		s := serve(t, okResponse, okResponse, okResponse, okResponse)
		address := s.Addr().String()
		c := newClient(s, 1)
		release := make(chan struct{})
		held := make(chan error, 1)
		go func() {
			_, err := c.Do(t.Context(), address, &http1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Matches: func(*http1.Response) bool {
				<-release
				return true
			}})
			held <- err
		}()
		<-s.requests
		ctx, cancel := context.WithCancel(t.Context())
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { _, err := c.Do(ctx, address, newRequest("a")); first <- err }()
		go func() { _, err := c.Do(t.Context(), address, newRequest("a")); second <- err }()
		if round%2 == 0 {
			go cancel()
			close(release)
		} else {
			c.SetLimits(map[string]int{address: 3})
			require.NoError(t, <-first)
			close(release)
		}
		require.NoError(t, <-second, "a waiter stayed asleep beside a free connection")
		require.NoError(t, <-held)
		cancel()
	}
}
