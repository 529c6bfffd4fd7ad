package measure

import (
	"fmt"
	"time"

	"hyssopcroft.example/query"
)

// checkAnswer counts an answer and compares it with the true state of the index. Answers to queries of the
// warm-up are ignored.
func (r *churnRun) checkAnswer(req query.Request, a query.Answer, started time.Time) {
	if started.Before(r.end.Add(churnWarmUp - r.size.duration)) {
		return
	}
	s := &r.stats
	s.answers++
	s.versionsBehind += int64(len(r.model.maps)) - int64(a.Snapshot)
	if a.Coverage.Complete() {
		s.complete++
	}
	for _, m := range a.Coverage.Missing {
		s.missing[m.Cause]++
	}
	if hasMixedHits(req.ID, a) {
		s.mixed++
	}
	if !r.hasTrueCoverage(req.ID, a) {
		s.falseCoverage++
	}
}

// hasMixedHits reports whether a hit belongs to another request or another version than the answer.
func hasMixedHits(id query.RequestID, a query.Answer) bool {
	prefix := fmt.Sprintf("%s/%d/", id, a.Snapshot)
	for _, h := range a.Hits {
		if len(h.ID) <= len(prefix) || h.ID[:len(prefix)] != prefix {
			return true
		}
	}
	return false
}

// hasTrueCoverage reports whether each shard in the map of the answer's version is either included with its
// hit or missing without one.
func (r *churnRun) hasTrueCoverage(id query.RequestID, a query.Answer) bool {
	truth, known := r.model.mapAt(a.Snapshot)
	if !known || a.Request != id || len(truth.Shards) != len(a.Coverage.Included)+len(a.Coverage.Missing) {
		return false
	}
	remaining := map[query.Shard]bool{}
	for _, s := range truth.Shards {
		remaining[s] = true
	}
	hits := map[string]bool{}
	for _, h := range a.Hits {
		hits[h.ID] = true
	}
	for _, s := range a.Coverage.Included {
		if !remaining[s] || !hits[churnHit(id, a.Snapshot, s)] {
			return false
		}
		delete(remaining, s)
	}
	for _, m := range a.Coverage.Missing {
		if !remaining[m.Shard] {
			return false
		}
		delete(remaining, m.Shard)
	}
	return len(remaining) == 0 && len(hits) == len(a.Coverage.Included) && len(a.Hits) == len(hits)
}

func (r *churnRun) figures() Figures {
	s := &r.stats
	per := func(n int64) float64 { return float64(n) / float64(max(1, s.answers)) }
	f := Figures{
		"answers": float64(s.answers), "complete_share": per(s.complete), "mixed_answers": float64(s.mixed),
		"false_coverage": float64(s.falseCoverage), "restarts": float64(s.restarts), "choices_moved_back": float64(s.movedBack),
		"attempts_per_query": per(s.attempts), "groups_sent_per_query": per(s.groupsSent), "versions_behind": per(s.versionsBehind),
	}
	for cause, n := range s.missing {
		f["missing_"+string(cause)] = float64(n)
	}
	return f
}

// runChurn runs queries over one level and over two, each with and without crossed replies. The baseline
// queries one replica of each shard at the newest published map, over one level, and never restarts.
func runChurn(seed uint64) Report {
	report := NewReport()
	for _, c := range []struct {
		name string
		size churnSize
	}{
		{"one_level", churnSize{deployment: Deployments()[1], replicaSets: 15, connections: 25, duration: churnDuration}},
		{"two_levels", churnSize{deployment: wideDeployment(28), replicaSets: 60, connections: 8, duration: churnDuration}},
	} {
		for _, crossed := range []bool{false, true} {
			name := c.name
			if crossed {
				name += "_crossed"
			}
			base := c.size
			base.connections = 2 * base.deployment.Entries // enough for one level
			addCase(report.Baseline, name, newChurnRun(base, seed, true, crossed).run())
			addCase(report.Result, name, newChurnRun(c.size, seed, false, crossed).run())
			report.ResultAtMost(name+"/mixed_answers", 0)
			report.ResultAtMost(name+"/false_coverage", 0)
			if !crossed {
				report.ResultAtLeast(name+"/complete_share", minCompleteShare)
			}
		}
		addCase(report.Sizes, c.name, Figures{
			"instances": float64(c.size.deployment.Entries), "replica_sets": float64(c.size.replicaSets),
			"replicas": churnReplicas, "connection_limit": float64(c.size.connections), "queries_per_s": churnRate,
			"seconds": churnDuration.Seconds(), "deadline_ms": searchDeadline.Seconds() * 1000,
		})
	}
	return report
}
