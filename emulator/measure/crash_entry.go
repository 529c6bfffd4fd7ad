package measure

import (
	"fmt"
	"strings"
	"time"

	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/scatter"
)

// The values are those of instance/entry, which also uses package quarantine.
const (
	modelCanaryPollInterval   = time.Millisecond
	modelMaxCanaryTargets     = 4
	modelCanaryTimeoutDivisor = 4
	modelNotifyFanOut         = 4
	modelMaxSuspicionHops     = 7
	modelPeerReportTimeout    = 50 * time.Millisecond
)

// ordinaryText returns a text of ordinary shape k.
func ordinaryText(k, number int) string { return strings.Repeat("sign, ", k) + fmt.Sprint(number) }

// crashRequest is one request at one entry instance, which may crash the searchers that run it.
type crashRequest struct {
	run         *crashRun
	entry       *entry
	request     query.Request
	recorded    bool
	started     time.Time
	fingerprint quarantine.Fingerprint
	shape       quarantine.Shape
}

// startRequest starts a request at an entry instance, with quarantine if the run uses it.
func (c *crashRun) startRequest(e *entry, req query.Request, recorded bool) {
	req.Cleared = !c.useQuarantine
	q := &crashRequest{run: c, entry: e, request: req, recorded: recorded, started: c.driver.Loop.Now()}
	q.fingerprint, q.shape = quarantine.Identify(req.Index, req.Query)
	q.admit()
}

func (q *crashRequest) admit() {
	if q.request.Cleared {
		q.scatter()
		return
	}
	l, loop := q.run.quarantines[q.entry], q.run.driver.Loop
	switch l.Admit(loop.Now(), q.fingerprint, q.shape) {
	case quarantine.Run:
		q.scatter()
	case quarantine.Refuse:
		q.refuse()
	case quarantine.Wait:
		if !loop.Now().Before(q.request.Deadline) {
			q.refuse()
			return
		}
		loop.After(modelCanaryPollInterval, q.admit)
	case quarantine.Canary:
		if q.recorded {
			q.run.canaries++
		}
		d := q.run.driver
		avoid := l.CrashedShards(loop.Now(), q.fingerprint)
		candidates := quarantine.CanaryTargets(q.fingerprint, d.shardMap, d.targets, avoid)
		q.runCanary(candidates[:min(modelMaxCanaryTargets, len(candidates))])
	}
}

// refuse counts a refused request unless its text is the one that crashes searchers.
func (q *crashRequest) refuse() {
	if q.request.Query != q.run.poisonText {
		q.run.refusedOrdinary++
	}
}

// pinned is a chooser that always returns the same target.
type pinned query.TargetID

// Choose implements scatter.Chooser.
func (p pinned) Choose(query.Shard) (query.TargetID, bool) { return query.TargetID(p), true }

// runCanary sends the request to the first candidate, and to the next one if that does not run the request.
func (q *crashRequest) runCanary(candidates []quarantine.Crash) {
	l, d := q.run.quarantines[q.entry], q.run.driver
	if len(candidates) == 0 {
		q.onInconclusiveCanary()
		return
	}
	candidate, now := candidates[0], d.Loop.Now()
	req := q.request
	req.Deadline = now.Add(req.Deadline.Sub(now) / modelCanaryTimeoutDivisor)
	m := query.Map{Version: snapshotVersion, Shards: []query.Shard{candidate.Shard}}
	f := q.newFlight(req, scatter.Config{Request: req, Map: m, Chooser: pinned(candidate.Target), NextAttempt: q.entry.nextAttempt})
	f.onFinish = func(a query.Answer) {
		switch {
		case a.Coverage.Complete():
			l.RecordAnswer(q.fingerprint, q.shape)
			q.request.Cleared = true
			q.admit()
		case a.Coverage.Missing[0].Cause == query.CauseCrashed:
			notifyTime := min(q.recordCrash(candidate), modelPeerReportTimeout)
			d.Loop.After(notifyTime, func() {
				l.EndCanary(q.fingerprint)
				q.admit()
			})
		case f.machine.MayHaveRun():
			q.onInconclusiveCanary()
		case a.Coverage.Missing[0].Cause == query.CauseUnreachable:
			q.awaitPeers(candidates[1:])
		default:
			q.runCanary(candidates[1:])
		}
	}
	f.perform(f.machine.Start(now))
}

// awaitPeers waits for reports of peers and then tries the next candidates of a canary whose target was
// not reached, unless the request has crashed a target meanwhile.
func (q *crashRequest) awaitPeers(candidates []quarantine.Crash) {
	l := q.run.quarantines[q.entry]
	before := l.CrashCount(q.fingerprint)
	q.run.driver.Loop.After(modelPeerReportTimeout, func() {
		if l.CrashCount(q.fingerprint) == before {
			q.runCanary(candidates)
			return
		}
		l.EndCanary(q.fingerprint)
		q.admit()
	})
}

// onInconclusiveCanary handles a canary that ended without an answer and without a crash. The request is
// refused if it is held back, and otherwise sent to all shards.
func (q *crashRequest) onInconclusiveCanary() {
	l := q.run.quarantines[q.entry]
	heldBack := l.Restricted(q.fingerprint)
	l.EndCanary(q.fingerprint)
	if heldBack {
		q.refuse()
		return
	}
	q.scatter()
}

func (q *crashRequest) newFlight(req query.Request, cfg scatter.Config) *flight {
	return &flight{
		entry: q.entry, request: req, version: snapshotVersion, started: q.started, recorded: q.recorded,
		jobs: map[query.AttemptID]*job{}, machine: trace.NewMachine(cfg, recorder),
	}
}

// scatter sends the request to all shards.
func (q *crashRequest) scatter() {
	d := q.run.driver
	f := q.newFlight(q.request, q.entry.machineConfig(q.request, d.shardMap))
	f.onFinish = func(a query.Answer) { q.finish(f, a) }
	f.onOutcome = func(a scatter.Action, o query.Outcome) {
		switch {
		case o == query.OutcomeAnswered:
			q.request.Cleared = true
		case o == query.OutcomeCrashed && !q.request.Cleared:
			q.recordCrash(quarantine.Crash{Shard: a.Shard, Target: a.Target})
		}
	}
	f.perform(f.machine.Start(d.Loop.Now()))
}

// finish records the answer, or admits the request again if no target answered and one crashed.
func (q *crashRequest) finish(f *flight, a query.Answer) {
	if len(a.Coverage.Included) > 0 {
		q.run.quarantines[q.entry].RecordAnswer(q.fingerprint, q.shape)
	}
	for _, m := range a.Coverage.Missing {
		if m.Cause == query.CauseCrashed && len(a.Coverage.Included) == 0 && !q.request.Cleared {
			q.recordCrash(quarantine.Crash{Shard: m.Shard})
			q.admit()
			return
		}
	}
	if q.recorded {
		q.run.driver.record(f, a)
	}
}

// recordCrash records a crash and notifies the peers if it is new. It returns the time until they have
// answered.
func (q *crashRequest) recordCrash(c quarantine.Crash) time.Duration {
	if !q.run.quarantines[q.entry].RecordCrash(q.run.driver.Loop.Now(), q.fingerprint, q.shape, c) {
		return 0
	}
	return q.notifyPeers(q.entry, c, modelMaxSuspicionHops)
}

// notifyPeers sends a suspicion to up to modelNotifyFanOut random peers, which forward it if it is new to
// them. It returns the maximum round trip to these peers.
func (q *crashRequest) notifyPeers(from *entry, c quarantine.Crash, hops int) time.Duration {
	d := q.run.driver
	var maxRoundTrip time.Duration
	sent := 0
	for _, i := range d.source.Perm(len(d.entries)) {
		to := d.entries[i]
		if to == from || sent == modelNotifyFanOut {
			continue
		}
		sent++
		delay := d.delay(from.domain, to.domain)
		maxRoundTrip = max(maxRoundTrip, delay+d.delay(to.domain, from.domain))
		d.Loop.After(delay, func() {
			if q.run.quarantines[to].RecordCrash(d.Loop.Now(), q.fingerprint, q.shape, c) && hops > 0 {
				q.notifyPeers(to, c, hops-1)
			}
		})
	}
	return maxRoundTrip
}
