package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query/quarantine"
)

// suspicionReceiver keeps the suspicion that it receives.
type suspicionReceiver struct {
	fakeRelay
	got *peer.Suspicion
}

func (r suspicionReceiver) Suspect(_ context.Context, req *relaypb.SuspectRequest) (*relaypb.SuspectResponse, error) {
	*r.got = peer.SuspicionFromWire(req)
	return &relaypb.SuspectResponse{}, nil
}

// Guards against a field of a crash that is lost in transit, so that the receiver counts crashes of one moment separately.
func TestSuspicionRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := peer.Suspicion{Reporter: "i", Fingerprint: 1, Shape: 2, Hops: 3, Answered: time.Now().Add(-time.Second), Crashes: []quarantine.Crash{
			{Shard: 4, Target: "a", At: time.Now(), Submission: 5}, {Target: "d", At: time.Now(), Submission: 6, Began: time.Now().Add(-time.Minute), Shared: true}, {Target: "b", At: time.Now().Add(-time.Minute)}, {Target: "c"},
		}}
		var got peer.Suspicion
		_, handler := peer.RelayHandler(suspicionReceiver{got: &got})
		client := peer.NewRelayClient(roundTripper(func(r *http.Request) (*http.Response, error) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			return w.Result(), nil
		}))
		require.NoError(t, client.ReportSuspicion(t.Context(), "peer:1", want))
		require.Len(t, got.Crashes, 4)
		for i := range got.Crashes {
			require.WithinDuration(t, want.Crashes[i].At, got.Crashes[i].At, time.Microsecond)
			require.WithinDuration(t, want.Crashes[i].Began, got.Crashes[i].Began, time.Microsecond)
			want.Crashes[i].At, got.Crashes[i].At = time.Time{}, time.Time{}
			want.Crashes[i].Began, got.Crashes[i].Began = time.Time{}, time.Time{}
		}
		require.WithinDuration(t, want.Answered, got.Answered, time.Microsecond)
		want.Answered, got.Answered = time.Time{}, time.Time{}
		require.Equal(t, want, got)
	})
}
