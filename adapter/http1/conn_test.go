package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzExchange guards against bytes of a target that stop the process or its request, and against a
// connection that is kept although bytes are left on it.
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
			_, _ = io.ReadFull(server, make([]byte, 1)) // The request has arrived.
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = server.Write(response)
			_ = server.Close()
		}()
		c := newConn(client)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		resp, reusable, failed := c.exchange(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if (resp == nil) == (failed == nil) {
			t.Fatal("neither an answer nor a failure, or both")
		}
		if reusable && c.reader.Buffered() > 0 {
			t.Fatal("a connection is kept with bytes on it")
		}
		if ctx.Err() != nil {
			t.Fatal("the answer held the request")
		}
		_ = client.Close()
	})
}
