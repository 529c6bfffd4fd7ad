package measure

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

func init() {
	Register(Measure{
		Name:    "crash-query",
		Summary: "targets crashed by one request text that is sent again through every instance",
		Run:     runCrashQuery,
	})
}

const (
	// crashResendInterval is the time after which the caller sends the request again, through the next instance.
	crashResendInterval = 50 * time.Millisecond
	// crashRestartDelay is the time after which a crashed searcher is restarted.
	crashRestartDelay = time.Second
	// ordinaryShapes is the number of shapes of the ordinary texts. Shape k, from 0, has the
	// weight 1/(k+1).
	ordinaryShapes = 50
)

// runCrashQuery compares runs with and without quarantine. In the case "ordinary" no request crashes a
// searcher, so that its ratios are the cost of quarantine. The case "known-shape" has the same goals as
// "unseen-shape", although a request of a known shape is sent to all shards by design.
func runCrashQuery(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, kind := range []string{"ordinary", "unseen-shape", "known-shape"} {
			sc := Scenario{
				Deployment: d, Index: d.Indexes[0], Service: heavyTail, Utilisation: 0.2, Queries: 20_000, WarmUp: 5_000,
				Deadline: searchDeadline, Seed: seed,
			}
			name := d.Name + "-" + sc.Index.Name + "-" + kind
			addCase(r.Baseline, name, newCrashRun(sc, kind, false).run())
			addCase(r.Result, name, newCrashRun(sc, kind, true).run())
			addCase(r.Sizes, name, sc.sizes())
			for _, figure := range []string{"p50_ms", "p99_ms", "targets_crashed", "attempts_per_shard"} {
				r.SetRatio(name + "/" + figure)
			}
			r.ResultAtMost(name+"/innocents_refused", 0)
			if kind != "ordinary" {
				r.ResultAtMost(name+"/targets_crashed", 2)
				r.ResultAtMost(name+"/most_replicas_of_a_shard", 1)
			}
		}
	}
	return r
}

// crashRun is a run in which one request text crashes every searcher that runs it.
type crashRun struct {
	driver          *Driver
	useQuarantine   bool
	poisonText      string // text that crashes searchers; empty if none does
	quarantines     map[*entry]*quarantine.List
	crashes         int
	crashedReplicas map[query.Shard]map[query.TargetID]struct{} // replicas that crashed, by shard
	refusedOrdinary int                                         // refused requests that crash no searcher
	resends         int
	canaries        int // sent for recorded requests
}

func newCrashRun(sc Scenario, kind string, useQuarantine bool) *crashRun {
	c := &crashRun{
		useQuarantine: useQuarantine, quarantines: map[*entry]*quarantine.List{},
		crashedReplicas: map[query.Shard]map[query.TargetID]struct{}{},
	}
	switch kind {
	case "unseen-shape":
		c.poisonText = "poison: (1)"
	case "known-shape":
		c.poisonText = ordinaryText(0, 666)
	}
	sc.Fault = func(*Driver) {
		if c.poisonText != "" {
			c.resendPoison()
		}
	}
	c.driver = NewDriver(sc)
	c.driver.crash = c
	for _, e := range c.driver.entries {
		c.quarantines[e] = quarantine.NewList()
	}
	for _, t := range c.driver.targets {
		s := c.driver.searchers[t.ID]
		s.crashOutcome = query.OutcomeCrashed
		s.onCrash = func() { c.crashTarget(t, s) }
	}
	return c
}

func (c *crashRun) run() Figures {
	f := c.driver.Run()
	maxReplicas := 0
	for _, r := range c.crashedReplicas {
		maxReplicas = max(maxReplicas, len(r))
	}
	f["targets_crashed"] = float64(c.crashes)
	f["most_replicas_of_a_shard"] = float64(maxReplicas)
	f["innocents_refused"] = float64(c.refusedOrdinary)
	f["canaries_per_query"] = float64(c.canaries) / float64(c.driver.scenario.Queries)
	f["resends"] = float64(c.resends)
	return f
}

// crashTarget crashes a searcher, closes all connections to it and restarts it after crashRestartDelay.
func (c *crashRun) crashTarget(t query.Target, s *searcher) {
	if s.health == crashed {
		return
	}
	c.crashes++
	shard := t.Shards[0]
	if c.crashedReplicas[shard] == nil {
		c.crashedReplicas[shard] = map[query.TargetID]struct{}{}
	}
	c.crashedReplicas[shard][t.ID] = struct{}{}
	s.crash()
	for _, e := range c.driver.entries {
		c.driver.Loop.After(c.driver.delay(e.domain, s.domain), func() { delete(e.connections, t.ID) })
	}
	c.driver.Loop.After(crashRestartDelay, s.restart)
}

// resendPoison sends the text that crashes searchers through each instance in turn until the last
// ordinary query has started.
func (c *crashRun) resendPoison() {
	d := c.driver
	if d.started >= d.scenario.WarmUp+d.scenario.Queries {
		return
	}
	e := d.entries[c.resends%len(d.entries)]
	c.resends++
	c.startRequest(e, query.Request{
		ID: query.RequestID(d.source.Uint64()), Plan: planNames[query.PriorityNormal], Index: d.index.Name,
		Query: c.poisonText, Limit: len(d.shardMap.Shards), Deadline: d.Loop.Now().Add(d.scenario.Deadline),
	}, false)
	d.Loop.After(crashResendInterval, c.resendPoison)
}

// drawText returns a random text for an ordinary query.
func (c *crashRun) drawText() string {
	total := 0.0
	for k := range ordinaryShapes {
		total += 1 / float64(k+1)
	}
	x := c.driver.source.Float64() * total
	for k := range ordinaryShapes {
		if x -= 1 / float64(k+1); x < 0 {
			return ordinaryText(k, c.driver.source.IntN(100)+100)
		}
	}
	return ordinaryText(ordinaryShapes-1, 100)
}
