package measure

import (
	"time"

	"hyssopcroft.example/emulator/rolling"
)

func init() {
	Register(Measure{
		Name:    "rolling-replace",
		Summary: "requests that callers lose while each instance of a fleet on loopback is replaced, in real time",
		Run:     runRollingReplace,
	})
}

// runRollingReplace compares a shutdown in phases with instances that refuse work and stop at once, for a
// flat fan-out and over relays.
func runRollingReplace(seed uint64) Report {
	r := NewReport()
	cfg := rolling.Config{
		Instances: 4, Workers: 40, BalancerPoll: time.Second, MeanServiceTime: 20 * time.Millisecond,
		SettleTime: 2 * time.Second, Seed: seed,
	}
	r.Sizes["instances"] = float64(cfg.Instances)
	r.Sizes["workers"] = float64(cfg.Workers)
	r.Sizes["balancer_poll_s"] = cfg.BalancerPoll.Seconds()
	for _, c := range []struct {
		name        string
		connections int
	}{{"flat", 25}, {"relays", 5}} {
		cfg.Connections = c.connections
		r.Sizes[c.name+"/connections"] = float64(c.connections)
		cfg.BalancerLag = time.Millisecond
		addCase(r.Baseline, c.name, replacementFigures(cfg))
		cfg.BalancerLag = 5 * time.Second
		addCase(r.Result, c.name, replacementFigures(cfg))
		r.ResultAtMost(c.name+"/requests_cut", 0)
		r.ResultAtMost(c.name+"/new_work_after_3s_of_refusal", 0)
		r.ResultAtMost(c.name+"/run_twice", 0)
		r.ResultAtLeast(c.name+"/replaced", float64(cfg.Instances))
	}
	return r
}

func replacementFigures(cfg rolling.Config) Figures {
	result, err := rolling.Run(cfg)
	f := Figures{
		"requests": float64(result.Requests), "requests_cut": float64(result.Interrupted),
		"requests_refused": float64(result.Refused), "searches_incomplete": float64(result.Incomplete), "new_work_after_3s_of_refusal": float64(result.Late),
		"run_twice": float64(result.RunTwice), "longest_stop_s": result.MaxStopTime.Seconds(),
		"replaced": float64(result.Replaced),
	}
	if err != nil {
		f["replaced"] = 0
	}
	return f
}
