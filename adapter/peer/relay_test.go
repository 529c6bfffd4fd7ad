package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/snapshot"
)

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

type fakeRelay struct {
	respond func(*relaypb.GroupRequest) *relaypb.GroupResponse
	forward func(*relaypb.ForwardRequest) *relaypb.ForwardResponse
}

func (r fakeRelay) Forward(_ context.Context, req *relaypb.ForwardRequest) (*relaypb.ForwardResponse, error) {
	return r.forward(req), nil
}

func (r fakeRelay) ScatterGroup(_ context.Context, req *relaypb.GroupRequest) (*relaypb.GroupResponse, error) {
	return r.respond(req), nil
}

func (r fakeRelay) Draining(context.Context, *relaypb.DrainingRequest) (*relaypb.DrainingResponse, error) {
	return &relaypb.DrainingResponse{}, nil
}

func (r fakeRelay) Suspect(context.Context, *relaypb.SuspectRequest) (*relaypb.SuspectResponse, error) {
	return &relaypb.SuspectResponse{}, nil
}

var groupRequest = peer.GroupRequest{
	Request: 1, Attempt: 2, Index: "ledger", Snapshot: 3, Shards: []query.Shard{4, 5}, Query: "jars", Limit: 6,
	TimeLeft: 7 * time.Millisecond, Plan: "counter", Priority: "high", Canary: true, Cleared: true,
}

// Guards against a field of a request or a response that is lost or changed in transit.
func TestGroupRoundTrip(t *testing.T) {
	want := peer.GroupResponse{
		Reply: group.Reply{Attempt: 2, Outcome: query.OutcomeAnswered, Answer: query.Answer{
			Request: 1, Index: "ledger", Snapshot: 3, Hits: []query.Hit{{ID: "a", Score: 0.5, Text: "b"}},
			Coverage: query.Coverage{Included: []query.Shard{4}, Missing: []query.MissingShard{{Shard: 5, Cause: query.CauseShed}}},
		}},
		Versions: snapshot.Report{Valid: true, Held: []query.Version{2, 3}, Ready: []query.Version{3}}, Took: time.Millisecond,
	}
	prefix, handler := peer.RelayHandler(fakeRelay{respond: func(req *relaypb.GroupRequest) *relaypb.GroupResponse {
		require.Equal(t, groupRequest, peer.GroupRequestFromWire(req))
		return peer.GroupResponseToWire(want)
	}})
	client := peer.NewRelayClient(roundTripper(func(r *http.Request) (*http.Response, error) {
		require.Contains(t, r.URL.Path, prefix)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Result(), nil
	}))
	require.Equal(t, want, client.Scatter(t.Context(), "relay:1", groupRequest))
}

// Guards against OutcomeNotRun for a request that the relay may have run, and against OutcomeUnknown for one that
// did not reach the relay.
func TestOutcomeOfFailedCall(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		handler http.HandlerFunc
		want    query.Outcome
	}{
		{"cannot connect", &net.OpError{Op: "dial", Err: net.ErrClosed}, nil, query.OutcomeNotRun},
		{"no such service", nil, http.NotFound, query.OutcomeNotRun},
		{"connection lost", io.ErrUnexpectedEOF, nil, query.OutcomeUnknown},
		{"read failed", &net.OpError{Op: "read", Err: net.ErrClosed}, nil, query.OutcomeUnknown},
		{"internal error", nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, query.OutcomeUnknown},
		{"garbage", nil, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0xff}) }, query.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := peer.NewRelayClient(roundTripper(func(r *http.Request) (*http.Response, error) {
				if c.err != nil {
					return nil, c.err
				}
				w := httptest.NewRecorder()
				c.handler(w, r)
				return w.Result(), nil
			}))
			p := client.Scatter(t.Context(), "relay:1", groupRequest)
			require.Equal(t, c.want, p.Outcome)
			require.Equal(t, groupRequest.Attempt, p.Attempt)
		})
	}
}
