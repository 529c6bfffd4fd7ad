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

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"

// target answers the requests of each connection with the given texts, one for each request, and then
// ends the connection. An empty text ends it without an answer.
type target struct {
	net.Listener
	connections atomic.Int64
	requests    chan string
}

func serve(t *testing.T, answers ...string) *target {
	t.Helper()
	return listen(t, func(s *target, c net.Conn) { s.answer(c, answers) })
}

// listen hands each connection to the function, which runs beside others.
func listen(t *testing.T, take func(s *target, c net.Conn)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &target{Listener: l, requests: make(chan string, 100)}
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go take(s, c)
		}
	}()
	return s
}

func (s *target) answer(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }() // The test looks at the far end only.
	r := bufio.NewReader(c)
	for _, text := range answers {
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
	unused, kept := serve(t, whole), serve(t, whole)
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{unused.Addr().String(): 1, kept.Addr().String(): 1})
	for _, s := range []*target{unused, kept} {
		_, err := c.Do(t.Context(), s.Addr().String(), request("a"))
		require.NoError(t, err)
	}
	c.CloseUnused(time.Hour, nil)
	require.False(t, c.Cold(unused.Addr().String()), "it was used just now")
	c.CloseUnused(0, map[string]bool{kept.Addr().String(): true})
	require.True(t, c.Cold(unused.Addr().String()))
	require.False(t, c.Cold(kept.Addr().String()))
}

func client(s *target, limit int) *http1.Client {
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{s.Addr().String(): limit})
	return c
}

func request(id string) *http1.Request {
	return &http1.Request{
		Method: "GET", Target: "/a//b/%2f?x=1", Host: "h", Header: http.Header{},
		Matches: func(r *http1.Response) bool { return r.Header.Get("Request-Id") == id },
	}
}

// Guards against an answer that is taken although it is cut, and against a connection that carries
// another request after bytes that belong to none.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		ok     bool
		stage  http1.Stage
		reused bool
	}{
		"whole":                   {whole, true, 0, true},
		"chunked":                 {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, 0, true},
		"interim answer first":    {"HTTP/1.1 100 Continue\r\n\r\n" + whole, true, 0, true},
		"asks to close":           {strings.Replace(whole, "Content", "Connection: close\r\nContent", 1), true, 0, false},
		"another request's":       {strings.Replace(whole, "Id: a", "Id: b", 1), true, 0, false},
		"second answer behind it": {whole + whole, true, 0, false},
		"bytes behind it":         {whole + "xyz", true, 0, false},
		"body cut":                {strings.Replace(whole, ": 2", ": 9", 1), false, http1.Refused, false},
		"header cut":              {"HTTP/1.1 200 OK\r\nContent-", false, http1.Sent, false},
		"no answer":               {"", false, http1.Refused, false},
		"not HTTP":                {"garbage garbage\r\n\r\n", false, http1.Sent, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, c.answer, whole)
			if !c.ok {
				s = serveAndClose(t, c.answer)
			}
			cl := client(s, 2)
			resp, err := cl.Do(t.Context(), s.Addr().String(), request("a"))
			if !c.ok {
				var failed *http1.Error
				require.True(t, errors.As(err, &failed), "%v", err)
				require.Equal(t, c.stage, failed.Stage)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "ok", string(resp.Body))
			_, err = cl.Do(t.Context(), s.Addr().String(), request("a"))
			if c.reused {
				require.NoError(t, err)
			}
			want := int64(2)
			if c.reused {
				want = 1
			}
			require.Equal(t, want, s.connections.Load())
		})
	}
}

// serveAndClose answers the first request of each connection with the text and closes it.
func serveAndClose(t *testing.T, text string) *target {
	t.Helper()
	return listen(t, func(_ *target, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text) // The test looks at the far end only.
		}
		_ = c.Close()
	})
}

// Guards against a request that is sent a second time by the transport when its connection ends, which
// would run one that may not be repeated twice.
func TestNothingIsSentAgain(t *testing.T) {
	s := serve(t, whole, "")
	cl := client(s, 2)
	_, err := cl.Do(t.Context(), s.Addr().String(), request("a"))
	require.NoError(t, err)
	_, err = cl.Do(t.Context(), s.Addr().String(), request("a"))
	var failed *http1.Error
	require.True(t, errors.As(err, &failed))
	require.Equal(t, http1.Closed, failed.Stage)
	require.Len(t, s.requests, 2)
	require.Equal(t, int64(1), s.connections.Load())
}

// Guards against a changed request line or body.
func TestRequestIsUnchanged(t *testing.T) {
	s := serve(t, whole)
	r := request("a")
	r.Method, r.Body = "POST", []byte("body")
	_, err := client(s, 1).Do(t.Context(), s.Addr().String(), r)
	require.NoError(t, err)
	require.Equal(t, "POST /a//b/%2f?x=1 body", <-s.requests)
}

// Guards against "may have run" where nothing was sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{address: 1})
	_, err = c.Do(t.Context(), address, request("a"))
	var failed *http1.Error
	require.True(t, errors.As(err, &failed))
	require.Equal(t, http1.NotSent, failed.Stage)
}

// Guards against requests that "may have run" at a target that has as many connections as it accepts: one that
// refused a connection is sent nothing on the next one until it is seen to stay open.
func TestConnectionToARefusingTargetIsWatched(t *testing.T) {
	var accepts atomic.Bool
	s := listen(t, func(s *target, c net.Conn) {
		if !accepts.Load() {
			_ = c.Close() // The test looks at the far end only.
			return
		}
		s.answer(c, []string{whole})
	})
	c := client(s, 1)
	stage := func() http1.Stage {
		_, err := c.Do(t.Context(), s.Addr().String(), request("a"))
		var failed *http1.Error
		require.True(t, errors.As(err, &failed))
		return failed.Stage
	}
	require.Equal(t, http1.Refused, stage())
	require.Equal(t, http1.NotSent, stage())
	require.Equal(t, http1.NotSent, stage())
	accepts.Store(true)
	_, err := c.Do(t.Context(), s.Addr().String(), request("a"))
	require.NoError(t, err)
	require.Len(t, s.requests, 1)
}

// Guards against a watch that outlives its request.
func TestWatchEndsWithItsRequest(t *testing.T) {
	refuse := make(chan struct{}, 1)
	refuse <- struct{}{}
	s := listen(t, func(_ *target, c net.Conn) {
		select {
		case <-refuse:
			_ = c.Close() // The test looks at the far end only.
		default:
		}
	})
	c := client(s, 1)
	_, err := c.Do(t.Context(), s.Addr().String(), request("a"))
	require.Error(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Do(ctx, s.Addr().String(), request("a"))
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, s.requests)
}

// Guards against a target that counts as gone although it accepts connections, or as there although it
// does not; and against connections beyond the limit that a look at it opens.
func TestReach(t *testing.T) {
	s := serve(t, whole)
	address := s.Addr().String()
	c := client(s, 1)
	for range 3 {
		require.NoError(t, c.Reach(t.Context(), address))
	}
	require.False(t, c.Cold(address), "the connection is kept")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	c.SetLimits(map[string]int{address: 1, gone: 1})
	require.Error(t, c.Reach(t.Context(), gone))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.NoError(t, c.Reach(ctx, "127.0.0.1:1"), "it has no limit, so that nothing is known of it")
	require.True(t, c.Cold(gone))
	require.LessOrEqual(t, s.connections.Load(), int64(1))
}

// Guards against more connections to a target than its limit, against a request that waits for good, and
// against a cancelled one that keeps its connection.
func TestLimitAndCancellation(t *testing.T) {
	hold, holding := make(chan struct{}), make(chan struct{})
	var open, most atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			close(holding)
			<-hold
		}
	}), ConnState: func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			most.Store(max(most.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }() // Ends with an error on Close.
	defer func() { close(hold); require.NoError(t, server.Close()) }()
	c := http1.NewClient(nil, nil)
	c.SetLimits(map[string]int{l.Addr().String(): 1})
	ctx, cancel := context.WithCancel(t.Context())
	held := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, l.Addr().String(), &http1.Request{Method: "GET", Target: "/hold", Host: "h", Header: http.Header{}})
		held <- err
	}()
	<-holding
	next := make(chan error, 1)
	go func() {
		_, err := c.Do(t.Context(), l.Addr().String(), &http1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		next <- err
	}()
	cancel()
	var failed *http1.Error
	require.True(t, errors.As(<-held, &failed))
	require.Equal(t, http1.Sent, failed.Stage, "the target may have run it")
	require.NoError(t, <-next)
	require.LessOrEqual(t, most.Load(), int64(2), "the cancelled one may still be closing at the far end")
}
