package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/http1"
)

// Guards against a process that runs out of memory because many targets send bytes without end at the same time, each within
// the bound of one response; and against small responses that fail because of them.
func TestEndlessResponsesTogetherStayWithinMemory(t *testing.T) {
	const (
		responses = 60
		sent      = 3 << 20 // bytes of each response, below the bound of one; more never follow
		limit     = 16 << 20
		tolerance = 16 << 20 // for garbage of the test itself, and buffers of connections
	)
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for name, head := range map[string]string{
		"body":        "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4000000\r\n\r\n",
		"until close": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var stalled sync.WaitGroup
			stalled.Add(responses)
			endless := func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, head+strings.Repeat("x", sent)) // It fails once the client has closed the connection.
				}
				stalled.Done()
				_, _ = io.Copy(io.Discard, c) // It ends when the client closes the connection.
				_ = c.Close()
			}
			sound := func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, okResponse) // As above.
				}
			}
			// Pipes have no buffers: what has been written has been read.
			c := http1.NewClient(func(_ context.Context, address string) (net.Conn, error) {
				near, far := net.Pipe()
				if address == "endless" {
					go endless(far)
				} else {
					go sound(far)
				}
				return near, nil
			}, nil)
			c.LimitMemory(limit)
			c.SetLimits(map[string]int{"endless": responses, "sound": 1})
			ctx, cancel := context.WithCancel(t.Context())
			var during runtime.MemStats
			var done sync.WaitGroup
			for range responses {
				done.Go(func() {
					_, err := c.Do(ctx, "endless", newRequest("a"))
					var failure *http1.Error
					require.True(t, errors.As(err, &failure), "%v", err)
					require.Equal(t, http1.Sent, failure.Stage, "the target may have run the request")
				})
			}
			stalled.Wait()
			runtime.GC()
			runtime.ReadMemStats(&during)
			require.Less(t, int64(during.HeapAlloc)-int64(before.HeapAlloc), int64(limit+tolerance))
			resp, err := c.Do(t.Context(), "sound", newRequest("a"))
			require.NoError(t, err)
			require.Equal(t, "ok", string(resp.Body))
			cancel()
			done.Wait()
		})
	}
}

// Guards against memory that stays reserved after its responses have failed or are garbage, so that large responses fail for
// good.
func TestMemoryOfResponsesIsReleased(t *testing.T) {
	const size = 1 << 20
	c := http1.NewClient(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			for in := bufio.NewReader(far); ; {
				r, err := http.ReadRequest(in)
				if err != nil {
					return // The client has closed the connection.
				}
				body := strings.Repeat("x", size)
				if r.URL.Path == "/broken" {
					body = body[1:]
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 1048576\r\n\r\n"+body) // As above.
				if r.URL.Path == "/broken" {
					_ = far.Close()
				}
			}
		}()
		return near, nil
	}, nil)
	c.LimitMemory(16 << 20)
	c.SetLimits(map[string]int{"target": 1})
	for n := range 100 {
		r := newRequest("a")
		if n%2 == 0 {
			r.Target = "/broken"
		}
		resp, err := c.Do(t.Context(), "target", r)
		require.Equal(t, n%2 == 0, err != nil)
		if err != nil {
			require.NotErrorIs(t, err, http1.ErrNoMemory)
			continue
		}
		require.Len(t, resp.Body, size)
		runtime.GC()
	}
}
