package peer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query/routing"
)

// serveRelay serves a relay over unencrypted HTTP/2, as instances do, and returns its address.
func serveRelay(t *testing.T, r relaypb.Relay) string {
	t.Helper()
	mux := http.NewServeMux()
	path, handler := peer.RelayHandler(r)
	mux.Handle(path, peer.ConfirmForwarded(handler))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a field of a forwarded request or of its response that is lost on the way, and against a relay that
// confirms a request only once it has run it.
func TestForwardRoundTrip(t *testing.T) {
	want := peer.ForwardedRequest{
		ID: "id", Caller: "1.2.3.4:5", Method: "POST", Target: "/a/b?c", Path: "/a/b", Host: "h",
		Header: http.Header{"X": {"1", "2"}, "Y": {"3"}}, Body: []byte("body"), RoutesVersion: 7,
		Route: routing.Route{
			Name: "r", Gather: true, Repeatable: true, Services: []string{"s", "t"}, MaxAttempts: 2, Timeout: time.Second,
			Objective: 100 * time.Millisecond, Rank: 1, Limit: 10, MinCoverage: 0.85,
		},
		TimeLeft: 800 * time.Millisecond, Elapsed: 2 * time.Millisecond, ReturnTime: 4 * time.Millisecond, SpentAttempts: 1,
	}
	for _, answer := range []peer.ForwardedResponse{
		{Outcome: peer.ForwardMerged, Records: []byte("records"), Signatures: []string{"a", "b"}, Missing: 1},
		{Outcome: peer.ForwardRefused, RetryAfter: 30 * time.Millisecond, Reason: "busy"},
		{Outcome: peer.ForwardFailed, Reason: "short"},
		{Outcome: peer.ForwardTimedOut, Reason: "late"},
		{Outcome: peer.ForwardUnavailable, Reason: "leaving"},
	} {
		confirmed := make(chan struct{})
		address := serveRelay(t, fakeRelay{forward: func(r *relaypb.ForwardRequest) *relaypb.ForwardResponse {
			<-confirmed // The request runs only once its sender has the confirmation.
			got := peer.ForwardedRequestFromWire(r)
			require.ElementsMatch(t, want.Header["X"], got.Header["X"])
			got.Header = want.Header
			require.Equal(t, want, got)
			return peer.ForwardedResponseToWire(answer)
		}})
		client := peer.NewRelayClient(peer.NewTransport(nil))
		require.Equal(t, answer, client.Forward(t.Context(), address, want, func() { close(confirmed) }))
	}
}

// Guards against a response that says "not run" of a request that may have run.
func TestForwardFailures(t *testing.T) {
	client := peer.NewRelayClient(peer.NewTransport(nil))
	none := func() {}
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	require.Equal(t, peer.ForwardUnavailable, client.Forward(t.Context(), unreachable.Listener.Addr().String(), peer.ForwardedRequest{}, none).Outcome)

	address := serveRelay(t, fakeRelay{forward: func(*relaypb.ForwardRequest) *relaypb.ForwardResponse {
		panic(http.ErrAbortHandler) // The relay breaks off.
	}})
	require.Equal(t, peer.ForwardLost, client.Forward(t.Context(), address, peer.ForwardedRequest{}, none).Outcome)

	address = serveRelay(t, fakeRelay{forward: func(*relaypb.ForwardRequest) *relaypb.ForwardResponse {
		return &relaypb.ForwardResponse{Outcome: 99, Records: []byte("an outcome of a later version")}
	}})
	require.Equal(t, peer.ForwardLost, client.Forward(t.Context(), address, peer.ForwardedRequest{}, none).Outcome)
}
