package target_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	api "hyssopcroft.example/adapter/target"
	"hyssopcroft.example/emulator/pipenet"
	"hyssopcroft.example/emulator/target"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/settings"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

const (
	shardCount       = 10
	replicasPerShard = 3
	// queryPeriod is the time between two queries, queryDeadline the time limit of each.
	queryPeriod   = 20 * time.Millisecond
	queryDeadline = 100 * time.Millisecond
	// replacementBound bounds the time until all silent connections are replaced: 300 ms until they are
	// closed, plus 15 dials at 19 a second with up to 50 ms of jitter (design page, H8 and H15).
	replacementBound = 300*time.Millisecond + 15*time.Second/19 + 50*time.Millisecond
	// connectionsPerInstance is the connection limit of a target for one instance: one connection in use
	// and one that still counts at the target after the instance has closed it.
	connectionsPerInstance = 2
	// silentHold is longer than the run, so that silent connections count against the limit to its end.
	silentHold = 10 * time.Second
)

// querier runs queries against the targets as an instance does. Its methods implement scatter.Policy.
type querier struct {
	client *api.Client
	shards []query.Shard
	lastID atomic.Uint64

	mu   sync.Mutex // guards pool
	pool *scatter.Pool
}

func (q *querier) Choose(now time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pool.Choose(now, spec)
}

func (q *querier) Overdue(id query.TargetID, sent time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pool.Overdue(id, sent)
}

func (q *querier) End(now time.Time, r replica.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pool.End(now, r)
}

type attemptReply struct {
	attempt query.AttemptID
	reply   query.Reply
}

// runQuery runs one query and reports whether its answer is complete.
func (q *querier) runQuery(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, queryDeadline)
	defer cancel()
	req := query.Request{
		ID: query.RequestID(q.lastID.Add(1)), Index: "ledger", Limit: 10, Deadline: time.Now().Add(queryDeadline),
		PreferCoverage: true,
	}
	m := scatter.New(scatter.Config{
		Request: req, Map: query.Map{Version: 1, Shards: q.shards}, Policy: q,
		NextAttempt: func() query.AttemptID { return query.AttemptID(q.lastID.Add(1)) },
	})
	replies := make(chan attemptReply, 100)
	actions := m.Start(time.Now())
	for {
		for _, act := range actions {
			switch act.Kind {
			case scatter.Finish:
				return m.Answer().Coverage.Complete()
			case scatter.Send:
				call := api.Search{
					Address: string(act.Target), Request: req.ID, Attempt: act.Attempt, Index: "ledger", Shard: act.Shard,
					Snapshot: 1, Query: "jars", Limit: 10, TimeLeft: act.TimeLeft,
				}
				go func() { replies <- attemptReply{attempt: call.Attempt, reply: q.client.Search(ctx, call)} }()
			}
		}
		alarm := kernel.NewAlarm(time.Until(m.NextWake()))
		select {
		case r := <-replies:
			actions = m.OnReply(time.Now(), r.attempt, r.reply)
		case <-alarm.C:
			actions = m.OnWake(time.Now())
		}
		alarm.Stop()
	}
}

// Guards against answers that remain incomplete after half of an instance's connections go silent at the
// same time, and against replacements that exceed the instance's share of the connection limit (H8).
func TestHalfOfTheConnectionsGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * silentHold) // Silent connections end after silentHold.
		network, dials := pipenet.New(), api.NewDialLimiter()
		pool := api.NewPool(func() *http.Transport {
			transport := api.NewTransport(100*time.Millisecond, 200*time.Millisecond)
			transport.DialContext = api.ObserveDial(network.DialContext)
			dials.Limit(transport)
			return transport
		})
		defer pool.CloseIdleConnections()
		q := &querier{client: api.NewClient(pool), pool: scatter.NewPool("caernarfon", rand.New(rand.NewPCG(1, 1)))}
		var hosts []*target.Host
		var searchers []*target.Searcher
		var targets []query.Target
		for i := range shardCount * replicasPerShard {
			id := fmt.Sprintf("searcher-%d:1", i)
			spec := query.Target{
				ID: query.TargetID(id), Address: id, FailureDomain: "caernarfon", Index: "ledger",
				Shards: []query.Shard{query.Shard(i / replicasPerShard)},
			}
			cfg := config()
			cfg.Target, cfg.Slots, cfg.QueueLimit, cfg.ServiceTime = spec, 2, 20, func() time.Duration {
				return 2 * time.Millisecond
			}
			s := target.NewSearcher(cfg)
			require.NoError(t, s.SetFaults(target.Faults{SilentHold: settings.Duration(silentHold)}))
			h := target.NewHost(s, target.HostConfig{
				Connections: connectionsPerInstance, ConnectionCost: 6 * time.Millisecond, Listen: network.Listen,
			})
			_, err := h.Start(id)
			require.NoError(t, err)
			defer h.Stop()
			if i%replicasPerShard == 0 {
				q.shards = append(q.shards, spec.Shards[0])
			}
			hosts, searchers, targets = append(hosts, h), append(searchers, s), append(targets, spec)
			_, err = q.client.Info(t.Context(), id)
			require.NoError(t, err)
		}
		q.pool.SetTargets(targets)
		run := func(d time.Duration) (sent, incomplete int, lastIncomplete time.Duration) {
			var mu sync.Mutex
			var wg sync.WaitGroup
			for start := time.Now(); time.Since(start) < d; time.Sleep(queryPeriod) {
				sentAfter := time.Since(start)
				sent++
				wg.Go(func() {
					if !q.runQuery(t.Context()) {
						mu.Lock()
						defer mu.Unlock()
						incomplete, lastIncomplete = incomplete+1, max(lastIncomplete, sentAfter)
					}
				})
			}
			wg.Wait()
			return sent, incomplete, lastIncomplete
		}
		_, incomplete, _ := run(2 * time.Second)
		require.Zero(t, incomplete, "before the fault")
		for i, h := range hosts {
			if i%2 == 0 {
				require.Equal(t, 1, h.Silence(1))
			}
		}
		sent, incomplete, lastIncomplete := run(5 * time.Second)
		var refused, opened int64
		for _, s := range searchers {
			refused += s.Counter("connections_refused")
			opened += s.Counter("connections_opened")
		}
		t.Logf("%d queries, %d incomplete, the last of these sent %v after the fault; %d connections replaced, %d refused",
			sent, incomplete, lastIncomplete, opened-int64(len(hosts)), refused)
		require.LessOrEqual(t, lastIncomplete, replacementBound)
		require.Zero(t, refused, "connections over the limit")
	})
}
