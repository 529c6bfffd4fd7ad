package measure

import "time"

func init() {
	Register(Measure{
		Name:    "shard-loss",
		Summary: "coverage while a replica and then a failure domain are lost under load",
		Run:     runShardLoss,
	})
}

// runShardLoss fails one replica of shard 0 at the first recorded query, and the failure domain of another
// one after a quarter of the recorded duration. Both restart cold after three quarters. In between, shard 0
// has one live replica.
func runShardLoss(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, ix := range d.Sharded() {
			for _, failure := range []health{crashed, silent} {
				sc := Scenario{
					Deployment: d, Index: ix, Service: heavyTail, Utilisation: 0.2, Queries: 12_000, WarmUp: 2_000,
					Deadline: searchDeadline, PreferCoverage: true, Seed: seed,
				}
				sc.Fault = func(d *Driver) { d.failReplicaAndDomain(failure, sc.recordedDuration()) }
				name := d.Name + "-" + ix.Name + "-" + failureNames[failure]
				r.runWithBaseline(name, sc)
				r.ResultAtLeast(name+"/coverage", 1)
				r.ResultAtMost(name+"/attempts_per_shard", 1.1)
			}
		}
	}
	return r
}

var failureNames = map[health]string{crashed: "crashed", silent: "silent"}

func (d *Driver) failReplicaAndDomain(failure health, duration time.Duration) {
	const lostDomain = 0
	replica := d.searchers[d.index.targetID(0, 1)]
	replica.fail(failure)
	d.Loop.After(duration/4, func() { d.setDomainLost(lostDomain, true, func(s *searcher) { s.fail(failure) }) })
	d.Loop.After(3*duration/4, func() {
		replica.restart()
		d.setDomainLost(lostDomain, false, (*searcher).restart)
	})
}

// setDomainLost applies change to the searchers of a failure domain and sets whether callers can use its
// entry instances.
func (d *Driver) setDomainLost(domain int, lost bool, change func(*searcher)) {
	for _, t := range d.targets {
		if s := d.searchers[t.ID]; s.domain == domain {
			change(s)
		}
	}
	for _, e := range d.entries {
		if e.domain == domain {
			e.unavailable = lost
		}
	}
}

// fail makes a searcher crash or become silent. A silent searcher loses its queued and running requests.
func (s *searcher) fail(failure health) {
	if failure == crashed {
		s.crash()
		return
	}
	s.health = silent
	for _, j := range s.jobs {
		j.ended, j.running = true, false
	}
	s.queue, s.jobs, s.busy = nil, nil, 0
}
