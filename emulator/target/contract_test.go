package target_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	api "hyssopcroft.example/adapter/target"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/emulator/pipenet"
	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/query"
)

const (
	address     = "searcher:1"
	serviceTime = 10 * time.Millisecond
	timeLeft    = time.Second
)

// world is one searcher on a network of its own.
type world struct {
	searcher *target.Searcher
	host     *target.Host
	client   *api.Client
	network  *pipenet.Network
}

func config() target.Config {
	return target.Config{
		Target: query.Target{ID: "ledger-0-0", Index: "ledger", Shards: []query.Shard{0}},
		Slots:  1, QueueLimit: 1, ServiceTime: func() time.Duration { return serviceTime },
		Snapshots: []query.Version{1, 2},
		Rows:      []target.Row{{Shard: 0, ID: "a", Text: "washed jars"}, {Shard: 0, ID: "b", Text: "ward sign"}},
	}
}

// inWorld runs f in virtual time. Pings as in production find silent connections.
func inWorld(t *testing.T, cfg target.Config, limits target.HostConfig, f func(*testing.T, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{searcher: target.NewSearcher(cfg), network: pipenet.New()}
		limits.Listen = w.network.Listen
		w.host = target.NewHost(w.searcher, limits)
		_, err := w.host.Start(address)
		require.NoError(t, err)
		transport := api.NewTransport(100*time.Millisecond, 200*time.Millisecond)
		transport.DialContext = api.ObserveDial(w.network.DialContext)
		w.client = api.NewClient(transport)
		defer w.host.Stop()
		defer transport.CloseIdleConnections()
		f(t, w)
	})
}

func search(shard query.Shard, snapshot query.Version, text string) api.Search {
	return api.Search{
		Address: address, Request: 7, Attempt: 9, Index: "ledger", Shard: shard, Snapshot: snapshot,
		Query: text, Limit: 10, TimeLeft: timeLeft,
	}
}

// direct asks the stand-in without a connection, as the adapter would.
func direct(ctx context.Context, w *world, s api.Search) query.Reply {
	resp := w.searcher.Search(ctx, &targetpb.SearchRequest{
		RequestId: uint64(s.Request), AttemptId: uint64(s.Attempt), Index: s.Index, Shard: uint32(s.Shard),
		Snapshot: uint64(s.Snapshot), Query: s.Query, Limit: uint32(s.Limit),
		TimeLeftUs: uint32(max(0, s.TimeLeft.Microseconds())),
	})
	return api.ReplyOf(resp)
}

func viaAdapter(ctx context.Context, w *world, s api.Search) query.Reply {
	return w.client.Search(ctx, s)
}

// Guards against a stand-in and an adapter that differ in what they say of the same request.
func TestSearchContract(t *testing.T) {
	drain := func(w *world) { w.searcher.SetDraining(true) }
	split := func(w *world) {
		w.searcher.Hold(3, []query.Shard{4}, []target.Row{{Shard: 4, ID: "c", Text: "washed jars"}})
	}
	shed := func(w *world) { _ = w.searcher.SetFaults(target.Faults{ShedShare: 1}) }
	late := func(w *world) {
		_ = w.searcher.SetFaults(target.Faults{LateShare: 1, LateBy: 1e9})
	}
	short := search(0, 1, "jars")
	short.TimeLeft = serviceTime / 2
	negative := search(0, 1, "jars")
	negative.TimeLeft = -time.Second
	cases := []struct {
		name    string
		prepare func(*world)
		send    api.Search
		outcome query.Outcome
		hits    []string
		held    []query.Version
	}{
		{"answered", nil, search(0, 1, "jars"), query.OutcomeAnswered, []string{"a"}, []query.Version{1, 2}},
		{"answered without hits", nil, search(0, 2, "nothing"), query.OutcomeAnswered, nil, []query.Version{1, 2}},
		{"wrong shard", nil, search(5, 1, "jars"), query.OutcomeWrongShard, nil, []query.Version{1, 2}},
		{"snapshot gone", nil, search(0, 9, "jars"), query.OutcomeSnapshotGone, nil, []query.Version{1, 2}},
		{"draining", drain, search(0, 1, "jars"), query.OutcomeDraining, nil, []query.Version{1, 2}},
		{"shed", shed, search(0, 1, "jars"), query.OutcomeShed, nil, []query.Version{1, 2}},
		{"new shard after a split", split, search(4, 3, "jars"), query.OutcomeAnswered, []string{"c"}, []query.Version{1, 2, 3}},
		{"old shard after a split", split, search(0, 3, "jars"), query.OutcomeWrongShard, nil, []query.Version{1, 2, 3}},
		{"new shard at the old version", split, search(4, 1, "jars"), query.OutcomeWrongShard, nil, []query.Version{1, 2, 3}},
		{"deadline while running", nil, short, query.OutcomeAborted, nil, []query.Version{1, 2}},
		{"deadline passed before", nil, negative, query.OutcomeAborted, nil, []query.Version{1, 2}},
		{"late answer", late, search(0, 1, "jars"), query.OutcomeAnswered, []string{"a"}, []query.Version{1, 2}},
	}
	subjects := map[string]func(context.Context, *world, api.Search) query.Reply{"stand-in": direct, "adapter": viaAdapter}
	for _, c := range cases {
		for name, ask := range subjects {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				inWorld(t, config(), target.HostConfig{}, func(t *testing.T, w *world) {
					if c.prepare != nil {
						c.prepare(w)
					}
					r := ask(t.Context(), w, c.send)
					require.Equal(t, c.outcome, r.Outcome)
					require.Equal(t, c.held, r.HeldVersions)
					var hits []string
					for _, h := range r.Hits {
						hits = append(hits, h.ID)
					}
					require.Equal(t, c.hits, hits)
					require.Equal(t, [4]any{c.send.Request, c.send.Attempt, c.send.Shard, c.send.Snapshot},
						[4]any{r.Request, r.Attempt, r.Shard, r.Snapshot})
				})
			})
		}
	}
}

// Guards against a failure of the connection that is taken for "not run" (I4) or, where nothing
// crashed, for a crash (H7), and against an execute that runs twice (I5).
func TestTransportFailures(t *testing.T) {
	faults := func(w *world, f target.Faults) { _ = w.searcher.SetFaults(f) }
	cases := []struct {
		name     string
		limits   target.HostConfig
		prepare  func(context.Context, *world)
		patience time.Duration // until the client gives up
		search   query.Outcome
		execute  query.Outcome
		runs     int // of the execute
	}{
		{name: "no listener", search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			prepare: func(_ context.Context, w *world) { w.host.Stop() }},
		{name: "crash on the request", search: query.OutcomeCrashed, execute: query.OutcomeCrashed, runs: 1,
			prepare: func(_ context.Context, w *world) { faults(w, target.Faults{CrashOn: "jars"}) }},
		{name: "crash by another request", search: query.OutcomeCrashed, execute: query.OutcomeCrashed,
			prepare: func(_ context.Context, w *world) { time.AfterFunc(serviceTime/2, w.host.Crash) }},
		{name: "away after a crash", search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			prepare: func(_ context.Context, w *world) { w.host.Crash() }},
		{name: "silent connection", search: query.OutcomeUnknown, execute: query.OutcomeUnknown,
			prepare: func(ctx context.Context, w *world) {
				w.client.Search(ctx, search(0, 1, "sign"))
				w.host.Silence(1)
			}},
		{name: "connection goes silent in flight", search: query.OutcomeUnknown, execute: query.OutcomeUnknown, runs: 1,
			prepare: func(_ context.Context, w *world) { time.AfterFunc(serviceTime/2, func() { w.host.Silence(1) }) }},
		{name: "client gives up", search: query.OutcomeUnknown, execute: query.OutcomeUnknown, patience: serviceTime / 2},
		{name: "client gave up before", search: query.OutcomeNotRun, execute: query.OutcomeNotRun, patience: time.Nanosecond,
			prepare: func(context.Context, *world) { time.Sleep(time.Second) }},
		{
			// The connection ends before the client has written the request to it.
			name: "connection limit reached", limits: target.HostConfig{Connections: 1},
			search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			prepare: func(ctx context.Context, w *world) {
				c, err := w.network.DialContext(ctx, "", address)
				if err == nil {
					context.AfterFunc(ctx, func() { _ = c.Close() })
				}
				synctest.Wait()
			},
		},
		{
			name: "closed before the far end sent anything", search: query.OutcomeUnknown, execute: query.OutcomeUnknown,
			prepare: func(ctx context.Context, w *world) {
				w.host.Stop()
				l, _ := w.network.Listen(address)
				context.AfterFunc(ctx, func() { _ = l.Close() })
				go func() {
					c, _ := l.Accept()
					_ = c.SetReadDeadline(time.Now().Add(serviceTime))
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}()
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run := func(ask func(context.Context, *world) query.Outcome, want query.Outcome) {
				inWorld(t, config(), c.limits, func(t *testing.T, w *world) {
					ctx, cancel := context.WithCancel(t.Context())
					defer synctest.Wait()
					defer cancel()
					attempt := ctx
					if c.patience > 0 {
						var end context.CancelFunc
						attempt, end = context.WithTimeout(ctx, c.patience)
						defer end()
					}
					if c.prepare != nil {
						c.prepare(ctx, w)
					}
					require.Equal(t, want, ask(attempt, w))
				})
			}
			run(func(ctx context.Context, w *world) query.Outcome {
				return w.client.Search(ctx, search(0, 1, "jars")).Outcome
			}, c.search)
			run(func(ctx context.Context, w *world) query.Outcome {
				_, outcome := w.client.Execute(ctx, execution("k", "jars"))
				require.Equal(t, c.runs, w.searcher.Executed("k"))
				return outcome
			}, c.execute)
		})
	}
}

// answer returns the body of a whole answer to the search and to the execute below.
func answer(t *testing.T, text string) []byte {
	t.Helper()
	raw, err := proto.Marshal(&targetpb.SearchResponse{
		RequestId: 7, AttemptId: 9, Snapshot: 1, Outcome: targetpb.Outcome_OUTCOME_ANSWERED,
		Hits: []*targetpb.Hit{{Text: text}},
	})
	require.NoError(t, err)
	return raw
}

// Guards against a response that cannot be understood and yet counts as an answer (I2, I3).
func TestBadResponsesAreUnknown(t *testing.T) {
	const limit = 4 << 20
	body := func(raw []byte) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(raw) }
	}
	large := answer(t, strings.Repeat("x", limit))
	cases := map[string]http.HandlerFunc{
		"not protobuf":            body([]byte{0xff}),
		"answer and more":         body(append(answer(t, ""), 0xff)),
		"one byte over the limit": body(answer(t, strings.Repeat("x", 2*limit-len(large)+1))),
		"empty body":              body(nil),
		"error status":            func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"reset stream":            func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"body cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(make([]byte, 10))
		},
	}
	require.Len(t, answer(t, strings.Repeat("x", 2*limit-len(large)+1)), limit+1)
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, config(), target.HostConfig{}, func(t *testing.T, w *world) {
				w.host.Stop()
				l, err := w.network.Listen(address)
				require.NoError(t, err)
				server := target.NewHTTPServer(handler)
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				r := w.client.Search(t.Context(), search(0, 1, "jars"))
				require.Equal(t, query.OutcomeUnknown, r.Outcome)
				_, outcome := w.client.Execute(t.Context(), execution("k", "credit"))
				require.Equal(t, query.OutcomeUnknown, outcome)
			})
		})
	}
}

// Guards against a stand-in whose slots and queue do not bound what runs and waits.
func TestQueueBoundsWhatWaits(t *testing.T) {
	inWorld(t, config(), target.HostConfig{}, func(t *testing.T, w *world) {
		outcomes := make(chan query.Outcome, 3)
		start := time.Now()
		for range 3 {
			go func() { outcomes <- w.client.Search(t.Context(), search(0, 1, "jars")).Outcome }()
		}
		got := map[query.Outcome]int{}
		for range 3 {
			got[<-outcomes]++
		}
		require.Equal(t, map[query.Outcome]int{query.OutcomeAnswered: 2, query.OutcomeShed: 1}, got)
		require.Equal(t, 2*serviceTime, time.Since(start))
	})
}

// Guards against attempts that open a connection each to a target that has none yet, as before its
// first request or after a crash: targets limit their connections.
func TestConcurrentAttemptsShareOneConnection(t *testing.T) {
	cfg := config()
	cfg.Slots, cfg.QueueLimit = 10, 0
	inWorld(t, cfg, target.HostConfig{ConnectionCost: 6 * time.Millisecond}, func(t *testing.T, w *world) {
		for opened := range int64(2) {
			var wait sync.WaitGroup
			for range 10 {
				wait.Go(func() {
					assert.Equal(t, query.OutcomeAnswered, w.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
				})
			}
			wait.Wait()
			require.Equal(t, opened+1, w.searcher.Counter("connections_opened"))
			w.host.Crash()
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a cancellation that closes the connection, or leaves the slot taken.
func TestCancellationFreesTheSlotAndKeepsTheConnection(t *testing.T) {
	inWorld(t, config(), target.HostConfig{}, func(t *testing.T, w *world) {
		ctx, cancel := context.WithTimeout(t.Context(), serviceTime/2)
		defer cancel()
		require.Equal(t, query.OutcomeUnknown, w.client.Search(ctx, search(0, 1, "jars")).Outcome)
		synctest.Wait()
		start := time.Now()
		require.Equal(t, query.OutcomeAnswered, w.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
		require.Equal(t, serviceTime, time.Since(start))
		require.EqualValues(t, 1, w.searcher.Counter("connections_opened"))
		require.EqualValues(t, 1, w.searcher.Counter("aborted"))
	})
}

// Guards against a restarted searcher that is warm at once, and against one that stays away.
func TestCrashEndsAllStreamsAndRestartsCold(t *testing.T) {
	cfg := config()
	cfg.Slots, cfg.ColdRequests, cfg.ColdFactor = 2, 1, 5
	inWorld(t, cfg, target.HostConfig{}, func(t *testing.T, w *world) {
		require.True(t, w.client.Search(t.Context(), search(0, 1, "jars")).Cold)
		require.False(t, w.client.Search(t.Context(), search(0, 1, "jars")).Cold)
		require.NoError(t, w.searcher.SetFaults(target.Faults{CrashOn: "poison"}))
		bystander := make(chan query.Outcome, 1)
		go func() { bystander <- w.client.Search(t.Context(), search(0, 1, "jars")).Outcome }()
		time.Sleep(serviceTime / 2)
		require.Equal(t, query.OutcomeCrashed, w.client.Search(t.Context(), search(0, 1, "poison")).Outcome)
		require.Equal(t, query.OutcomeCrashed, <-bystander)
		time.Sleep(2 * time.Second)
		start := time.Now()
		require.True(t, w.client.Search(t.Context(), search(0, 1, "jars")).Cold)
		require.Equal(t, 5*serviceTime, time.Since(start))
	})
}

// Guards against crossed answers that pass for the answer to another request (I3), and against a
// stand-in whose account of itself cannot be wrong.
func TestCrossedAnswersAndMisleadingInfo(t *testing.T) {
	inWorld(t, config(), target.HostConfig{}, func(t *testing.T, w *world) {
		healthy, load := true, 0.0
		require.NoError(t, w.searcher.SetFaults(target.Faults{CrossedShare: 1, InfoHealthy: &healthy, InfoLoad: &load}))
		_, outcome := w.client.Execute(t.Context(), execution("first", ""))
		require.Equal(t, query.OutcomeAnswered, outcome)
		_, outcome = w.client.Execute(t.Context(), execution("second", ""))
		require.Equal(t, query.OutcomeUnknown, outcome)
		w.client.Search(t.Context(), search(0, 1, "jars"))
		other := search(0, 1, "sign")
		other.Attempt++
		require.NotEqual(t, other.Attempt, w.client.Search(t.Context(), other).Attempt)
		w.searcher.SetDraining(true)
		info, err := w.client.Info(t.Context(), address)
		require.NoError(t, err)
		require.Equal(t, api.Info{Target: "ledger-0-0", Healthy: true, Draining: true, HeldVersions: []query.Version{1, 2}}, info)
	})
}

// Guards against a silent connection that stops new ones from working (H8).
func TestNewConnectionWorksBesideSilentOne(t *testing.T) {
	inWorld(t, config(), target.HostConfig{Connections: 2, ConnectionCost: 6 * time.Millisecond}, func(t *testing.T, w *world) {
		start := time.Now()
		require.Equal(t, query.OutcomeAnswered, w.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
		require.Equal(t, serviceTime+6*time.Millisecond, time.Since(start))
		require.Equal(t, 1, w.host.Silence(1))
		require.Equal(t, query.OutcomeUnknown, w.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
		require.Equal(t, query.OutcomeAnswered, w.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
	})
}

func execution(key, body string) api.Execution {
	return api.Execution{Address: address, Key: key, Attempt: 9, Index: "ledger", Body: []byte(body), TimeLeft: timeLeft}
}
