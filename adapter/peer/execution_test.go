package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/wire/executepb"
	"hyssopcroft.example/control/claim"
)

// Guards against a state or reason that changes when an answer is forwarded.
func TestAnswerRoundTrip(t *testing.T) {
	for state := claim.Running; state <= claim.Unknown; state++ {
		for reason := claim.ReasonRecorded; reason <= claim.ReasonAhead; reason++ {
			a := claim.Answer{State: state, Reason: reason, Result: "r", Omitted: true, Repeated: true}
			require.Equal(t, a, AnswerFromWire(AnswerToWire(a)))
		}
	}
	require.Equal(t, executepb.State_STATE_NOT_RUN, AnswerToWire(claim.Answer{State: claim.NotRun}).State)
	require.Equal(t, executepb.Reason_REASON_REPLACED, AnswerToWire(claim.Answer{Reason: claim.ReasonReplaced}).Reason)
}

// Guards against an unknown state, from a newer or faulty peer, that is read as a definite outcome.
func TestAnswerFromWireUnknownValues(t *testing.T) {
	for _, state := range []executepb.State{executepb.State_STATE_UNSPECIFIED, executepb.State_STATE_NOT_WRITER, 99, -1} {
		a := AnswerFromWire(&executepb.ForwardExecuteResponse{State: state, Reason: 99})
		require.Equal(t, claim.Unknown, a.State, state)
		require.Equal(t, claim.ReasonRecorded, a.Reason)
	}
}

// Guards against a call that is repeated although the peer may have received it.
func TestNotDelivered(t *testing.T) {
	require.True(t, NotDelivered(errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "forward")))
	require.False(t, NotDelivered(&net.OpError{Op: "read", Err: errors.New("reset")}))
	require.False(t, NotDelivered(errors.New("deadline exceeded")))
}

// resetFrame returns a RST_STREAM frame with the code PROTOCOL_ERROR, after which net/http resends a request if it
// can.
func resetFrame(stream []byte) []byte {
	const frameReset = 0x3
	return append(append([]byte{0, 0, 4, frameReset, 0}, stream...), 0, 0, 0, 1)
}

// goAwayFrame returns a GOAWAY frame with the code NO_ERROR and the id of the last stream that is processed.
func goAwayFrame(lastStream []byte) []byte {
	const frameGoAway = 0x7
	return append(append([]byte{0, 0, 8, frameGoAway, 0, 0, 0, 0, 0}, lastStream...), 0, 0, 0, 0)
}

// serveHTTP2 implements enough of HTTP/2 to receive requests and to answer each with the frame that response returns
// for its stream. It counts the requests.
func serveHTTP2(c net.Conn, received *atomic.Int64, response func(stream []byte) []byte) {
	const (
		frameData, frameSettings = 0x0, 0x4
		flagEndStream            = 0x1
	)
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))); err != nil {
		return
	}
	_, _ = c.Write([]byte{0, 0, 0, frameSettings, 0, 0, 0, 0, 0}) // the client notices a lost frame
	header := make([]byte, 9)
	for {
		if _, err := io.ReadFull(c, header); err != nil {
			return
		}
		length := int64(header[0])<<16 | int64(header[1])<<8 | int64(header[2])
		if _, err := io.CopyN(io.Discard, c, length); err != nil {
			return
		}
		if header[3] == frameData && header[4]&flagEndStream != 0 {
			received.Add(1)
			_, _ = c.Write(response(header[5:9])) // the client notices a lost frame
		}
	}
}

// listenHTTP2 runs serveHTTP2 for each connection to a free port.
func listenHTTP2(t *testing.T, response func(stream []byte) []byte) (l net.Listener, received *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveHTTP2(c, received, response)
		}
	}()
	return l, received
}

// Guards against a claimed request that the transport resends after the peer received it, and against a refused
// connection that counts as delivered.
func TestSendExecuteAtMostOnce(t *testing.T) {
	l, received := listenHTTP2(t, resetFrame)
	transport := NewTransport(nil)
	client := AtMostOnceExecutionClient(l.Addr().String(), transport)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second) // ends a transport that keeps resending
	defer cancel()
	_, err := client.SendExecute(ctx, &executepb.SendExecuteRequest{Key: "k"})
	require.Error(t, err)
	require.False(t, NotDelivered(err))
	require.Equal(t, int64(1), received.Load())
	transport.CloseIdleConnections()
	require.NoError(t, l.Close())
	_, err = AtMostOnceExecutionClient(l.Addr().String(), NewTransport(nil)).SendExecute(t.Context(), &executepb.SendExecuteRequest{Key: "k"})
	require.True(t, NotDelivered(err), "%v", err)
}

// Guards against a claimed request that counts as possibly run although the GOAWAY frame of a stopping peer excludes
// it, and against one that counts as not run although the peer received it before it stopped.
func TestSendExecuteToStoppingPeer(t *testing.T) {
	for name, c := range map[string]struct {
		lastStream   []byte // nil for the stream of the request
		notDelivered bool
	}{
		"excluded": {lastStream: []byte{0, 0, 0, 0}, notDelivered: true},
		"taken":    {},
	} {
		t.Run(name, func(t *testing.T) {
			l, received := listenHTTP2(t, func(stream []byte) []byte {
				if c.lastStream != nil {
					return goAwayFrame(c.lastStream)
				}
				return goAwayFrame(stream)
			})
			defer l.Close()
			transport := NewTransport(nil)
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := AtMostOnceExecutionClient(l.Addr().String(), transport).SendExecute(ctx, &executepb.SendExecuteRequest{Key: "k"})
			require.Error(t, err)
			require.Equal(t, c.notDelivered, NotDelivered(err), "%v", err)
			require.Equal(t, int64(1), received.Load())
		})
	}
}
