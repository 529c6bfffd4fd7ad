package measure

// runWithBaseline runs a scenario with the baseline and then with the current decisions, and adds the
// figures of both under the name of the case.
func (r *Report) runWithBaseline(name string, sc Scenario) {
	sc.Baseline = true
	addCase(r.Baseline, name, NewDriver(sc).Run())
	sc.Baseline = false
	addCase(r.Result, name, NewDriver(sc).Run())
	addCase(r.Sizes, name, sc.sizes())
	for _, figure := range []string{"p50_ms", "p99_ms", "p99.9_ms"} {
		r.SetRatio(name + "/" + figure)
	}
}

// addCase adds figures under the name of a case.
func addCase(to Figures, name string, figures Figures) {
	for figure, v := range figures {
		to[name+"/"+figure] = v
	}
}

// sizes returns the sizes of the scenario for the report.
func (sc Scenario) sizes() Figures {
	return Figures{
		"entries": float64(sc.Deployment.Entries), "shards": float64(sc.Index.Shards),
		"replicas": float64(sc.Index.Replicas), "slots": float64(sc.Index.Slots),
		"queries": float64(sc.Queries), "queries_per_s": sc.arrivalRate(), "utilisation": sc.Utilisation,
		"mean_service_ms": sc.Service.mean().Seconds() * 1000, "deadline_ms": sc.Deadline.Seconds() * 1000,
	}
}
