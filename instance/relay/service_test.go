package relay_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/instance/relay"
	"hyssopcroft.example/kernel/counters"
)

type backend struct{ runs int }

func (b *backend) RunGroup(context.Context, peer.GroupRequest) peer.GroupResponse {
	b.runs++
	return peer.GroupResponse{}
}

func (b *backend) OnSuspicion(peer.Suspicion) {}

func (b *backend) OnDrainingReport(peer.DrainingReport) {}

func (b *backend) RunForwarded(context.Context, peer.ForwardedRequest) peer.ForwardedResponse {
	return peer.ForwardedResponse{}
}

// Guards against a leaving instance that runs a group although it refuses new work, and against a refusal whose outcome
// does not exclude that the group ran.
func TestLeavingRelayRefusesGroups(t *testing.T) {
	b := &backend{}
	s := relay.New(b, counters.NewSet())
	admitted, ended := true, 0
	s.UseDrain(func() bool { return admitted }, func() { ended++ })
	_, err := s.ScatterGroup(t.Context(), &relaypb.GroupRequest{AttemptId: 3})
	require.NoError(t, err)
	admitted = false
	resp, err := s.ScatterGroup(t.Context(), &relaypb.GroupRequest{AttemptId: 4})
	require.NoError(t, err)
	require.Equal(t, relaypb.Outcome_OUTCOME_DRAINING, resp.Outcome)
	require.Equal(t, uint64(4), resp.AttemptId)
	require.Equal(t, [2]int{1, 1}, [2]int{b.runs, ended})
}
