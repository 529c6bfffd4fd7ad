package measure

import (
	"fmt"
	"time"
)

func init() {
	Register(Measure{
		Name:    "overload",
		Summary: "goodput, high-priority tail and truth of refusals at 1.5, 2 and 5 times capacity",
		Run:     runOverload,
	})
}

// priorityShares are the shares of batch, normal and high priority in all overload cases.
var priorityShares = []float64{0.3, 0.6, 0.1}

const (
	// unloadedUtilisation is the utilisation at which the unloaded tail latency of high priority is measured
	// and from which the load rises.
	unloadedUtilisation = 0.2
	// settleDuration is the time after the rise that is not recorded, recordDuration the time that is.
	settleDuration = 1500 * time.Millisecond
	recordDuration = 2 * time.Second
)

func runOverload(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		ix := d.Indexes[0]
		sc := Scenario{
			Deployment: d, Index: ix, Service: heavyTail, Utilisation: unloadedUtilisation, Queries: 20_000,
			WarmUp: 2_000, Deadline: searchDeadline, Seed: seed, PriorityShares: priorityShares,
		}
		unloadedP99 := NewDriver(sc).Run()["high_p99_ms"]
		for _, factor := range []float64{1.5, 2, 5} {
			sc.Utilisation, sc.WarmUpUtilisation = factor, unloadedUtilisation
			sc.Queries = int(sc.arrivalRate() * recordDuration.Seconds())
			sc.WarmUp = 2 * int(sc.arrivalRate()*settleDuration.Seconds())
			r.runOverloadCase(fmt.Sprintf("%s-%s-%gx", d.Name, ix.Name, factor), sc, unloadedP99)
		}
	}
	return r
}

func (r *Report) runOverloadCase(name string, sc Scenario, unloadedP99 float64) {
	r.runWithBaseline(name, sc)
	r.Sizes[name+"/unloaded_high_p99_ms"] = unloadedP99
	for _, figures := range []Figures{r.Baseline, r.Result} {
		figures[name+"/high_p99_of_unloaded"] = figures[name+"/high_p99_ms"] / unloadedP99
	}
	r.ResultAtLeast(name+"/goodput_of_capacity", 0.9)
	r.ResultAtMost(name+"/high_p99_of_unloaded", 1.5)
	r.ResultAtMost(name+"/run_though_refused", 0)
}

// overloadFigures adds the figures of a run with admission.
func (d *Driver) overloadFigures(f Figures) {
	s := &d.stats
	capacity := d.scenario.arrivalRate() / d.scenario.Utilisation
	f["goodput_of_capacity"] = float64(s.complete) / s.recordEnd.Sub(s.recordStart).Seconds() / capacity
	f["high_p99_ms"] = float64(s.highLatency.ValueAtQuantile(99)) / 1000
	f["high_answered"] = float64(s.highLatency.TotalCount())
	f["refused"] = float64(s.refused)
	f["run_though_refused"] = float64(s.sentAfterRefusal)
}
