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

// The values of instance/entry, which is the other user of package quarantine.
const (
	modelCanaryPoll   = time.Millisecond
	modelCanaryPlaces = 4
	modelCanaryShare  = 4
	modelSuspectPeers = 4
	modelSuspectHops  = 7
	modelSuspectWait  = 50 * time.Millisecond
)

// ordinaryText returns a text of shape k.
func ordinaryText(k, number int) string { return strings.Repeat("sign, ", k) + fmt.Sprint(number) }

// crashRequest is one request at one entry instance.
type crashRequest struct {
	run         *crashRun
	entry       *entry
	request     query.Request
	recorded    bool
	started     time.Time
	fingerprint quarantine.Fingerprint
	shape       quarantine.Shape
}

// begin runs a request, with the precaution if the run has it.
func (c *crashRun) begin(e *entry, req query.Request, recorded bool) {
	req.Cleared = !c.precaution
	q := &crashRequest{run: c, entry: e, request: req, recorded: recorded, started: c.driver.Loop.Now()}
	q.fingerprint, q.shape = quarantine.Identify(req.Index, req.Query)
	q.admit()
}

func (q *crashRequest) admit() {
	if q.request.Cleared {
		q.scatter()
		return
	}
	l, loop := q.run.lists[q.entry], q.run.driver.Loop
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
		loop.After(modelCanaryPoll, q.admit)
	case quarantine.Canary:
		if q.recorded {
			q.run.canaries++
		}
		d := q.run.driver
		avoid := l.CrashedShards(loop.Now(), q.fingerprint)
		places := quarantine.CanaryTargets(q.fingerprint, d.shardMap, d.targets, avoid)
		q.canary(places[:min(modelCanaryPlaces, len(places))])
	}
}

func (q *crashRequest) refuse() {
	if q.request.Query != q.run.poison {
		q.run.refused++
	}
}

// pinned chooses one target.
type pinned query.TargetID

// Choose implements scatter.Chooser.
func (p pinned) Choose(query.Shard) (query.TargetID, bool) { return query.TargetID(p), true }

// canary asks the first place, and the next one if that does not take the request.
func (q *crashRequest) canary(places []quarantine.Crash) {
	l, d := q.run.lists[q.entry], q.run.driver
	if len(places) == 0 {
		q.endCanary()
		return
	}
	at, now := places[0], d.Loop.Now()
	req := q.request
	req.Deadline = now.Add(req.Deadline.Sub(now) / modelCanaryShare)
	m := query.Map{Version: version, Shards: []query.Shard{at.Shard}}
	f := q.flight(req, scatter.Config{Request: req, Map: m, Chooser: pinned(at.Target), NextAttempt: q.entry.nextAttempt})
	f.then = func(a query.Answer) {
		switch {
		case a.Coverage.Complete():
			l.RecordAnswer(q.fingerprint, q.shape)
			q.request.Cleared = true
			q.admit()
		case a.Coverage.Missing[0].Cause == query.CauseCrashed:
			told := min(q.crashed(at), modelSuspectWait)
			d.Loop.After(told, func() {
				l.EndCanary(q.fingerprint)
				q.admit()
			})
		case f.machine.MayHaveRun():
			q.endCanary()
		case a.Coverage.Missing[0].Cause == query.CauseUnreachable:
			q.awaitPeers(places[1:])
		default:
			q.canary(places[1:])
		}
	}
	f.perform(f.machine.Start(now))
}

// awaitPeers goes on with a canary whose target was not reached, unless the request has crashed a target
// elsewhere.
func (q *crashRequest) awaitPeers(places []quarantine.Crash) {
	l := q.run.lists[q.entry]
	before := l.CrashCount(q.fingerprint)
	q.run.driver.Loop.After(modelSuspectWait, func() {
		if l.CrashCount(q.fingerprint) == before {
			q.canary(places)
			return
		}
		l.EndCanary(q.fingerprint)
		q.admit()
	})
}

// endCanary follows a canary without an answer and without a crash.
func (q *crashRequest) endCanary() {
	l := q.run.lists[q.entry]
	held := l.Restricted(q.fingerprint)
	l.EndCanary(q.fingerprint)
	if held {
		q.refuse()
		return
	}
	q.scatter()
}

func (q *crashRequest) flight(req query.Request, cfg scatter.Config) *flight {
	return &flight{
		entry: q.entry, request: req, version: version, started: q.started, recorded: q.recorded,
		jobs: map[query.AttemptID]*job{}, machine: trace.NewMachine(cfg, recorder),
	}
}

// scatter asks all shards.
func (q *crashRequest) scatter() {
	d := q.run.driver
	f := q.flight(q.request, q.entry.machineConfig(q.request, d.shardMap))
	f.then = func(a query.Answer) { q.finish(f, a) }
	f.observe = func(a scatter.Action, o query.Outcome) {
		switch {
		case o == query.OutcomeAnswered:
			q.request.Cleared = true
		case o == query.OutcomeCrashed && !q.request.Cleared:
			q.crashed(quarantine.Crash{Shard: a.Shard, Target: a.Target})
		}
	}
	f.perform(f.machine.Start(d.Loop.Now()))
}

// finish records the answer, or asks again if no target answered and one crashed.
func (q *crashRequest) finish(f *flight, a query.Answer) {
	if len(a.Coverage.Included) > 0 {
		q.run.lists[q.entry].RecordAnswer(q.fingerprint, q.shape)
	}
	for _, m := range a.Coverage.Missing {
		if m.Cause == query.CauseCrashed && len(a.Coverage.Included) == 0 && !q.request.Cleared {
			q.crashed(quarantine.Crash{Shard: m.Shard})
			q.admit()
			return
		}
	}
	if q.recorded {
		q.run.driver.record(f, a)
	}
}

// crashed notes a crash and tells the peers. It returns the time until they have answered.
func (q *crashRequest) crashed(c quarantine.Crash) time.Duration {
	if !q.run.lists[q.entry].RecordCrash(q.run.driver.Loop.Now(), q.fingerprint, q.shape, c) {
		return 0
	}
	return q.tell(q.entry, c, modelSuspectHops)
}

// tell sends a suspicion to a few peers, which pass it on if it is new to them.
func (q *crashRequest) tell(from *entry, c quarantine.Crash, hops int) time.Duration {
	d := q.run.driver
	var longest time.Duration
	sent := 0
	for _, i := range d.source.Perm(len(d.entries)) {
		to := d.entries[i]
		if to == from || sent == modelSuspectPeers {
			continue
		}
		sent++
		delay := d.delay(from.domain, to.domain)
		longest = max(longest, delay+d.delay(to.domain, from.domain))
		d.Loop.After(delay, func() {
			if q.run.lists[to].RecordCrash(d.Loop.Now(), q.fingerprint, q.shape, c) && hops > 0 {
				q.tell(to, c, hops-1)
			}
		})
	}
	return longest
}
