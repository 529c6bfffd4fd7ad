package platform_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
)

// serveStatus answers each request with a status line as it is given, and returns the address.
func serveStatus(t *testing.T, status string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a write that counts as accepted although the answer of the store had no valid status, or none of a success.
func TestWriteWithoutSuccessIsNotAccepted(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "302 Found", "600", "999"} {
		c := platform.NewClient("http://"+serveStatus(t, status), http.DefaultTransport, nil)
		err := c.Delete(t.Context(), "test", "plans", "a", 1)
		require.ErrorIs(t, err, platform.ErrUnavailable, status)
	}
}
