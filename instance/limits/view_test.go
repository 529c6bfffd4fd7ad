package limits

import (
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// memberList is a fleet.
type memberList []membership.Member

func (l *memberList) Members() []membership.Member { return *l }

// leaseStore is a store that accepts each write, and records the names of the objects.
type leaseStore struct {
	mu      sync.Mutex // guards written
	written []string
}

// RoundTrip implements http.RoundTripper.
func (l *leaseStore) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = append(l.written, path.Base(r.URL.Path))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(`{"version":1}`)), Request: r}, nil
}

// Guards against searches that are refused within their plan's limit in the first seconds of a fleet: an instance whose view
// is older than the start of the others acquires their leases too. It releases them at the next check, and their new holders
// let no loan grow for two seconds.
func TestLeasesFollowTheMembersAtPresent(t *testing.T) {
	first, second := membership.Member{ID: "a", State: membership.Live}, membership.Member{ID: "b", State: membership.Live}
	members, store := memberList{first}, &leaseStore{}
	s := New(Config{
		Instance: first.ID, Client: platform.NewClient("http://store", store, nil), Members: &members, Ring: timeline.NewRing("a", 100, hlc.New(time.Now)),
		Counters: counters.NewSet(),
	})
	require.Equal(t, 1, s.view().memberCount())
	members = memberList{first, second}
	s.checkLeases(t.Context())
	var want []string
	for i := range bucketCount {
		if chooseLender(i, []string{first.ID, second.ID}) == first.ID {
			want = append(want, fmt.Sprintf("share-%d", i))
		}
	}
	require.ElementsMatch(t, want, store.written)
}

// BenchmarkView measures the CPU time of computing a view of a fleet of 780 instances, the target size.
func BenchmarkView(b *testing.B) {
	members := make([]membership.Member, 780)
	for i := range members {
		id := fmt.Sprintf("instance-%d", i)
		members[i] = membership.Member{ID: id, Address: id, State: membership.Live}
	}
	b.ReportAllocs()
	for b.Loop() {
		newView(time.Time{}, members)
	}
}
