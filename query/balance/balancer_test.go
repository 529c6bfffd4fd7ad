package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/hedge"
	"hyssopcroft.example/query/replica"
	"hyssopcroft.example/query/scatter"
)

var (
	start  = time.Unix(1000, 0)
	limits = hedge.BudgetLimits{Share: 0.2, Slack: 60, Span: 10 * time.Second}
)

// objective applies to most queries, urgentObjective to urgent ones.
const (
	objective       = 150 * time.Millisecond
	urgentObjective = 100 * time.Millisecond
)

// newBalancer returns a balancer with one replica of shard 1 at each distance, and the policy of a route.
func newBalancer() (*balance.Balancer, *balance.Policy) {
	lb := balance.NewBalancer("i", limits)
	lb.SetTargets([]balance.Target{
		{ID: "near", Shard: 1, Distance: balance.SameDomain, Limit: 2},
		{ID: "region", Shard: 1, Distance: balance.SameRegion, Limit: 2},
		{ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 2},
	})
	return lb, lb.RoutePolicy("r", objective)
}

func choose(t *testing.T, p *balance.Policy, now time.Time, kind replica.AttemptKind,
	tried ...query.TargetID) query.TargetID {
	t.Helper()
	g, v := p.Choose(now, scatter.AttemptSpec{Shard: 1, Kind: kind, Tried: tried})
	require.Equal(t, replica.Chosen, v)
	return g.Target
}

// runAttempt sends a first attempt that ends with the given outcome. It returns the target and the time of the end.
func runAttempt(t *testing.T, p *balance.Policy, now time.Time, took time.Duration,
	o query.Outcome) (query.TargetID, time.Time) {
	t.Helper()
	target := choose(t, p, now, replica.First)
	now = now.Add(took)
	p.End(now, replica.Result{Target: target, Elapsed: took, Outcome: o})
	return target, now
}

// Guards against requests to the nearest target while it is slow, fails fast, sheds or refuses
// connections, and against a target that is not used again after it has recovered.
func TestImpairedTargetIsAvoided(t *testing.T) {
	for name, impairment := range map[string]struct {
		took    time.Duration
		outcome query.Outcome
	}{
		"ten times slower": {80 * time.Millisecond, query.OutcomeAnswered},
		"fails fast":       {time.Millisecond, query.OutcomeFailed},
		"sheds":            {time.Millisecond, query.OutcomeShed},
		"gone":             {time.Millisecond, query.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			_, p := newBalancer()
			now := start
			for range 20 {
				var target query.TargetID
				target, now = runAttempt(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
				require.Equal(t, query.TargetID("near"), target)
			}
			// For 4 s the near target is impaired. The others answer in 17 ms.
			total, near := 0, 0
			for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
				target := choose(t, p, now, replica.First)
				took, o := 17*time.Millisecond, query.OutcomeAnswered
				if target == "near" {
					took, o = impairment.took, impairment.outcome
					near++
				}
				total++
				now = now.Add(took)
				p.End(now, replica.Result{Target: target, Elapsed: took, Outcome: o})
			}
			require.Less(t, near, total/6, "of %d", total)
			recovered := 0
			for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
				target, _ := runAttempt(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
				if target == "near" {
					recovered++
				}
			}
			require.Greater(t, recovered, 200, "the near target is used again")
		})
	}
}

// Guards against queries that pile up at a pausing target. It gives no answer that would raise its latency, so the
// age of its attempts in flight has to count.
func TestAttemptAgeRaisesCost(t *testing.T) {
	lb, p := newBalancer()
	lb.SetTargets([]balance.Target{
		{ID: "near", Shard: 1, Distance: balance.SameDomain, Limit: 8},
		{ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 8},
	})
	now := start
	for range 10 {
		_, now = runAttempt(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
	}
	require.Equal(t, query.TargetID("near"), choose(t, p, now, replica.First))
	require.Equal(t, query.TargetID("near"), choose(t, p, now.Add(5*time.Millisecond), replica.First))
	require.Equal(t, query.TargetID("far"), choose(t, p, now.Add(60*time.Millisecond), replica.First))
}

// Guards against frequent probes of a slow target. Only one at a time is allowed, and not more than one in 0.7 s.
func TestProbeRate(t *testing.T) {
	_, p := newBalancer()
	now := start
	for range 10 {
		_, now = runAttempt(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
	}
	_, now = runAttempt(t, p, now, 200*time.Millisecond, query.OutcomeAnswered)
	var probes []time.Time
	for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		target := choose(t, p, now, replica.First)
		took := 12 * time.Millisecond
		if target == "near" {
			probes = append(probes, now)
			took = 200 * time.Millisecond
		}
		p.End(now.Add(took), replica.Result{Target: target, Elapsed: took, Outcome: query.OutcomeAnswered})
	}
	require.GreaterOrEqual(t, len(probes), 2)
	require.LessOrEqual(t, len(probes), 5)
	for i := 1; i < len(probes); i++ {
		require.GreaterOrEqual(t, probes[i].Sub(probes[i-1]), 700*time.Millisecond)
	}
}

// Guards against extra attempts beyond the budget, and against hedges that use up the reserve for retries.
func TestBudget(t *testing.T) {
	_, p := newBalancer()
	now := start
	hedges := 0
	for range 100 {
		for g, v := p.Choose(now, scatter.AttemptSpec{Shard: 1, Kind: replica.Hedge}); v == replica.Chosen; g, v = p.Choose(now, scatter.AttemptSpec{Shard: 1, Kind: replica.Hedge}) {
			hedges++
			p.End(now, replica.Result{Target: g.Target, Outcome: query.OutcomeAnswered})
		}
	}
	_, v := p.Choose(now, scatter.AttemptSpec{Shard: 1, Kind: replica.Retry})
	require.Equal(t, replica.Chosen, v, "budget is reserved for a retry")
	require.LessOrEqual(t, hedges, 51)
	require.GreaterOrEqual(t, hedges, 40)
}

// While all targets of a shard are unreachable, the verdict must be NoReplica, so that a query tries again. For a
// shard without targets it must be Final, so that the query does not wait.
func TestNoTarget(t *testing.T) {
	lb, p := newBalancer()
	for _, id := range []query.TargetID{"near", "region", "far"} {
		target := choose(t, p, start, replica.First)
		require.Equal(t, id, target)
		p.End(start, replica.Result{Target: target, Outcome: query.OutcomeNotRun})
	}
	_, v := p.Choose(start, scatter.AttemptSpec{Shard: 1})
	require.Equal(t, replica.NoReplica, v)
	_, v = p.Choose(start, scatter.AttemptSpec{Shard: 2})
	require.Equal(t, replica.Final, v)
	require.False(t, lb.HasTargets(2))
}

// Guards against a budget that is spent on attempts that never reach a target. After a power failure, targets refuse
// new connections of all instances for seconds.
func TestUnsentAttemptsAreRefunded(t *testing.T) {
	lb := balance.NewBalancer("i", hedge.BudgetLimits{Share: 0, Slack: 0, Span: 10 * time.Second})
	lb.SetTargets([]balance.Target{{ID: "near", Shard: 1, Limit: 2}, {ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 2}})
	p := lb.RoutePolicy("r", objective)
	refused := choose(t, p, start, replica.First)
	p.End(start, replica.Result{Target: refused, Outcome: query.OutcomeNotRun})
	arrived := choose(t, p, start, replica.Retry, refused)
	p.End(start, replica.Result{Target: arrived, Outcome: query.OutcomeShed})
	_, v := p.Choose(start.Add(time.Second), scatter.AttemptSpec{Shard: 1, Kind: replica.Retry})
	require.Equal(t, replica.NoToken, v, "an attempt that is shed counts")
}

// Guards against statistics that are kept for a new incarnation of a target, and against statistics that are lost
// when the list is replaced.
func TestNewIncarnationResetsStatistics(t *testing.T) {
	lb, p := newBalancer()
	_, now := runAttempt(t, p, start, 500*time.Millisecond, query.OutcomeAnswered)
	list := []balance.Target{
		{ID: "near", Shard: 1, Distance: balance.SameDomain, Limit: 2},
		{ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 2},
	}
	lb.SetTargets(list)
	require.Equal(t, query.TargetID("far"), choose(t, p, now, replica.First))
	list[0].Incarnation = 2
	lb.SetTargets(list)
	require.Equal(t, query.TargetID("near"), choose(t, p, now, replica.First))
}

// Guards against queries that miss their objective because they wait for the slowest shard. A tenth of the targets is
// slower by a factor of ten and all targets pause for 150 ms at times. The test compares the share of queries over
// ten shards that are complete within their objective with that of the nearest replica without hedges.
func TestSlowTargetsAndPauses(t *testing.T) {
	withBalancer := onTimeShare(t, 1, load{slowShards: 3}, true)
	withNearest := onTimeShare(t, 1, load{slowShards: 3}, false)
	t.Logf("complete in time: %.3f with hedges and target choice, %.3f with the nearest replica", withBalancer, withNearest)
	require.Greater(t, withBalancer, 0.95, "nearly all queries must be in time")
	require.Less(t, withNearest, 0.8, "the load must be too hard for the nearest replica")
}

// Guards against a budget that is spent on unnecessary hedges, so that none is left when a target pauses. The targets
// are busy: 30 % of the attempts wait 10 to 30 ms behind others and still end in time without a hedge. Each pause of
// 150 ms needs a hedge.
func TestBudgetLastsWithBusyTargets(t *testing.T) {
	share := onTimeShare(t, 6, load{busyShare: 0.3}, true)
	t.Logf("complete in time: %.3f", share)
	require.Greater(t, share, 0.95, "nearly all queries must be in time")
}

// Guards against hedges that are delayed while the budget is full, and against delayed hedges whose answer cannot be
// in time.
func TestHedgeDelayGrowsAsBudgetRunsOut(t *testing.T) {
	_, p := newBalancer()
	now := start
	for range 100 {
		_, now = runAttempt(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
	}
	hedgeAfter := func() time.Duration {
		g, v := p.Choose(now, scatter.AttemptSpec{Shard: 1, Kind: replica.First})
		require.Equal(t, replica.Chosen, v)
		p.End(now, replica.Result{Target: g.Target, Elapsed: 8 * time.Millisecond, Outcome: query.OutcomeAnswered})
		return g.HedgeAfter
	}
	last := hedgeAfter()
	require.LessOrEqual(t, last, 25*time.Millisecond, "the budget is full")
	granted := true
	for granted {
		g, v := p.Choose(now, scatter.AttemptSpec{Shard: 1, Kind: replica.Hedge})
		if granted = v == replica.Chosen; granted {
			p.End(now, replica.Result{Target: g.Target, Elapsed: 8 * time.Millisecond, Outcome: query.OutcomeAnswered})
		}
		next := hedgeAfter()
		require.GreaterOrEqual(t, next, last-time.Millisecond)
		last = next
	}
	const answerReserve, farLatency = 20 * time.Millisecond, 33 * time.Millisecond
	require.Greater(t, last, 60*time.Millisecond)
	require.LessOrEqual(t, last, objective-answerReserve-farLatency)
}

// load describes the impairments of the targets.
type load struct {
	slowShards int     // number of shards whose nearest replica is slower by a factor of ten
	busyShare  float64 // share of the attempts that wait 10 to 30 ms behind others
}

type simulation struct {
	load
	source     *rand.Rand
	slow       map[query.TargetID]bool
	pausePhase map[query.TargetID]time.Duration // offset of the periodic pauses
}

// latency returns the latency of an attempt sent at now.
func (s *simulation) latency(now time.Time, id query.TargetID, far bool) time.Duration {
	service := time.Duration(float64(7500*time.Microsecond) * (0.7 + 0.6*s.source.Float64()))
	if s.slow[id] {
		service *= 10
	}
	if s.busyShare > 0 && s.source.Float64() < s.busyShare {
		service += time.Duration((10 + 20*s.source.Float64()) * float64(time.Millisecond))
	}
	if far {
		service += 24 * time.Millisecond
	}
	const period, pause = 3600 * time.Millisecond, 150 * time.Millisecond
	at := (time.Duration(now.UnixNano()) + s.pausePhase[id]) % period
	if at < pause {
		service += pause - at
	}
	return service
}

// onTimeShare returns the share of urgent queries over ten shards that are complete within their objective. Without
// balanced, it uses the nearest replica alone. instances is the number of instances that share the slack of the
// budgets.
func onTimeShare(t *testing.T, instances int, l load, balanced bool) float64 {
	t.Helper()
	const shards, queries = 10, 3000
	sim := &simulation{load: l, source: rand.New(rand.NewPCG(7, 7)), slow: map[query.TargetID]bool{},
		pausePhase: map[query.TargetID]time.Duration{}}
	lb := balance.NewBalancer("i", limits)
	var list []balance.Target
	m := query.Map{Version: 1}
	for s := range shards {
		m.Shards = append(m.Shards, query.Shard(s))
		for d, distance := range []balance.Distance{balance.SameDomain, balance.OtherRegion, balance.OtherRegion} {
			id := query.TargetID(fmt.Sprintf("%d-%d", s, d))
			list = append(list, balance.Target{ID: id, Shard: query.Shard(s), Distance: distance, Limit: 4})
			sim.pausePhase[id] = time.Duration(sim.source.Int64N(int64(3600 * time.Millisecond)))
			sim.slow[id] = s < l.slowShards && d == 0
		}
	}
	lb.SetTargets(list)
	lb.SetInstances(instances, 1)
	var last query.AttemptID
	p := scatter.Policy(lb.RoutePolicy("r", urgentObjective))
	if !balanced {
		p = nearestPolicy{}
	}
	now, inTime := start, 0
	for n := range queries {
		now = now.Add(22 * time.Millisecond)
		if runQuery(sim, now, scatter.Config{
			Request: query.Request{ID: query.RequestID(n), Deadline: now.Add(time.Second), PreferCoverage: true},
			Map:     m, Policy: p, MaxAttempts: 2, DistinctTargets: true,
			NextAttempt: func() query.AttemptID { last++; return last },
		}) <= urgentObjective-20*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / queries
}

// runQuery runs a query to its end and returns its latency. Queries run one after another, so that policies see the
// events in order.
func runQuery(sim *simulation, now time.Time, cfg scatter.Config) time.Duration {
	type event struct {
		at    time.Time
		reply query.Reply
	}
	begin, finished := now, false
	var events []event
	m := scatter.New(cfg)
	perform := func(actions []scatter.Action) {
		for _, a := range actions {
			switch a.Kind {
			case scatter.Send:
				far := a.Target[len(a.Target)-1] != '0'
				events = append(events, event{now.Add(sim.latency(now, a.Target, far)), query.Reply{
					Attempt: a.Attempt, Request: cfg.Request.ID, Shard: a.Shard, Snapshot: cfg.Map.Version, Outcome: query.OutcomeAnswered,
				}})
			case scatter.Finish:
				finished = true
			}
		}
	}
	perform(m.Start(now))
	for !finished {
		slices.SortFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
		if len(events) > 0 && !events[0].at.After(m.NextWake()) {
			e := events[0]
			events = events[1:]
			now = e.at
			perform(m.OnReply(now, e.reply.Attempt, e.reply))
			continue
		}
		now = m.NextWake()
		perform(m.OnWake(now))
	}
	return now.Sub(begin)
}

// nearestPolicy sends one attempt to the nearest replica.
type nearestPolicy struct{}

func (nearestPolicy) Choose(_ time.Time, spec scatter.AttemptSpec) (scatter.Grant, replica.Verdict) {
	if spec.Kind != replica.First {
		return scatter.Grant{}, replica.Final
	}
	return scatter.Grant{Target: query.TargetID(fmt.Sprintf("%d-0", spec.Shard)), HedgeAfter: -1}, replica.Chosen
}
func (nearestPolicy) Overdue(query.TargetID, time.Time) {}
func (nearestPolicy) End(time.Time, replica.Result)     {}
