package ingress

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against peers that lose each other because their HTTP/2 connections, or the bodies on them, are taken for those of
// HTTP/1.1: with both protocols on a listener, and with HTTP/2 alone.
func TestHTTP2RequestsAreServed(t *testing.T) {
	for name, withHTTP1 := range map[string]bool{"both protocols": true, "HTTP/2 alone": false} {
		t.Run(name, func(t *testing.T) {
			g := New(Config{Limits: Limits{Connections: 10, Memory: 8 << 20}, Log: slog.New(slog.DiscardHandler)})
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l, err := g.Wrap(inner, nil)
			require.NoError(t, err)
			var protocols http.Protocols
			protocols.SetHTTP1(withHTTP1)
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{
				Handler: g.Handler(http.HandlerFunc(echo), eventually), Protocols: &protocols, ConnState: OnConnState, ConnContext: ConnContext,
				ReadHeaderTimeout: eventually, MaxHeaderBytes: ServerHeadBytes,
			}
			done := make(chan error, 1)
			go func() { done <- server.Serve(l) }()
			var clientProtocols http.Protocols
			clientProtocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{Protocols: &clientProtocols}
			client := http.Client{Transport: transport, Timeout: eventually}
			for n := range 3 {
				resp, err := client.Post("http://"+inner.Addr().String(), "", strings.NewReader(strings.Repeat("x", 100_000*n)))
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, fmt.Sprint(100_000*n), string(body))
			}
			transport.CloseIdleConnections()
			require.NoError(t, server.Close())
			require.ErrorIs(t, <-done, http.ErrServerClosed)
			require.Eventually(t, func() bool { used, _ := g.memory.usage(); return g.openConns() == 0 && used == 0 }, eventually, time.Millisecond)
		})
	}
}
