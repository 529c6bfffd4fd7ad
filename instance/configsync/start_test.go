package configsync_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/configsync"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/hlc"
	"hyssopcroft.example/kernel/timeline"
)

// slowStore answers each read after the time of a distant store.
type slowStore struct{ answer time.Duration }

func (s slowStore) Watch(ctx context.Context, _ platform.Purpose, kind string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	if after > 0 {
		<-ctx.Done()
		return platform.Changes{}, ctx.Err()
	}
	time.Sleep(s.answer)
	return platform.Changes{Revision: 1, Objects: []platform.Object{{Kind: kind, Name: "current", Version: 1, Data: []byte("1")}}}, nil
}

type alone struct{ self membership.Member }

func (a alone) Members() []membership.Member { return []membership.Member{a.self} }
func (a alone) Self() membership.Member      { return a.self }
func (alone) Transport() http.RoundTripper   { return http.DefaultTransport }
func (alone) ConfigChanged()                 {}

type taken struct {
	Kind string `json:"kind"`
}

func (taken) Topic() string { return "taken" }

// Guards against a start that reads one kind of objects after the other while requests wait for the last.
func TestStartReadsAllKindsSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answer = 60 * time.Millisecond
		schema := configsync.Schema{
			Kinds: []string{"routes", "targets", "more"}, Required: "routes", WatchWait: time.Second,
			Decode: func(o config.Object) (kernel.Event, string, error) { return taken{Kind: o.Key.Kind}, o.Key.Kind, nil },
		}
		bus := kernel.NewBus()
		ring := timeline.NewRing("i", 64, hlc.New(time.Now))
		s := configsync.NewOf(schema, slowStore{answer}, bus, ring, slog.New(slog.DiscardHandler), counters.NewSet())
		s.Bind(alone{membership.Member{ID: "i", FailureDomain: "d", State: membership.Live}})
		require.NoError(t, s.Start(t.Context()))
		time.Sleep(answer)
		synctest.Wait()
		require.True(t, s.Ready())
		require.NoError(t, s.Stop(t.Context()))
		require.NoError(t, bus.Close())
	})
}
