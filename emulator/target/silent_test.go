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
	silentShards   = 10
	silentReplicas = 3
	// queryPeriod and queryDeadline give a steady load; an answer is due within the deadline.
	queryPeriod   = 20 * time.Millisecond
	queryDeadline = 100 * time.Millisecond
	// replacedAfter bounds the time until all silent connections are replaced: 300 ms until the close,
	// and 15 dials of which 19 start a second, with up to 50 ms of jitter (design page, H8 and H15).
	replacedAfter = 300*time.Millisecond + 15*time.Second/19 + 50*time.Millisecond
	// instanceShare is the number of connections of one instance to a target: one in use and one that
	// still counts at the target after it was closed.
	instanceShare = 2
	// silentHold is longer than the run, so that every silent connection counts until its end.
	silentHold = 10 * time.Second
)

// asker runs queries over the targets as an instance does. Its methods implement scatter.Policy.
type asker struct {
	client *api.Client
	shards []query.Shard
	last   atomic.Uint64

	mu   sync.Mutex // guards pool
	pool *scatter.Pool
}

func (a *asker) Choose(now time.Time, w scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool.Choose(now, w)
}

func (a *asker) Overdue(id query.TargetID, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.Overdue(id, sent)
}

func (a *asker) End(now time.Time, e replica.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.End(now, e)
}

type asked struct {
	attempt query.AttemptID
	reply   query.Reply
}

// ask runs one query and reports whether its answer is complete.
func (a *asker) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, queryDeadline)
	defer cancel()
	req := query.Request{ID: query.RequestID(a.last.Add(1)), Index: "ledger", Limit: 10, Deadline: time.Now().Add(queryDeadline), PreferCoverage: true}
	m := scatter.New(scatter.Config{
		Request: req, Map: query.Map{Version: 1, Shards: a.shards}, Policy: a,
		NextAttempt: func() query.AttemptID { return query.AttemptID(a.last.Add(1)) },
	})
	replies := make(chan asked, 100)
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
				go func() { replies <- asked{attempt: call.Attempt, reply: a.client.Search(ctx, call)} }()
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

// Guards against answers that stay short after half of an instance's connections went silent at once,
// and against replacements beyond the instance's share of the connection limit (H8).
func TestHalfOfTheConnectionsGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * silentHold) // Silent connections end after their hold.
		network, dials := pipenet.New(), api.NewDialLimiter()
		pool := api.NewPool(func() *http.Transport {
			transport := api.NewTransport(100*time.Millisecond, 200*time.Millisecond)
			transport.DialContext = api.ObserveDial(network.DialContext)
			dials.Limit(transport)
			return transport
		})
		defer pool.CloseIdleConnections()
		a := &asker{client: api.NewClient(pool), pool: scatter.NewPool("caernarfon", rand.New(rand.NewPCG(1, 1)))}
		var hosts []*target.Host
		var searchers []*target.Searcher
		var targets []query.Target
		for i := range silentShards * silentReplicas {
			id := fmt.Sprintf("searcher-%d:1", i)
			as := query.Target{ID: query.TargetID(id), Address: id, FailureDomain: "caernarfon", Index: "ledger", Shards: []query.Shard{query.Shard(i / silentReplicas)}}
			cfg := config()
			cfg.Target, cfg.Slots, cfg.QueueLimit, cfg.ServiceTime = as, 2, 20, func() time.Duration { return 2 * time.Millisecond }
			s := target.NewSearcher(cfg)
			require.NoError(t, s.SetFaults(target.Faults{SilentHold: settings.Duration(silentHold)}))
			h := target.NewHost(s, target.HostConfig{Connections: instanceShare, ConnectionCost: 6 * time.Millisecond, Listen: network.Listen})
			_, err := h.Start(id)
			require.NoError(t, err)
			defer h.Stop()
			if i%silentReplicas == 0 {
				a.shards = append(a.shards, as.Shards[0])
			}
			hosts, searchers, targets = append(hosts, h), append(searchers, s), append(targets, as)
			_, err = a.client.Info(t.Context(), id)
			require.NoError(t, err)
		}
		a.pool.SetTargets(targets)
		run := func(d time.Duration) (asked, short int, lastShort time.Duration) {
			var mu sync.Mutex
			var wait sync.WaitGroup
			for begin := time.Now(); time.Since(begin) < d; time.Sleep(queryPeriod) {
				at := time.Since(begin)
				asked++
				wait.Go(func() {
					if !a.ask(t.Context()) {
						mu.Lock()
						defer mu.Unlock()
						short, lastShort = short+1, max(lastShort, at)
					}
				})
			}
			wait.Wait()
			return asked, short, lastShort
		}
		_, short, _ := run(2 * time.Second)
		require.Zero(t, short, "before the fault")
		for i, h := range hosts {
			if i%2 == 0 {
				require.Equal(t, 1, h.Silence(1))
			}
		}
		asked, short, lastShort := run(5 * time.Second)
		var refused, opened int64
		for _, s := range searchers {
			refused += s.Counter("connections_refused")
			opened += s.Counter("connections_opened")
		}
		t.Logf("%d answers, %d lack shards, the last asked for %v after the fault; %d connections replaced, %d refused",
			asked, short, lastShort, opened-int64(len(hosts)), refused)
		require.LessOrEqual(t, lastShort, replacedAfter)
		require.Zero(t, refused, "connections over the limit")
	})
}
