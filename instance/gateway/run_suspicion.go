package gateway

import (
	"slices"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/query"
)

// attemptLimit returns the maximum number of attempts per shard of a request. If targets have crashed on earlier
// submissions, the attempts and these crashes together do not exceed crashLimit; one attempt is always allowed.
func attemptLimit(maxAttempts, crashes int) int {
	if crashes > 0 {
		maxAttempts = min(maxAttempts, crashLimit-crashes)
	}
	return max(1, maxAttempts)
}

// crashCount returns the number of targets that closed their connections while they ran the request, including the
// crashes of earlier submissions.
func (q *run) crashCount() int {
	var targets []query.TargetID
	for _, r := range q.attempts {
		if r.hasOutcome(query.OutcomeCrashed) && !slices.Contains(targets, r.target) {
			targets = append(targets, r.target)
		}
	}
	return q.priorCrashes + len(targets)
}

// updateSuspicion evaluates a request that has ended. If the targets of all its shards succeeded, the suspicion ends.
// Otherwise, the targets that crashed meanwhile are reported. An error response does not show that the request is harmless: a
// failing target also sends one instead of running the request. Nor does the answer of one shard say anything about another.
func (q *run) updateSuspicion() {
	if q.machine.Covered() == len(q.resolved.shards) {
		q.recordCompleteAnswer()
		return
	}
	if q.priorCrashes > 0 {
		q.probeUnanswered()
	}
	for _, p := range q.probes {
		q.service.addUnanswered(p, newSubmission(q.id, q.request, q.fingerprint()))
	}
}

// recordCompleteAnswer records that targets have answered the request. If that ends a suspicion, the other instances are told:
// they would count the crashes before and after the answer together.
func (q *run) recordCompleteAnswer() {
	f, now := q.fingerprint(), time.Now()
	if !q.service.suspects.recordCompleteAnswer(now, f) {
		return
	}
	q.service.cfg.Log.Info("targets answered a suspected request; its suspicion ends", "request", q.request.ID,
		fingerprintAttr(f), "crashed_targets", q.priorCrashes)
	q.service.sendToOthers(peer.Suspicion{Fingerprint: f, Answered: now})
	if q.isTrial {
		q.service.cfg.ReleaseQuarantined(f)
	}
}

// probeUnanswered probes the targets of attempts that ended without a sign. The end of the connection of a crashed target
// may be lost on the way, and an attempt that was cancelled would not have shown it.
func (q *run) probeUnanswered() {
	for _, r := range q.attempts {
		if r.entry.Address == "" || r.phase == replied && r.outcome != query.OutcomeUnknown {
			continue
		}
		q.addProbe(q.service.probe(r.entry, false))
	}
}

// onClosed adds the probe of a target that has closed a connection. Its crash counts when the request ends without an answer.
// It counts at once if no target has answered for long: then the request is likely to crash the others too, and another
// submission may arrive at any instance before it ends.
func (q *run) onClosed(p *crashProbe) {
	q.addProbe(p)
	if q.machine.IsOverdue() {
		q.service.addUnanswered(p, newSubmission(q.id, q.request, q.fingerprint()))
	}
}

// addProbe adds the probe of a target of the request, unless it is there already.
func (q *run) addProbe(p *crashProbe) {
	if !slices.Contains(q.probes, p) {
		q.probes = append(q.probes, p)
	}
}
