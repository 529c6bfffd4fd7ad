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

// Guards against states and reasons that mean something else after a forward.
func TestAnswerSurvivesTheWire(t *testing.T) {
	for state := claim.Running; state <= claim.Unknown; state++ {
		for reason := claim.ReasonRecorded; reason <= claim.ReasonAhead; reason++ {
			a := claim.Answer{State: state, Reason: reason, Result: "r", Omitted: true, Repeated: true}
			require.Equal(t, a, AnswerFromWire(AnswerToWire(a)))
		}
	}
	require.Equal(t, executepb.State_STATE_NOT_RUN, AnswerToWire(claim.Answer{State: claim.NotRun}).State)
	require.Equal(t, executepb.Reason_REASON_REPLACED, AnswerToWire(claim.Answer{Reason: claim.ReasonReplaced}).Reason)
}

// Guards against an answer of a newer or faulty peer that is taken for a promise.
func TestUnknownStateOnTheWireIsUnknown(t *testing.T) {
	for _, state := range []executepb.State{executepb.State_STATE_UNSPECIFIED, executepb.State_STATE_NOT_WRITER, 99, -1} {
		a := AnswerFromWire(&executepb.ForwardExecuteResponse{State: state, Reason: 99})
		require.Equal(t, claim.Unknown, a.State, state)
		require.Equal(t, claim.ReasonRecorded, a.Reason)
	}
}

// Guards against a forward that is repeated although the peer may have got it.
func TestOnlyAFailureToConnectProvesThatNothingWasDelivered(t *testing.T) {
	require.True(t, NotDelivered(errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "forward")))
	require.False(t, NotDelivered(&net.OpError{Op: "read", Err: errors.New("reset")}))
	require.False(t, NotDelivered(errors.New("deadline exceeded")))
}

// resetStreams speaks enough HTTP/2 to take requests and to end each with the reset code PROTOCOL_ERROR,
// after which net/http sends a request again if it can. It counts the requests.
func resetStreams(c net.Conn, taken *atomic.Int64) {
	const (
		frameData, frameReset, frameSettings = 0x0, 0x3, 0x4
		flagEndStream                        = 0x1
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
			taken.Add(1)
			reset := append([]byte{0, 0, 4, frameReset, 0}, header[5:9]...)
			_, _ = c.Write(append(reset, 0, 0, 0, 1)) // as above
		}
	}
}

// Guards against a claimed request that the transport sends a second time after a peer took it, and
// against a refused connection that counts as delivered.
func TestSendExecuteIsDeliveredAtMostOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var taken atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go resetStreams(c, &taken)
		}
	}()
	transport := NewTransport(nil)
	client := SendExecuteClient(l.Addr().String(), transport)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second) // ends a transport that repeats itself
	defer cancel()
	_, err = client.SendExecute(ctx, &executepb.SendExecuteRequest{Key: "k"})
	require.Error(t, err)
	require.False(t, NotDelivered(err))
	require.Equal(t, int64(1), taken.Load())
	transport.CloseIdleConnections()
	require.NoError(t, l.Close())
	_, err = SendExecuteClient(l.Addr().String(), NewTransport(nil)).SendExecute(t.Context(), &executepb.SendExecuteRequest{Key: "k"})
	require.True(t, NotDelivered(err), "%v", err)
}
