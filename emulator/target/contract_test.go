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

// harness is one searcher and a client on an in-memory network.
type harness struct {
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

// withHarness runs f in virtual time. The client pings at the production intervals, so that it detects
// silent connections.
func withHarness(t *testing.T, cfg target.Config, hostCfg target.HostConfig, f func(*testing.T, *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{searcher: target.NewSearcher(cfg), network: pipenet.New()}
		hostCfg.Listen = h.network.Listen
		h.host = target.NewHost(h.searcher, hostCfg)
		_, err := h.host.Start(address)
		require.NoError(t, err)
		transport := api.NewTransport(100*time.Millisecond, 200*time.Millisecond)
		transport.DialContext = api.ObserveDial(h.network.DialContext)
		h.client = api.NewClient(transport)
		defer h.host.Stop()
		defer transport.CloseIdleConnections()
		f(t, h)
	})
}

func search(shard query.Shard, snapshot query.Version, text string) api.Search {
	return api.Search{
		Address: address, Request: 7, Attempt: 9, Index: "ledger", Shard: shard, Snapshot: snapshot,
		Query: text, Limit: 10, TimeLeft: timeLeft,
	}
}

// searchDirect passes the adapter's request to the stand-in without a connection.
func searchDirect(ctx context.Context, h *harness, s api.Search) query.Reply {
	resp := h.searcher.Search(ctx, &targetpb.SearchRequest{
		RequestId: uint64(s.Request), AttemptId: uint64(s.Attempt), Index: s.Index, Shard: uint32(s.Shard),
		Snapshot: uint64(s.Snapshot), Query: s.Query, Limit: uint32(s.Limit),
		TimeLeftUs: uint32(max(0, s.TimeLeft.Microseconds())),
	})
	return api.ReplyOf(resp)
}

func searchViaAdapter(ctx context.Context, h *harness, s api.Search) query.Reply {
	return h.client.Search(ctx, s)
}

// Guards against different replies to the same request from the stand-in and through the adapter.
func TestSearchContract(t *testing.T) {
	drain := func(h *harness) { h.searcher.SetDraining(true) }
	split := func(h *harness) {
		h.searcher.AddSnapshot(3, []query.Shard{4}, []target.Row{{Shard: 4, ID: "c", Text: "washed jars"}})
	}
	shed := func(h *harness) { _ = h.searcher.SetFaults(target.Faults{ShedShare: 1}) }
	late := func(h *harness) {
		_ = h.searcher.SetFaults(target.Faults{LateShare: 1, LateBy: 1e9})
	}
	shortDeadline := search(0, 1, "jars")
	shortDeadline.TimeLeft = serviceTime / 2
	pastDeadline := search(0, 1, "jars")
	pastDeadline.TimeLeft = -time.Second
	cases := []struct {
		name     string
		prepare  func(*harness)
		req      api.Search
		outcome  query.Outcome
		hits     []string
		versions []query.Version
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
		{"deadline while running", nil, shortDeadline, query.OutcomeAborted, nil, []query.Version{1, 2}},
		{"deadline passed on arrival", nil, pastDeadline, query.OutcomeAborted, nil, []query.Version{1, 2}},
		{"late answer", late, search(0, 1, "jars"), query.OutcomeAnswered, []string{"a"}, []query.Version{1, 2}},
	}
	implementations := map[string]func(context.Context, *harness, api.Search) query.Reply{
		"stand-in": searchDirect, "adapter": searchViaAdapter,
	}
	for _, c := range cases {
		for name, call := range implementations {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
					if c.prepare != nil {
						c.prepare(h)
					}
					r := call(t.Context(), h, c.req)
					require.Equal(t, c.outcome, r.Outcome)
					require.Equal(t, c.versions, r.HeldVersions)
					var hits []string
					for _, hit := range r.Hits {
						hits = append(hits, hit.ID)
					}
					require.Equal(t, c.hits, hits)
					require.Equal(t, [4]any{c.req.Request, c.req.Attempt, c.req.Shard, c.req.Snapshot},
						[4]any{r.Request, r.Attempt, r.Shard, r.Snapshot})
				})
			})
		}
	}
}

// Guards against a connection failure that is reported as "not run" although the request may have run
// (I4) or as a crash although nothing crashed (H7), and against an execute that runs twice (I5).
func TestTransportFailures(t *testing.T) {
	setFaults := func(h *harness, f target.Faults) { _ = h.searcher.SetFaults(f) }
	cases := []struct {
		name          string
		hostCfg       target.HostConfig
		prepare       func(context.Context, *harness)
		clientTimeout time.Duration // 0 means no timeout
		search        query.Outcome
		execute       query.Outcome
		runs          int // executions of the execute request
	}{
		{name: "no listener", search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			prepare: func(_ context.Context, h *harness) { h.host.Stop() }},
		{name: "crash on the request", search: query.OutcomeCrashed, execute: query.OutcomeCrashed, runs: 1,
			prepare: func(_ context.Context, h *harness) { setFaults(h, target.Faults{CrashOn: "jars"}) }},
		{name: "crash by another request", search: query.OutcomeCrashed, execute: query.OutcomeCrashed,
			prepare: func(_ context.Context, h *harness) { time.AfterFunc(serviceTime/2, h.host.Crash) }},
		{name: "down after a crash", search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			prepare: func(_ context.Context, h *harness) { h.host.Crash() }},
		{name: "silent connection", search: query.OutcomeUnknown, execute: query.OutcomeUnknown,
			prepare: func(ctx context.Context, h *harness) {
				h.client.Search(ctx, search(0, 1, "sign"))
				h.host.Silence(1)
			}},
		{name: "connection goes silent in flight", search: query.OutcomeUnknown, execute: query.OutcomeUnknown, runs: 1,
			prepare: func(_ context.Context, h *harness) { time.AfterFunc(serviceTime/2, func() { h.host.Silence(1) }) }},
		{name: "client timeout in flight", search: query.OutcomeUnknown, execute: query.OutcomeUnknown,
			clientTimeout: serviceTime / 2},
		{name: "client timeout before the request", search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			clientTimeout: time.Nanosecond, prepare: func(context.Context, *harness) { time.Sleep(time.Second) }},
		{
			// The host closes the connection before the client has written the request.
			name: "connection limit reached", hostCfg: target.HostConfig{Connections: 1},
			search: query.OutcomeNotRun, execute: query.OutcomeNotRun,
			prepare: func(ctx context.Context, h *harness) {
				c, err := h.network.DialContext(ctx, "", address)
				if err == nil {
					context.AfterFunc(ctx, func() { _ = c.Close() })
				}
				synctest.Wait()
			},
		},
		{
			name: "closed before the server sent anything", search: query.OutcomeUnknown, execute: query.OutcomeUnknown,
			prepare: func(ctx context.Context, h *harness) {
				h.host.Stop()
				l, _ := h.network.Listen(address)
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
			check := func(call func(context.Context, *harness) query.Outcome, want query.Outcome) {
				withHarness(t, config(), c.hostCfg, func(t *testing.T, h *harness) {
					ctx, cancel := context.WithCancel(t.Context())
					defer synctest.Wait()
					defer cancel()
					attemptCtx := ctx
					if c.clientTimeout > 0 {
						var cancelAttempt context.CancelFunc
						attemptCtx, cancelAttempt = context.WithTimeout(ctx, c.clientTimeout)
						defer cancelAttempt()
					}
					if c.prepare != nil {
						c.prepare(ctx, h)
					}
					require.Equal(t, want, call(attemptCtx, h))
				})
			}
			check(func(ctx context.Context, h *harness) query.Outcome {
				return h.client.Search(ctx, search(0, 1, "jars")).Outcome
			}, c.search)
			check(func(ctx context.Context, h *harness) query.Outcome {
				_, outcome := h.client.Execute(ctx, execution("k", "jars"))
				require.Equal(t, c.runs, h.searcher.Executions("k"))
				return outcome
			}, c.execute)
		})
	}
}

// marshalAnswer returns an encoded response that is valid for both requests of
// TestBadResponsesAreUnknown.
func marshalAnswer(t *testing.T, text string) []byte {
	t.Helper()
	raw, err := proto.Marshal(&targetpb.SearchResponse{
		RequestId: 7, AttemptId: 9, Snapshot: 1, Outcome: targetpb.Outcome_OUTCOME_ANSWERED,
		Hits: []*targetpb.Hit{{Text: text}},
	})
	require.NoError(t, err)
	return raw
}

// Guards against an invalid response that is accepted as an answer (I2, I3).
func TestBadResponsesAreUnknown(t *testing.T) {
	const maxResponseBytes = 4 << 20
	body := func(raw []byte) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(raw) }
	}
	large := marshalAnswer(t, strings.Repeat("x", maxResponseBytes))
	cases := map[string]http.HandlerFunc{
		"not protobuf":            body([]byte{0xff}),
		"byte after the answer":   body(append(marshalAnswer(t, ""), 0xff)),
		"one byte over the limit": body(marshalAnswer(t, strings.Repeat("x", 2*maxResponseBytes-len(large)+1))),
		"empty body":              body(nil),
		"error status":            func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"reset stream":            func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"body cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(make([]byte, 10))
		},
	}
	require.Len(t, marshalAnswer(t, strings.Repeat("x", 2*maxResponseBytes-len(large)+1)), maxResponseBytes+1)
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
				h.host.Stop()
				l, err := h.network.Listen(address)
				require.NoError(t, err)
				server := target.NewHTTPServer(handler)
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				r := h.client.Search(t.Context(), search(0, 1, "jars"))
				require.Equal(t, query.OutcomeUnknown, r.Outcome)
				_, outcome := h.client.Execute(t.Context(), execution("k", "credit"))
				require.Equal(t, query.OutcomeUnknown, outcome)
			})
		})
	}
}

// Guards against a stand-in that runs more requests than it has slots or queues more than QueueLimit.
func TestQueueLimitBoundsWaitingRequests(t *testing.T) {
	withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
		outcomes := make(chan query.Outcome, 3)
		start := time.Now()
		for range 3 {
			go func() { outcomes <- h.client.Search(t.Context(), search(0, 1, "jars")).Outcome }()
		}
		got := map[query.Outcome]int{}
		for range 3 {
			got[<-outcomes]++
		}
		require.Equal(t, map[query.Outcome]int{query.OutcomeAnswered: 2, query.OutcomeShed: 1}, got)
		require.Equal(t, 2*serviceTime, time.Since(start))
	})
}

// Guards against concurrent attempts that each open a connection to a target without one, before the
// first request or after a crash. Targets limit their connections.
func TestConcurrentAttemptsShareOneConnection(t *testing.T) {
	cfg := config()
	cfg.Slots, cfg.QueueLimit = 10, 0
	withHarness(t, cfg, target.HostConfig{ConnectionCost: 6 * time.Millisecond}, func(t *testing.T, h *harness) {
		for opened := range int64(2) {
			var wg sync.WaitGroup
			for range 10 {
				wg.Go(func() {
					assert.Equal(t, query.OutcomeAnswered, h.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
				})
			}
			wg.Wait()
			require.Equal(t, opened+1, h.searcher.Counter("connections_opened"))
			h.host.Crash()
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a cancellation that closes the connection or does not free the slot.
func TestCancellationFreesTheSlotAndKeepsTheConnection(t *testing.T) {
	withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
		ctx, cancel := context.WithTimeout(t.Context(), serviceTime/2)
		defer cancel()
		require.Equal(t, query.OutcomeUnknown, h.client.Search(ctx, search(0, 1, "jars")).Outcome)
		synctest.Wait()
		start := time.Now()
		require.Equal(t, query.OutcomeAnswered, h.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
		require.Equal(t, serviceTime, time.Since(start))
		require.EqualValues(t, 1, h.searcher.Counter("connections_opened"))
		require.EqualValues(t, 1, h.searcher.Counter("aborted"))
	})
}

// Guards against a searcher that does not restart after a crash, or that restarts warm.
func TestCrashEndsAllStreamsAndRestartsCold(t *testing.T) {
	cfg := config()
	cfg.Slots, cfg.ColdRequests, cfg.ColdFactor = 2, 1, 5
	withHarness(t, cfg, target.HostConfig{}, func(t *testing.T, h *harness) {
		require.True(t, h.client.Search(t.Context(), search(0, 1, "jars")).Cold)
		require.False(t, h.client.Search(t.Context(), search(0, 1, "jars")).Cold)
		require.NoError(t, h.searcher.SetFaults(target.Faults{CrashOn: "poison"}))
		concurrent := make(chan query.Outcome, 1)
		go func() { concurrent <- h.client.Search(t.Context(), search(0, 1, "jars")).Outcome }()
		time.Sleep(serviceTime / 2)
		require.Equal(t, query.OutcomeCrashed, h.client.Search(t.Context(), search(0, 1, "poison")).Outcome)
		require.Equal(t, query.OutcomeCrashed, <-concurrent)
		time.Sleep(2 * time.Second)
		start := time.Now()
		require.True(t, h.client.Search(t.Context(), search(0, 1, "jars")).Cold)
		require.Equal(t, 5*serviceTime, time.Since(start))
	})
}

// Guards against a crossed answer that is accepted for another request (I3), and against info faults
// that do not change the reported status.
func TestCrossedAnswersAndMisleadingInfo(t *testing.T) {
	withHarness(t, config(), target.HostConfig{}, func(t *testing.T, h *harness) {
		healthy, load := true, 0.0
		require.NoError(t, h.searcher.SetFaults(target.Faults{CrossedShare: 1, InfoHealthy: &healthy, InfoLoad: &load}))
		_, outcome := h.client.Execute(t.Context(), execution("first", ""))
		require.Equal(t, query.OutcomeAnswered, outcome)
		_, outcome = h.client.Execute(t.Context(), execution("second", ""))
		require.Equal(t, query.OutcomeUnknown, outcome)
		h.client.Search(t.Context(), search(0, 1, "jars"))
		other := search(0, 1, "sign")
		other.Attempt++
		require.NotEqual(t, other.Attempt, h.client.Search(t.Context(), other).Attempt)
		h.searcher.SetDraining(true)
		info, err := h.client.Info(t.Context(), address)
		require.NoError(t, err)
		require.Equal(t, api.Info{Target: "ledger-0-0", Healthy: true, Draining: true, HeldVersions: []query.Version{1, 2}}, info)
	})
}

// Guards against a silent connection that prevents new connections to the same target (H8).
func TestNewConnectionWorksBesideSilentOne(t *testing.T) {
	withHarness(t, config(), target.HostConfig{Connections: 2, ConnectionCost: 6 * time.Millisecond}, func(t *testing.T, h *harness) {
		start := time.Now()
		require.Equal(t, query.OutcomeAnswered, h.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
		require.Equal(t, serviceTime+6*time.Millisecond, time.Since(start))
		require.Equal(t, 1, h.host.Silence(1))
		require.Equal(t, query.OutcomeUnknown, h.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
		require.Equal(t, query.OutcomeAnswered, h.client.Search(t.Context(), search(0, 1, "jars")).Outcome)
	})
}

func execution(key, body string) api.Execution {
	return api.Execution{Address: address, Key: key, Attempt: 9, Index: "ledger", Body: []byte(body), TimeLeft: timeLeft}
}
