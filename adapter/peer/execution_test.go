package peer

import (
	"net"
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
