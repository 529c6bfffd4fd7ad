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
		Run:     runAtMostOnce,
	})
}

const (
	faultCredits = 30_000
	faultRate    = 250 // credits per second
	// maxStoreWriteRate is the maximum number of store writes per second that the claims may use.
	maxStoreWriteRate = 300
	// offerDuration is the time for which each rate is offered.
	offerDuration = 3 * time.Second
	// maxPromptLatency is the latency up to which an answer counts as prompt.
	maxPromptLatency    = time.Second
	atMostOnceInstances = 8
)

// offeredRates are the rates of new credits per second that are tried at maxStoreWriteRate.
var offeredRates = []float64{50, 100, 140, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 50_000, 100_000}

func runAtMostOnce(seed uint64) Report {
	r := NewReport()
	faults := claimScenario{
		Credits: faultCredits, CreditRate: faultRate, Instances: atMostOnceInstances, Seed: seed,
		Faults: claimFaults{
			lostAnswerShare: 0.01, lateEffectShare: 0.005, refusalShare: 0.005, replaceInterval: 3 * time.Second,
			pauseInterval: 3 * time.Second, outageInterval: 20 * time.Second, outageDuration: 3 * time.Second,
		},
	}
	r.Sizes["faults/credits"] = faultCredits
	r.Sizes["faults/credits_per_s"] = faultRate
	r.Sizes["instances"] = atMostOnceInstances
	r.Sizes["buckets"] = claim.Buckets
	r.Sizes["ceiling/store_writes_per_s"] = maxStoreWriteRate
	for _, baseline := range []bool{true, false} {
		dest := r.Result
		if baseline {
			dest = r.Baseline
		}
		faults.Baseline = baseline
		addCase(dest, "faults", runCredits(faults).figures())
		addCase(dest, "ceiling", sustainedRate(seed, baseline))
	}
	for _, figure := range []string{"run_twice", "said_not_run_but_run", "said_done_but_not_run", "without_an_answer", "submissions_without_an_answer"} {
		r.ResultAtMost("faults/"+figure, 0)
	}
	r.SetRatio("ceiling/credits_per_s")
	r.SetRatio("ceiling/claims_per_write")
	return r
}

func runCredits(sc claimScenario) *claimRun {
	w := newClaimRun(sc)
	w.run()
	return w
}

// figures returns the counts of the oracle.
func (w *claimRun) figures() Figures {
	f := Figures{
		"run_twice": 0, "said_not_run_but_run": 0, "said_done_but_not_run": 0, "without_an_answer": 0,
		"submissions_without_an_answer": float64(w.unanswered), "submissions": 0, "ran": 0, "certain": 0, "store_writes": float64(w.store.writeCount),
	}
	for _, c := range w.credits {
		f["submissions"] += float64(c.submissions)
		countIf(f, "run_twice", c.runs > 1)
		countIf(f, "said_not_run_but_run", c.falseNotRun)
		countIf(f, "said_done_but_not_run", c.falseDone)
		countIf(f, "without_an_answer", !c.ended)
		countIf(f, "ran", c.runs > 0)
		countIf(f, "certain", c.lastAnswer.State == claim.Done || c.lastAnswer.State == claim.NotRun)
	}
	return f
}

func countIf(f Figures, name string, condition bool) {
	if condition {
		f[name]++
	}
}

// sustainedRate returns the figures at the highest of the offered rates at which 99 of 100 credits are
// answered promptly at maxStoreWriteRate, without faults.
func sustainedRate(seed uint64, baseline bool) Figures {
	f := Figures{"credits_per_s": 0, "claims_per_write": 0, "p99_ms": 0, "kb_per_write": 0}
	for _, rate := range offeredRates {
		run := runCredits(claimScenario{
			Credits: int(rate * offerDuration.Seconds()), CreditRate: rate, Instances: atMostOnceInstances,
			MaxWriteRate: maxStoreWriteRate, Baseline: baseline, Seed: seed,
		})
		slices.Sort(run.latencies)
		p99 := run.latencies[len(run.latencies)*99/100]
		if p99 > maxPromptLatency {
			break
		}
		f["credits_per_s"] = rate
		f["claims_per_write"] = float64(len(run.credits)) / float64(run.store.writeCount)
		f["kb_per_write"] = float64(run.store.recordBytes) / float64(run.store.writeCount) / 1024
		f["p99_ms"] = p99.Seconds() * 1000
	}
	return f
}
