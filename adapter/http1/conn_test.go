package http1

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzExchange guards against response bytes that make the process panic or the request hang, and against the
// reuse of a connection with unread data.
func FuzzExchange(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
		"garbage", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = io.ReadFull(server, make([]byte, 1)) // Waits for the start of the request.
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = server.Write(response)
			_ = server.Close()
		}()
		c := newConn(client, &memory{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		resp, reusable, failure := c.exchange(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if (resp == nil) == (failure == nil) {
			t.Fatal("exchange must return either a response or an error")
		}
		if reusable && c.reader.Buffered() > 0 {
			t.Fatal("a connection with unread data is reusable")
		}
		if ctx.Err() != nil {
			t.Fatal("the request hung until its deadline")
		}
		_ = client.Close()
	})
}

// Guards against a response without a valid status that counts as an interim one: the request waits until its deadline, or the
// next response on the connection passes for its answer; and against one that is passed on as an answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	const end, answer = "\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	none := func(status string) []string {
		head := "HTTP/1.1 " + status
		return []string{head + "\r\n\r\n", head + end, head + "\r\n\r\n" + answer, head + end + answer}
	}
	valid := map[string]int{
		answer:                                   200,
		"HTTP/1.1 100 Continue\r\n\r\n" + answer: 200,
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102\r\n\r\n" + answer: 200,
		"HTTP/1.1 199 \r\n\r\n" + answer:                                           200,
		"HTTP/1.1 404 Not Found" + end:                                             404,
		"HTTP/1.1 599" + end:                                                       599,
	}
	cases := maps.Clone(valid)
	for _, status := range []string{
		"000", "000 Trouble", "001", "020", "099", "+20", "+99", "-20", "-00", "101 Switching Protocols", "600", "999", "20", "2000", "2OO", "",
	} {
		for _, response := range none(status) {
			cases[response] = 0
		}
	}
	for response, want := range cases {
		client, server := net.Pipe()
		go func() {
			_, _ = io.ReadFull(server, make([]byte, 1)) // Waits for the start of the request.
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = server.Write([]byte(response)) // The connection stays open.
		}()
		c := newConn(client, &memory{})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		resp, reusable, failure := c.exchange(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, ctx.Err(), "%q: the request waits until its deadline", response)
		cancel()
		if want > 0 {
			require.Nil(t, failure, response)
			require.Equal(t, want, resp.Status, response)
			require.True(t, reusable, response)
		} else {
			require.NotNil(t, failure, response)
			require.Equal(t, Sent, failure.Stage, "%q: the target may have run the request", response)
			require.False(t, reusable, response)
		}
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
	}
}
