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
	// crashResend is the time after which the caller sends the request again, through the next instance.
	crashResend = 50 * time.Millisecond
	// crashRestart is the time that a crashed searcher is away.
	crashRestart = time.Second
	// crashShapes is the number of shapes of the ordinary texts. Shape k has the weight 1/k.
	crashShapes = 50
)

// runCrashQuery compares runs with and without the precaution. In the case "ordinary" no request
// crashes a searcher, so that its ratios are the cost of the precaution. A request of an unseen shape
// meets the goal on crashed targets or misses it; one of a known shape is sent to all shards by design
// and is measured against the same goal.
func runCrashQuery(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, kind := range []string{"ordinary", "unseen-shape", "known-shape"} {
			sc := Scenario{
				Deployment: d, Index: d.Indexes[0], Service: heavyTail, Utilisation: 0.2, Queries: 20_000, WarmUp: 5_000,
				Deadline: searchDeadline, Seed: seed,
			}
			name := d.Name + "-" + sc.Index.Name + "-" + kind
			add(r.Baseline, name, newCrashRun(sc, kind, false).run())
			add(r.Result, name, newCrashRun(sc, kind, true).run())
			add(r.Sizes, name, sc.sizes())
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

// crashRun is a run in which one text crashes every searcher that runs it.
type crashRun struct {
	driver     *Driver
	precaution bool
	poison     string
	lists      map[*entry]*quarantine.List
	crashes    int
	replicas   map[query.Shard]map[query.TargetID]struct{} // that crashed
	refused    int                                         // requests other than the poison
	resends    int
	canaries   int // of recorded requests
}

func newCrashRun(sc Scenario, kind string, precaution bool) *crashRun {
	c := &crashRun{
		precaution: precaution, lists: map[*entry]*quarantine.List{},
		replicas: map[query.Shard]map[query.TargetID]struct{}{},
	}
	switch kind {
	case "unseen-shape":
		c.poison = "poison: (1)"
	case "known-shape":
		c.poison = ordinaryText(0, 666)
	}
	sc.Fault = func(*Driver) {
		if c.poison != "" {
			c.resend()
		}
	}
	c.driver = NewDriver(sc)
	c.driver.crash = c
	for _, e := range c.driver.entries {
		c.lists[e] = quarantine.NewList()
	}
	for _, t := range c.driver.targets {
		s := c.driver.searchers[t.ID]
		s.lost = query.OutcomeCrashed
		s.crashed = func() { c.crashTarget(t, s) }
	}
	return c
}

func (c *crashRun) run() Figures {
	f := c.driver.Run()
	most := 0
	for _, r := range c.replicas {
		most = max(most, len(r))
	}
	f["targets_crashed"] = float64(c.crashes)
	f["most_replicas_of_a_shard"] = float64(most)
	f["innocents_refused"] = float64(c.refused)
	f["canaries_per_query"] = float64(c.canaries) / float64(c.driver.scenario.Queries)
	f["resends"] = float64(c.resends)
	return f
}

// crashTarget ends a searcher and all connections to it, and starts it again later.
func (c *crashRun) crashTarget(t query.Target, s *searcher) {
	if s.health == crashed {
		return
	}
	c.crashes++
	shard := t.Shards[0]
	if c.replicas[shard] == nil {
		c.replicas[shard] = map[query.TargetID]struct{}{}
	}
	c.replicas[shard][t.ID] = struct{}{}
	s.crash()
	for _, e := range c.driver.entries {
		c.driver.Loop.After(c.driver.delay(e.domain, s.domain), func() { delete(e.connections, t.ID) })
	}
	c.driver.Loop.After(crashRestart, s.restore)
}

// resend sends the poison through the next instance until the last ordinary query has started.
func (c *crashRun) resend() {
	d := c.driver
	if d.started >= d.scenario.WarmUp+d.scenario.Queries {
		return
	}
	e := d.entries[c.resends%len(d.entries)]
	c.resends++
	c.begin(e, query.Request{
		ID: query.RequestID(d.source.Uint64()), Plan: planNames[query.PriorityNormal], Index: d.index.Name,
		Query: c.poison, Limit: len(d.shardMap.Shards), Deadline: d.Loop.Now().Add(d.scenario.Deadline),
	}, false)
	d.Loop.After(crashResend, c.resend)
}

// text draws the text of an ordinary query.
func (c *crashRun) text() string {
	total := 0.0
	for k := range crashShapes {
		total += 1 / float64(k+1)
	}
	x := c.driver.source.Float64() * total
	for k := range crashShapes {
		if x -= 1 / float64(k+1); x < 0 {
			return ordinaryText(k, c.driver.source.IntN(100)+100)
		}
	}
	return ordinaryText(crashShapes-1, 100)
}
