package ingress

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const eventually = 10 * time.Second

// startServer serves a handler on loopback behind a guard.
func startServer(t *testing.T, cfg Config, handler http.HandlerFunc) (*Guard, string) {
	t.Helper()
	cfg.Log = slog.New(slog.DiscardHandler)
	g := New(cfg)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := g.Wrap(inner, nil)
	require.NoError(t, err)
	server := &http.Server{
		Handler: g.Handler(handler, eventually), ConnState: OnConnState, ConnContext: ConnContext, MaxHeaderBytes: ServerHeadBytes,
		ReadHeaderTimeout: eventually,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-done, http.ErrServerClosed)
		require.Eventually(t, func() bool { return g.openConns() == 0 }, eventually, time.Millisecond, "connections are still counted")
		used, incomplete := g.memory.usage()
		require.Zero(t, used, "memory is still counted")
		require.Zero(t, incomplete)
	})
	return g, inner.Addr().String()
}

func (g *Guard) openConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func (m *memory) usage() (used, incomplete int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.incomplete
}

// echo answers with the length of the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, 1<<20)
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, len(body)) // The client may be gone.
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // A test may have closed it.
	require.NoError(t, c.SetDeadline(time.Now().Add(eventually)))
	return client{c, bufio.NewReader(c)}
}

func (c client) send(t *testing.T, text string) client {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func (c client) receive(t *testing.T) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

// Guards against requests inside the limits that are refused, changed or mixed up in calm: whole, byte by byte, pipelined, with
// bodies of every framing and with the largest header of the shortest fields.
func TestRequestsInsideLimitsAreServed(t *testing.T) {
	const headBytes = 16 << 10
	_, address := startServer(t, Config{
		Limits: Limits{Connections: 10, Memory: 8 << 20}, Head: func() HeadLimits { return HeadLimits{Bytes: headBytes, Time: eventually} },
	}, echo)
	var shortest strings.Builder
	for i := 0; shortest.Len() < headBytes-100; i++ {
		fmt.Fprintf(&shortest, "%x:\r\n", i)
	}
	withLength := func(n int) string {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", n) + strings.Repeat("\n", n)
	}
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n3;ext\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
	for name, c := range map[string]struct {
		send string
		want []string
	}{
		"no body":             {head + "\r\n", []string{"0"}},
		"body":                {withLength(5), []string{"5"}},
		"large body":          {withLength(1 << 20), []string{"1048576"}},
		"chunks":              {chunked, []string{"5"}},
		"many fields":         {head + shortest.String() + "Content-Length: 2\r\n\r\nab", []string{"2"}},
		"pipelined":           {strings.Repeat(withLength(7)+head+"\r\n"+chunked, 40), repeated(40, "7", "0", "5")},
		"pipelined in pieces": {strings.Repeat(withLength(3000)+chunked, 3), repeated(3, "3000", "5")},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			go func() {
				step := len(c.send)
				if name != "large body" && len(c.send) < 20000 {
					step = 7
				}
				for rest := c.send; rest != ""; {
					n := min(step, len(rest))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return // The test fails by the missing response.
					}
					rest = rest[n:]
				}
			}()
			for _, want := range c.want {
				resp, body := conn.receive(t)
				require.Equal(t, http.StatusOK, resp.StatusCode, body)
				require.Equal(t, want, body)
			}
		})
	}
}

func repeated(n int, list ...string) []string {
	var out []string
	for range n {
		out = append(out, list...)
	}
	return out
}

// Guards against headers beyond their limit or time that hold a connection, and against a client that is still sending and
// does not get its refusal.
func TestHeadersBeyondLimitsAreRefused(t *testing.T) {
	limits := HeadLimits{Bytes: 4 << 10, Time: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		send   string
		status int
	}{
		"endless field": {head + "Field: " + strings.Repeat("x", 512<<10), http.StatusRequestHeaderFieldsTooLarge},
		"endless line":  {"GET /" + strings.Repeat("x", 512<<10), http.StatusRequestHeaderFieldsTooLarge},
		"whole":         {head + "Field: " + strings.Repeat("x", 4<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"late":          {head, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, Config{
				Limits: Limits{Connections: 10, Memory: 8 << 20}, Head: func() HeadLimits { return limits },
			}, echo)
			resp, _ := dial(t, address).send(t, c.send).receive(t)
			require.Equal(t, c.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

// Guards against connections that use all descriptors, and against an order in which callers lose their place to clients that
// are silent for longer, or complete requests to incomplete ones.
func TestSilentClientsLeaveRoom(t *testing.T) {
	const connections = 8
	release := make(chan struct{})
	var started atomic.Int32
	g, address := startServer(t, Config{Limits: Limits{Connections: connections}}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started.Add(1)
			<-release
		}
		echo(w, r)
	})
	running := dial(t, address).send(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return started.Load() == 1 }, eventually, time.Millisecond)
	for range 5 * connections {
		dial(t, address).send(t, head)
		require.LessOrEqual(t, g.openConns(), connections)
	}
	resp, _ := dial(t, address).send(t, head+"\r\n").receive(t)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	close(release)
	resp, _ = running.receive(t)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against bodies that stop short and keep others from being served, and against a refusal that does not say that the
// request has not run.
func TestStalledBodiesLeaveMemory(t *testing.T) {
	const size = 200 << 10
	var ran atomic.Int32
	g, address := startServer(t, Config{Limits: Limits{Connections: 100, Memory: 3 << 20}}, func(w http.ResponseWriter, r *http.Request) {
		if body, err := ReadBody(w, r, size); err != nil || len(body) < size {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "0.2")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ran.Add(1)
	})
	announced := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	var stalled []client
	for range 30 {
		stalled = append(stalled, dial(t, address).send(t, announced+strings.Repeat("x", size-1)))
	}
	for range 5 {
		resp, _ := dial(t, address).send(t, announced+strings.Repeat("x", size)).receive(t)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.EqualValues(t, 5, ran.Load())
	used, _ := g.memory.usage()
	require.LessOrEqual(t, used, g.memory.limit)
	resp, _ := stalled[0].receive(t)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "the client that has been silent for longest")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	resp, _ = stalled[len(stalled)-1].send(t, "x").receive(t)
	require.Equal(t, http.StatusOK, resp.StatusCode, "the one that has been silent for the shortest time")
}

// Guards against a body that is read although it is known to be too large.
func TestBodyBeyondLimitIsRefusedAtOnce(t *testing.T) {
	_, address := startServer(t, Config{Limits: Limits{Connections: 10}}, func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, 100)
		var tooLarge *http.MaxBytesError
		require.ErrorAs(t, err, &tooLarge)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	for _, send := range []string{head + "Content-Length: 101\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101)} {
		resp, _ := dial(t, address).send(t, send).receive(t)
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	}
}

// Guards against limits that leave no room in a process with little memory or few descriptors.
func TestLimitsForSmallProcess(t *testing.T) {
	l, err := LimitsFor(0.5, 0.3, 64<<20)
	require.NoError(t, err)
	require.Positive(t, l.Connections)
	require.Greater(t, l.requestMemory(), l.Memory/2)
	require.LessOrEqual(t, int64(l.Connections)*int64(l.receiveBuffer()), l.Memory/2)
}
