package measure

import "time"

func init() {
	Register(Measure{
		Name:    "cold-start",
		Summary: "tail latency while a third of the targets starts cold",
		Run:     runColdStart,
	})
}

// coldRestartDelay is the time between the crash of the targets and their restart with cold caches.
const coldRestartDelay = time.Second

// runColdStart replaces one replica of every shard at the first recorded query. The project states no
// bound for the ratio, so the goal is that the result does not exceed the baseline.
func runColdStart(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, ix := range d.Sharded() {
			sc := Scenario{
				Deployment: d, Index: ix, Service: heavyTail, Utilisation: 0.2, Queries: 5_000, WarmUp: 2_000,
				Deadline: searchDeadline, Seed: seed,
				Fault: func(d *Driver) {
					for s := range ix.Shards {
						d.searchers[ix.targetID(s, s%ix.Replicas)].crash()
					}
					d.Loop.After(coldRestartDelay, func() {
						for s := range ix.Shards {
							d.searchers[ix.targetID(s, s%ix.Replicas)].restart()
						}
					})
				},
			}
			name := d.Name + "-" + ix.Name
			r.runWithBaseline(name, sc)
			r.RatioAtMost(name+"/p99_ms", 1)
		}
	}
	return r
}
