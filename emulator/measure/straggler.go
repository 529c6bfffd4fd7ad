package measure

import "time"

func init() {
	Register(Measure{
		Name:    "straggler-tail",
		Summary: "tail latency with heavy-tailed service times and one slow replica",
		Run:     runStragglerTail,
	})
}

const (
	// slowFactor multiplies the service times of the slow replica.
	slowFactor = 4
	// searchDeadline is the default deadline of a search in the measures.
	searchDeadline = time.Second
)

func runStragglerTail(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, ix := range d.Sharded() {
			sc := Scenario{
				Deployment: d, Index: ix, Service: heavyTail, Utilisation: 0.2, Queries: 20_000, WarmUp: 2_000,
				Deadline: searchDeadline, Seed: seed,
				Setup: func(d *Driver) { d.searchers[ix.targetID(0, 0)].factor = slowFactor },
			}
			name := d.Name + "-" + ix.Name
			r.runWithBaseline(name, sc)
			r.RatioAtMost(name+"/p99_ms", 0.35)
			r.RatioAtMost(name+"/p99.9_ms", 0.2)
			r.ResultAtMost(name+"/attempts_per_shard", 1.03)
			r.ResultAtLeast(name+"/coverage", r.Baseline[name+"/coverage"])
		}
	}
	return r
}
