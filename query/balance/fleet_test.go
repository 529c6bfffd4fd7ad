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
	start = time.Unix(1000, 0)
	terms = hedge.BudgetLimits{Share: 0.2, Slack: 60, Span: 10 * time.Second}
)

// objective is that of most queries, urgent that of the urgent ones.
const (
	objective = 150 * time.Millisecond
	urgent    = 100 * time.Millisecond
)

// fleet returns a fleet with one replica of shard 1 at each distance.
func fleet() (*balance.Balancer, *balance.Policy) {
	f := balance.NewBalancer(terms)
	f.SetTargets([]balance.Target{
		{ID: "near", Shard: 1, Distance: balance.SameDomain, Limit: 2},
		{ID: "region", Shard: 1, Distance: balance.SameRegion, Limit: 2},
		{ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 2},
	})
	return f, f.RoutePolicy("r", objective)
}

func choose(t *testing.T, p *balance.Policy, now time.Time, use replica.AttemptKind, tried ...query.TargetID) query.TargetID {
	t.Helper()
	g, v := p.Choose(now, scatter.Want{Shard: 1, Use: use, Tried: tried})
	require.Equal(t, replica.Chosen, v)
	return g.Target
}

// run sends an attempt and ends it as it does at the target.
func run(t *testing.T, p *balance.Policy, now time.Time, took time.Duration, o query.Outcome) (query.TargetID, time.Time) {
	t.Helper()
	target := choose(t, p, now, replica.First)
	now = now.Add(took)
	p.End(now, replica.Result{Target: target, Elapsed: took, Outcome: o})
	return target, now
}

// Guards against requests that go on to a target that became slow, fails fast, sheds or is gone, and
// against one that is not used again when it is well.
func TestNearTargetInTrouble(t *testing.T) {
	for name, trouble := range map[string]struct {
		took    time.Duration
		outcome query.Outcome
	}{
		"slow by ten": {80 * time.Millisecond, query.OutcomeAnswered},
		"fails fast":  {time.Millisecond, query.OutcomeFailed},
		"sheds":       {time.Millisecond, query.OutcomeShed},
		"gone":        {time.Millisecond, query.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			_, p := fleet()
			now := start
			for range 20 {
				var target query.TargetID
				target, now = run(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
				require.Equal(t, query.TargetID("near"), target)
			}
			// For 4 s the near target is in trouble; the others answer after their round trips.
			asked, near := 0, 0
			for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
				target := choose(t, p, now, replica.First)
				took, o := 17*time.Millisecond, query.OutcomeAnswered
				if target == "near" {
					took, o = trouble.took, trouble.outcome
					near++
				}
				asked++
				now = now.Add(took)
				p.End(now, replica.Result{Target: target, Elapsed: took, Outcome: o})
			}
			require.Less(t, near, asked/6, "of %d", asked)
			back := 0
			for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
				target, _ := run(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
				if target == "near" {
					back++
				}
			}
			require.Greater(t, back, 200, "the near target is used again")
		})
	}
}

// Guards against queries that pile up at a target that pauses: what has not answered is evidence.
func TestAgeOfAttemptsInFlight(t *testing.T) {
	f, p := fleet()
	f.SetTargets([]balance.Target{
		{ID: "near", Shard: 1, Distance: balance.SameDomain, Limit: 8},
		{ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 8},
	})
	now := start
	for range 10 {
		_, now = run(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
	}
	require.Equal(t, query.TargetID("near"), choose(t, p, now, replica.First))
	require.Equal(t, query.TargetID("near"), choose(t, p, now.Add(5*time.Millisecond), replica.First))
	require.Equal(t, query.TargetID("far"), choose(t, p, now.Add(60*time.Millisecond), replica.First))
}

// Guards against a probe of a slow target by every query: one at a time, and not more than one in 0.7 s.
func TestProbes(t *testing.T) {
	_, p := fleet()
	now := start
	for range 10 {
		_, now = run(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
	}
	_, now = run(t, p, now, 200*time.Millisecond, query.OutcomeAnswered)
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

// Guards against extra attempts beyond the budget, and against a hedge that takes what a retry needs.
func TestBudget(t *testing.T) {
	_, p := fleet()
	now := start
	hedges := 0
	for range 100 {
		for p2, v := p.Choose(now, scatter.Want{Shard: 1, Use: replica.Hedge}); v == replica.Chosen; p2, v = p.Choose(now, scatter.Want{Shard: 1, Use: replica.Hedge}) {
			hedges++
			p.End(now, replica.Result{Target: p2.Target, Outcome: query.OutcomeAnswered})
		}
	}
	_, v := p.Choose(now, scatter.Want{Shard: 1, Use: replica.Retry})
	require.Equal(t, replica.Chosen, v, "a retry has a reserve")
	require.LessOrEqual(t, hedges, 51)
	require.GreaterOrEqual(t, hedges, 40)
}

// Guards against a shard whose last target is out of reach that a query waits for: no replica means that
// it looks again, no target at all ends the shard.
func TestNoTarget(t *testing.T) {
	f, p := fleet()
	for _, id := range []query.TargetID{"near", "region", "far"} {
		target := choose(t, p, start, replica.First)
		require.Equal(t, id, target)
		p.End(start, replica.Result{Target: target, Outcome: query.OutcomeNotRun})
	}
	_, v := p.Choose(start, scatter.Want{Shard: 1})
	require.Equal(t, replica.NoReplica, v)
	_, v = p.Choose(start, scatter.Want{Shard: 2})
	require.Equal(t, replica.Final, v)
	require.False(t, f.HasTargets(2))
}

// Guards against a budget that attempts use up which reach no target: after a loss of power, targets refuse the new
// connections of all instances for seconds.
func TestAttemptsThatAreNotSentCostNothing(t *testing.T) {
	f := balance.NewBalancer(hedge.BudgetLimits{Share: 0, Slack: 0, Span: 10 * time.Second})
	f.SetTargets([]balance.Target{{ID: "near", Shard: 1, Limit: 2}, {ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 2}})
	p := f.RoutePolicy("r", objective)
	refused := choose(t, p, start, replica.First)
	p.End(start, replica.Result{Target: refused, Outcome: query.OutcomeNotRun})
	arrived := choose(t, p, start, replica.Retry, refused)
	p.End(start, replica.Result{Target: arrived, Outcome: query.OutcomeShed})
	_, v := p.Choose(start.Add(time.Second), scatter.Want{Shard: 1, Use: replica.Retry})
	require.Equal(t, replica.NoToken, v, "a target counts what it sheds")
}

// Guards against what was learnt of a target's earlier life, and against learning that a new list loses.
func TestIncarnations(t *testing.T) {
	f, p := fleet()
	_, now := run(t, p, start, 500*time.Millisecond, query.OutcomeAnswered)
	list := []balance.Target{
		{ID: "near", Shard: 1, Distance: balance.SameDomain, Limit: 2},
		{ID: "far", Shard: 1, Distance: balance.OtherRegion, Limit: 2},
	}
	f.SetTargets(list)
	require.Equal(t, query.TargetID("far"), choose(t, p, now, replica.First))
	list[0].Incarnation = 2
	f.SetTargets(list)
	require.Equal(t, query.TargetID("near"), choose(t, p, now, replica.First))
}

// Guards against queries that wait for their slowest shard. It replays a tenth of the targets slow by ten
// and pauses of 150 ms at all of them, and compares the share of queries over ten shards that are complete
// within their objective with that of the nearest replica without second attempts.
func TestSlowTenthAndPauses(t *testing.T) {
	with := completeInTime(t, 1, load{slowShards: 3}, true)
	without := completeInTime(t, 1, load{slowShards: 3}, false)
	t.Logf("complete in time: %.3f with second attempts and placement, %.3f with the nearest replica", with, without)
	require.Greater(t, with, 0.95, "the users' aim is nearly all queries in time")
	require.Less(t, without, 0.8, "otherwise the load is no test")
}

// Guards against a budget that second attempts use up which nobody needs, so that pauses find none left. It replays
// busy targets, where three in ten attempts wait 10 to 30 ms behind others and then end in time by themselves. Each
// pause of 150 ms needs a second attempt.
func TestBudgetLastsAtBusyTargets(t *testing.T) {
	share := completeInTime(t, 6, load{busy: 0.3}, true)
	t.Logf("complete in time: %.3f", share)
	require.Greater(t, share, 0.95, "the users' aim is nearly all queries in time")
}

// Guards against second attempts that come later than they have to while the budget is full, and against late ones
// whose answer cannot be in time.
func TestHedgesComeLaterAsTheBudgetRunsOut(t *testing.T) {
	_, p := fleet()
	now := start
	for range 100 {
		_, now = run(t, p, now, 8*time.Millisecond, query.OutcomeAnswered)
	}
	hedgeAfter := func() time.Duration {
		g, v := p.Choose(now, scatter.Want{Shard: 1, Use: replica.First})
		require.Equal(t, replica.Chosen, v)
		p.End(now, replica.Result{Target: g.Target, Elapsed: 8 * time.Millisecond, Outcome: query.OutcomeAnswered})
		return g.HedgeAfter
	}
	last := hedgeAfter()
	require.LessOrEqual(t, last, 25*time.Millisecond, "the budget is full")
	spent := true
	for spent {
		g, v := p.Choose(now, scatter.Want{Shard: 1, Use: replica.Hedge})
		if spent = v == replica.Chosen; spent {
			p.End(now, replica.Result{Target: g.Target, Elapsed: 8 * time.Millisecond, Outcome: query.OutcomeAnswered})
		}
		next := hedgeAfter()
		require.GreaterOrEqual(t, next, last-time.Millisecond)
		last = next
	}
	const way, far = 20 * time.Millisecond, 33 * time.Millisecond // to the caller, and the answer of a far target
	require.Greater(t, last, 60*time.Millisecond)
	require.LessOrEqual(t, last, objective-way-far)
}

// load is what the targets do.
type load struct {
	slowShards int     // whose nearest replica is slow by ten
	busy       float64 // share of the attempts that wait 10 to 30 ms behind others
}

type world struct {
	load
	source *rand.Rand
	slow   map[query.TargetID]bool
	phase  map[query.TargetID]time.Duration // of the pauses
}

// latency returns what an attempt sent at now takes.
func (w *world) latency(now time.Time, id query.TargetID, far bool) time.Duration {
	service := time.Duration(float64(7500*time.Microsecond) * (0.7 + 0.6*w.source.Float64()))
	if w.slow[id] {
		service *= 10
	}
	if w.busy > 0 && w.source.Float64() < w.busy {
		service += time.Duration((10 + 20*w.source.Float64()) * float64(time.Millisecond))
	}
	if far {
		service += 24 * time.Millisecond
	}
	const period, pause = 3600 * time.Millisecond, 150 * time.Millisecond
	at := (time.Duration(now.UnixNano()) + w.phase[id]) % period
	if at < pause {
		service += pause - at
	}
	return service
}

// completeInTime returns the share of urgent queries over ten shards that are complete within their objective.
// instances share the slack of the budgets.
func completeInTime(t *testing.T, instances int, l load, steered bool) float64 {
	t.Helper()
	const shards, queries = 10, 3000
	w := &world{load: l, source: rand.New(rand.NewPCG(7, 7)), slow: map[query.TargetID]bool{}, phase: map[query.TargetID]time.Duration{}}
	f := balance.NewBalancer(terms)
	var list []balance.Target
	m := query.Map{Version: 1}
	for s := range shards {
		m.Shards = append(m.Shards, query.Shard(s))
		for d, distance := range []balance.Distance{balance.SameDomain, balance.OtherRegion, balance.OtherRegion} {
			id := query.TargetID(fmt.Sprintf("%d-%d", s, d))
			list = append(list, balance.Target{ID: id, Shard: query.Shard(s), Distance: distance, Limit: 4})
			w.phase[id] = time.Duration(w.source.Int64N(int64(3600 * time.Millisecond)))
			w.slow[id] = s < l.slowShards && d == 0
		}
	}
	f.SetTargets(list)
	f.SetInstances(instances)
	var last query.AttemptID
	p := scatter.Policy(f.RoutePolicy("r", urgent))
	if !steered {
		p = nearest{}
	}
	now, inTime := start, 0
	for n := range queries {
		now = now.Add(22 * time.Millisecond)
		if ask(w, now, scatter.Config{
			Request: query.Request{ID: query.RequestID(n), Deadline: now.Add(time.Second), PreferCoverage: true},
			Map:     m, Policy: p, MaxAttempts: 2, Distinct: true,
			NextAttempt: func() query.AttemptID { last++; return last },
		}) <= urgent-20*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / queries
}

// ask runs one query to its end and returns how long it took. The next one starts after it, so that
// policies see the events in order.
func ask(w *world, now time.Time, cfg scatter.Config) time.Duration {
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
				events = append(events, event{now.Add(w.latency(now, a.Target, far)), query.Reply{
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

// nearest sends one attempt to the nearest replica.
type nearest struct{}

func (nearest) Choose(_ time.Time, w scatter.Want) (scatter.Grant, replica.Verdict) {
	if w.Use != replica.First {
		return scatter.Grant{}, replica.Final
	}
	return scatter.Grant{Target: query.TargetID(fmt.Sprintf("%d-0", w.Shard)), HedgeAfter: -1}, replica.Chosen
}
func (nearest) Overdue(query.TargetID, time.Time) {}
func (nearest) End(time.Time, replica.Result)     {}
