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

func frame(kind, flags byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, 0, 0, 0, 1}) + payload
}

// Guards against headers of HTTP/2 that do not end, or large frames, that are not counted, wherever the network splits them.
func TestFramesAreCounted(t *testing.T) {
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	settings := frame(4, 0, "")
	for name, c := range map[string]struct {
		input   string
		encoded int
		largest int
	}{
		"preface":        {preface, 0, 0},
		"whole header":   {preface + settings + frame(frameHeaders, flagEndHeaders, "abc"), 0, 3},
		"open header":    {preface + settings + frame(frameHeaders, 0, "abc"), 3, 3},
		"continued":      {preface + frame(frameHeaders, 0, "abc") + frame(frameContinued, 0, "defg"), 7, 4},
		"ended":          {preface + frame(frameHeaders, 0, "abc") + frame(frameContinued, flagEndHeaders, ""), 0, 3},
		"part of header": {preface + frame(frameHeaders, flagEndHeaders, "abcd")[:frameHeaderBytes+2], 2, 4},
		"large data":     {preface + frame(0, 0, strings.Repeat("x", 20000)), 0, 20000},
	} {
		t.Run(name, func(t *testing.T) {
			for split := range min(len(c.input), 100) {
				var s frameScanner
				s.scan([]byte(c.input[:split]))
				s.scan([]byte(c.input[split:]))
				require.Equal(t, c.encoded, s.encoded, "split at %d", split)
				require.Equal(t, c.largest, s.largest)
				require.LessOrEqual(t, s.cost(HTTP2HeadBytes), int64(HTTP2FrameBytes)+headCost(HTTP2HeadBytes, HTTP2HeadBytes/http2MinField))
			}
		})
	}
}
