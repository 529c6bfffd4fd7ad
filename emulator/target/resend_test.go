package target_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/query"
)

// Frame types, flags and error codes of RFC 9113.
const (
	clientPreface   = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderSize = 9
	frameHeaders    = 1
	frameReset      = 3
	frameSettings   = 4
	flagEndStream   = 1
	errProtocol     = 1
	errRefused      = 7
)

// resetEveryStream is an HTTP/2 server for one connection. It counts the requests and resets the stream
// of each complete one with the error code.
func resetEveryStream(c net.Conn, code uint32, requests *atomic.Int64) {
	_, _ = io.ReadFull(c, make([]byte, len(clientPreface)))
	go func() { _, _ = c.Write(encodeFrame(frameSettings, 0, nil)) }()
	header := make([]byte, frameHeaderSize)
	for {
		if _, err := io.ReadFull(c, header); err != nil {
			return
		}
		length := int64(header[0])<<16 | int64(header[1])<<8 | int64(header[2])
		if _, err := io.CopyN(io.Discard, c, length); err != nil {
			return
		}
		stream := binary.BigEndian.Uint32(header[5:])
		if header[3] == frameHeaders {
			requests.Add(1)
		}
		if stream > 0 && header[4]&flagEndStream != 0 {
			reset := encodeFrame(frameReset, stream, binary.BigEndian.AppendUint32(nil, code))
			go func() { _, _ = c.Write(reset) }()
		}
	}
}

// encodeFrame returns an HTTP/2 frame whose length fits in one byte.
func encodeFrame(frameType byte, stream uint32, payload []byte) []byte {
	header := []byte{0, 0, byte(len(payload)), frameType, 0}
	return append(binary.BigEndian.AppendUint32(header, stream), payload...)
}

// Guards against a transport that resends a request after a stream reset, which would run an execute
// twice (I5) or exceed the retry budget of searches (H4).
func TestTransportNeverResends(t *testing.T) {
	for _, code := range []uint32{errProtocol, errRefused} {
		withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
			h.host.Stop()
			l, err := h.network.Listen(address)
			require.NoError(t, err)
			defer l.Close()
			var requests atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go resetEveryStream(c, code, &requests)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), timeLeft)
			defer cancel()
			_, outcome := h.client.Execute(ctx, execution("k", "credit"))
			require.Equal(t, query.OutcomeUnknown, outcome)
			require.EqualValues(t, 1, requests.Load())
			require.Equal(t, query.OutcomeUnknown, h.client.Search(ctx, search(0, 1, "jars")).Outcome)
			require.EqualValues(t, 2, requests.Load())
		})
	}
}
