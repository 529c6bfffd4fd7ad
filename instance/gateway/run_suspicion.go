package gateway

import (
	"slices"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/control/roster"
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
	if len(q.attempts) == 0 {
		return
	}
	submission := newSubmission(q)
	for _, p := range q.probes {
		q.service.addUnanswered(p, submission)
	}
	q.service.rememberUnanswered(q.unansweredTargets(), submission)
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

// unansweredTargets returns the entries of the targets that have neither answered nor closed a connection, of shards without an
// answer. An attempt that was cancelled would not have shown its crash.
func (q *run) unansweredTargets() []roster.Entry {
	answered := map[query.Shard]bool{}
	for _, r := range q.attempts {
		if r.hasOutcome(query.OutcomeAnswered) {
			answered[r.shard] = true
		}
	}
	var entries []roster.Entry
	for _, r := range q.attempts {
		isUnanswered := r.phase != replied || r.outcome == query.OutcomeUnknown && !r.closed
		if isUnanswered && r.entry.Address != "" && !answered[r.shard] {
			entries = append(entries, r.entry)
		}
	}
	return entries
}

// onTargetsLost counts the crashes of targets that the list has lost while the request waits for them. Its submission may go
// on for long, and the same request may arrive at any instance meanwhile.
func (q *run) onTargetsLost() {
	lost := q.service.lostOf(q.unansweredTargets())
	if len(lost) == 0 {
		return
	}
	submission := newSubmission(q)
	for _, e := range lost {
		q.service.addUnanswered(q.service.probe(e, false), submission)
	}
}

// onClosed adds the probe of a target that has closed a connection. Its crash counts when the request ends without an answer.
// It counts at once if no target has answered for long: then the request is likely to crash the others too, and another
// submission may arrive at any instance before it ends.
func (q *run) onClosed(p *crashProbe) {
	q.addProbe(p)
	if q.machine.IsOverdue() {
		q.service.addUnanswered(p, newSubmission(q))
	}
}

// addProbe adds the probe of a target of the request, unless it is there already.
func (q *run) addProbe(p *crashProbe) {
	if !slices.Contains(q.probes, p) {
		q.probes = append(q.probes, p)
	}
}
