package measure

import (
	"slices"
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/scatter"
)

func init() {
	Register(Measure{
		Name:    "drain",
		Summary: "attempts sent to leaving targets after 3 s, with and without a mark in the platform's list",
		Run:     runDrain,
	})
}

const (
	// leavingGracePeriod is the time after which a leaving target must receive no more work.
	leavingGracePeriod = 3 * time.Second
	// listLag is the time after which the platform's list marks a target as leaving. The design page
	// states that the list lags, but not by how much.
	listLag = 2 * time.Second
)

// runDrain makes one replica of every shard leave at the first recorded query. In one case the list
// marks the targets after listLag, in the other it never does.
func runDrain(seed uint64) Report {
	r := NewReport()
	for _, d := range Deployments() {
		for _, ix := range d.Indexes {
			for _, marked := range []bool{true, false} {
				sc := Scenario{
					Deployment: d, Index: ix, Service: heavyTail, Utilisation: 0.2, Queries: 8_000, WarmUp: 2_000,
					Deadline: searchDeadline, Seed: seed,
				}
				name := d.Name + "-" + ix.Name + "-unmarked"
				if marked {
					name = d.Name + "-" + ix.Name + "-marked"
				}
				r.runDrainCase(name, sc, marked)
			}
		}
	}
	return r
}

func (r *Report) runDrainCase(name string, sc Scenario, marked bool) {
	var lateAttempts int
	sc.Fault = func(d *Driver) {
		lateAttempts = 0
		d.drainReplicas(marked, func() { lateAttempts++ })
	}
	sc.Baseline = true
	addCase(r.Baseline, name, NewDriver(sc).Run())
	r.Baseline[name+"/sent_after_3s"] = float64(lateAttempts)
	sc.Baseline = false
	addCase(r.Result, name, NewDriver(sc).Run())
	r.Result[name+"/sent_after_3s"] = float64(lateAttempts)
	addCase(r.Sizes, name, sc.sizes())
	r.ResultAtMost(name+"/sent_after_3s", 0)
}

// drainReplicas makes the first replica of every shard drain and calls onLateAttempt for each attempt
// that is sent to one of them after leavingGracePeriod.
func (d *Driver) drainReplicas(marked bool, onLateAttempt func()) {
	graceEnd := d.Loop.Now().Add(leavingGracePeriod)
	leaving := map[query.TargetID]bool{}
	targets := slices.Clone(d.targets)
	for s := range d.index.Shards {
		id := d.index.targetID(s, 0)
		leaving[id] = true
		d.searchers[id].health = draining
	}
	for i := range targets {
		targets[i].Leaving = leaving[targets[i].ID]
	}
	if marked {
		d.Loop.After(listLag, func() {
			for _, e := range d.entries {
				e.setTargets(targets)
			}
		})
	}
	d.onSend = func(_ *flight, a scatter.Action) {
		if leaving[a.Target] && d.Loop.Now().After(graceEnd) {
			onLateAttempt()
		}
	}
}
