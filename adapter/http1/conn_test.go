package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
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
