package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

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

// Guards against a claimed request that the transport sends a second time after a peer took it and
// went away, and against a refused connection that counts as delivered.
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
			if n, _ := io.ReadAtLeast(c, make([]byte, 1<<16), 24); n > 0 { // the preface of HTTP/2
				taken.Add(1)
			}
			_ = c.Close() // the peer goes away
		}
	}()
	transport := NewTransport(nil)
	defer transport.CloseIdleConnections()
	client := SendExecuteClient(l.Addr().String(), transport)
	_, err = client.SendExecute(context.Background(), &executepb.SendExecuteRequest{Key: "k"})
	require.Error(t, err)
	require.False(t, NotDelivered(err))
	require.Equal(t, int64(1), taken.Load())
	require.NoError(t, l.Close())
	_, err = client.SendExecute(context.Background(), &executepb.SendExecuteRequest{Key: "k"})
	require.True(t, NotDelivered(err), "%v", err)
}
