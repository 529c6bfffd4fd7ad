package measure

import (
	"slices"
	"time"

	"hyssopcroft.example/control/claim"
)

func init() {
	Register(Measure{
		Name:    "at-most-once",
		Summary: "credits that may not be repeated, under faults, and how many 300 store writes a second carry",
		Run:     atMostOnce,
	})
}

const (
	faultCredits = 30_000
	faultRate    = 250 // credits per second
	// writeCeiling is the number of store writes per second that the claims may use.
	writeCeiling = 300
	// ceilingTime is how long each rate is offered.
	ceilingTime = 3 * time.Second
	// promptly is the time within which a credit at a bearable rate is answered.
	promptly      = time.Second
	instancesHere = 8
)

// offeredRates are the rates of new credits, per second, that are tried against the write ceiling.
var offeredRates = []float64{50, 100, 140, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 50_000, 100_000}

func atMostOnce(seed uint64) Report {
	r := NewReport()
	faults := claimScenario{
		Credits: faultCredits, Rate: faultRate, Instances: instancesHere, Seed: seed,
		Faults: claimFaults{
			loseAnswer: 0.01, lateEffect: 0.005, refuse: 0.005, replaceEvery: 3 * time.Second,
			pauseEvery: 3 * time.Second, outageEvery: 20 * time.Second, outage: 3 * time.Second,
		},
	}
	r.Sizes["faults/credits"] = faultCredits
	r.Sizes["faults/credits_per_s"] = faultRate
	r.Sizes["instances"] = instancesHere
	r.Sizes["buckets"] = claim.Buckets
	r.Sizes["ceiling/store_writes_per_s"] = writeCeiling
	for _, baseline := range []bool{true, false} {
		into := r.Result
		if baseline {
			into = r.Baseline
		}
		faults.Baseline = baseline
		add(into, "faults", runCredits(faults).figures())
		add(into, "ceiling", carriedRate(seed, baseline))
	}
	for _, figure := range []string{"run_twice", "said_not_run_but_run", "said_done_but_not_run", "without_an_answer", "submissions_without_an_answer"} {
		r.ResultAtMost("faults/"+figure, 0)
	}
	r.SetRatio("ceiling/credits_per_s")
	r.SetRatio("ceiling/claims_per_write")
	return r
}

func runCredits(sc claimScenario) *claimWorld {
	w := newClaimWorld(sc)
	w.run()
	return w
}

// figures counts what the oracle found.
func (w *claimWorld) figures() Figures {
	f := Figures{
		"run_twice": 0, "said_not_run_but_run": 0, "said_done_but_not_run": 0, "without_an_answer": 0,
		"submissions_without_an_answer": float64(w.silent), "submissions": 0, "ran": 0, "certain": 0, "store_writes": float64(w.store.writes),
	}
	for _, c := range w.credits {
		f["submissions"] += float64(c.submissions)
		count(f, "run_twice", c.runs > 1)
		count(f, "said_not_run_but_run", c.saidNotRun)
		count(f, "said_done_but_not_run", c.saidDone)
		count(f, "without_an_answer", !c.ended)
		count(f, "ran", c.runs > 0)
		count(f, "certain", c.last.State == claim.Done || c.last.State == claim.NotRun)
	}
	return f
}

func count(f Figures, name string, is bool) {
	if is {
		f[name]++
	}
}

// carriedRate returns the highest of the offered rates of which 99 of 100 credits are answered
// promptly at the write ceiling, without faults.
func carriedRate(seed uint64, baseline bool) Figures {
	f := Figures{"credits_per_s": 0, "claims_per_write": 0, "p99_ms": 0, "kb_per_write": 0}
	for _, rate := range offeredRates {
		w := runCredits(claimScenario{
			Credits: int(rate * ceilingTime.Seconds()), Rate: rate, Instances: instancesHere,
			Writes: writeCeiling, Baseline: baseline, Seed: seed,
		})
		slices.Sort(w.took)
		p99 := w.took[len(w.took)*99/100]
		if p99 > promptly {
			break
		}
		f["credits_per_s"] = rate
		f["claims_per_write"] = float64(len(w.credits)) / float64(w.store.writes)
		f["kb_per_write"] = float64(w.store.bytes) / float64(w.store.writes) / 1024
		f["p99_ms"] = p99.Seconds() * 1000
	}
	return f
}
