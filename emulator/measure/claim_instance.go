package measure

import (
	"slices"
	"strconv"
	"time"

	"hyssopcroft.example/control/claim"
)

// claimInstance models an instance that runs one claim.Log for each bucket, as the claims service does.
type claimInstance struct {
	run            *claimRun
	number         int
	id             string
	dead           bool
	pausedUntil    time.Time
	members        []string
	logs           [claim.Buckets]*claim.Log
	wakeTimes      [claim.Buckets]time.Time
	lastSubmission claim.SubmissionID
	callbacks      map[claim.SubmissionID]func(claim.Answer)
}

func (r *claimRun) startInstance(number int, id string) *claimInstance {
	r.startCount++
	i := &claimInstance{run: r, number: number, id: id, callbacks: map[claim.SubmissionID]func(claim.Answer){}}
	for b := range i.logs {
		i.logs[b] = claim.New(b, id+"-"+strconv.Itoa(r.startCount))
	}
	i.setMembers(r.members)
	return i
}

// runWhenActive runs f now, or at the end of the pause if the instance is paused. It does nothing if the
// instance is dead.
func (i *claimInstance) runWhenActive(f func()) {
	switch {
	case i.dead:
	case i.run.loop.Now().Before(i.pausedUntil):
		i.run.loop.At(i.pausedUntil, func() { i.runWhenActive(f) })
	default:
		f()
	}
}

func (i *claimInstance) setMembers(live []string) {
	i.runWhenActive(func() {
		i.members = live
		for b, log := range i.logs {
			i.perform(b, log.SetChosen(i.run.loop.Now(), i.isWriter(b)))
		}
	})
}

func (i *claimInstance) isWriter(bucket int) bool {
	return claim.ChooseWriter(bucket, i.members) == i.id
}

// submit implements executor.
func (i *claimInstance) submit(k claim.Key, first bool, respond func(claim.Answer)) {
	answered := false
	respondOnce := func(a claim.Answer) {
		if !answered {
			answered = true
			respond(a)
		}
	}
	i.runWhenActive(func() { i.route(k, first, 1, respondOnce) })
	i.run.loop.After(creditDeadline+answerGrace, func() {
		i.runWhenActive(func() { respondOnce(claim.Answer{State: claim.Unknown}) })
	})
}

// answerGrace is the time after the deadline in which an answer of the writer is still accepted.
const answerGrace = 500 * time.Millisecond

// route passes the submission to the writer of its bucket. While the chosen instance has not acted on the
// submission, route determines the writer again and retries, up to routeAttempts attempts.
func (i *claimInstance) route(k claim.Key, first bool, attempt int, respond func(claim.Answer)) {
	retry := func() {
		if attempt == routeAttempts {
			respond(i.unroutedAnswer(first))
			return
		}
		i.run.loop.After(routeRetryDelay, func() { i.runWhenActive(func() { i.route(k, first, attempt+1, respond) }) })
	}
	onAnswer := func(a claim.Answer) {
		if a.Reason == claim.ReasonReplaced {
			retry()
			return
		}
		respond(a)
	}
	id := claim.ChooseWriter(k.Bucket(), i.members)
	if id == i.id {
		i.execute(k, first, onAnswer)
		return
	}
	n := slices.IndexFunc(i.run.instances, func(o *claimInstance) bool { return o.id == id })
	if n < 0 || i.run.instances[n].dead {
		retry()
		return
	}
	i.forward(i.run.instances[n], k, first, retry, onAnswer)
}

func (i *claimInstance) forward(writer *claimInstance, k claim.Key, first bool, retry func(), onAnswer func(claim.Answer)) {
	answerLost := i.run.source.Float64() < i.run.scenario.Faults.lostAnswerShare
	sendBack := func(f func()) { i.run.loop.After(peerDelay, func() { i.runWhenActive(f) }) }
	i.run.loop.After(peerDelay, func() {
		writer.runWhenActive(func() {
			if !writer.isWriter(k.Bucket()) {
				sendBack(retry)
				return
			}
			writer.execute(k, first, func(a claim.Answer) {
				if !answerLost {
					sendBack(func() { onAnswer(a) })
				}
			})
		})
	})
}

// unroutedAnswer returns the answer to a submission that reached no writer. For a resend the state is
// unknown, because an earlier submission may have reached a writer.
func (i *claimInstance) unroutedAnswer(first bool) claim.Answer {
	if first {
		return claim.Answer{State: claim.NotRun, Reason: claim.ReasonReplaced}
	}
	return claim.Answer{State: claim.Unknown, Reason: claim.ReasonReplaced}
}

// execute submits to the log of the bucket and abandons the submission if its claim or its result
// takes too long.
func (i *claimInstance) execute(k claim.Key, first bool, respond func(claim.Answer)) {
	b := k.Bucket()
	log := i.logs[b]
	i.lastSubmission++
	id := i.lastSubmission
	i.callbacks[id] = respond
	i.perform(b, log.Submit(i.run.loop.Now(), claim.Submission{ID: id, Key: k, First: first}))
	abandon := func() { i.perform(b, log.Abandon(i.run.loop.Now(), k, id)) }
	i.run.loop.After(claimTimeout, func() {
		i.runWhenActive(func() {
			if !log.InFlight(k) {
				abandon()
			}
		})
	})
	i.run.loop.After(creditDeadline, func() { i.runWhenActive(abandon) })
}

func (i *claimInstance) perform(b int, actions []claim.Action) {
	for _, a := range actions {
		i.performAction(b, a)
	}
	wake := i.logs[b].NextWake()
	if wake.IsZero() || (wake.Equal(i.wakeTimes[b]) && wake.After(i.run.loop.Now())) {
		return
	}
	i.wakeTimes[b] = wake
	i.run.loop.At(wake, func() {
		i.runWhenActive(func() { i.perform(b, i.logs[b].OnWake(i.run.loop.Now())) })
	})
}

func (i *claimInstance) performAction(b int, a claim.Action) {
	store := i.run.store
	switch a.Kind {
	case claim.Reply:
		i.callbacks[a.Answer.Submission](a.Answer)
		delete(i.callbacks, a.Answer.Submission)
	case claim.Send:
		i.run.sendToTarget(a.Key, func(s claim.State) {
			i.handleEvent(b, func(now time.Time) []claim.Action { return i.logs[b].OnResult(now, a.Key, s, creditResult) })
		})
	case claim.ReadHead:
		store.read(func() func(bool) { return i.onHead(b, store.heads[b], store.versions[b]) })
	case claim.ReadSegment:
		store.read(func() func(bool) {
			records, found := store.segments[a.Segment]
			return i.onSegment(b, records, found)
		})
	case claim.WriteHead:
		store.writeHead(b, a, i.onHeadWritten(b))
	case claim.WriteSegment:
		store.writeSegment(a, i.onSegmentWritten(b))
	case claim.DeleteSegment:
		delete(store.segments, a.Segment)
	}
}

// creditResult is the result that the target returns for a credit.
const creditResult = "credited"

// handleEvent passes an event to the log of a bucket and performs the resulting actions.
func (i *claimInstance) handleEvent(b int, f func(now time.Time) []claim.Action) {
	i.runWhenActive(func() { i.perform(b, f(i.run.loop.Now())) })
}

func (i *claimInstance) onHead(b int, h claim.Head, v claim.Version) func(ok bool) {
	return func(ok bool) {
		if !ok {
			i.handleEvent(b, i.logs[b].OnReadFailed)
			return
		}
		i.handleEvent(b, func(now time.Time) []claim.Action { return i.logs[b].OnHead(now, h, v) })
	}
}

func (i *claimInstance) onSegment(b int, records []claim.Record, found bool) func(ok bool) {
	return func(ok bool) {
		if !ok || !found {
			i.handleEvent(b, i.logs[b].OnReadFailed)
			return
		}
		i.handleEvent(b, func(now time.Time) []claim.Action { return i.logs[b].OnSegment(now, records) })
	}
}

func (i *claimInstance) onHeadWritten(b int) func(writeResult, claim.Version) {
	return func(r writeResult, v claim.Version) {
		switch r {
		case written:
			i.handleEvent(b, func(now time.Time) []claim.Action { return i.logs[b].OnWritten(now, v) })
		case writeConflict:
			i.handleEvent(b, i.logs[b].OnConflict)
		default:
			i.handleEvent(b, i.logs[b].OnWriteUncertain)
		}
	}
}

func (i *claimInstance) onSegmentWritten(b int) func(writeResult) {
	return func(r writeResult) {
		if r == writeUncertain {
			i.handleEvent(b, i.logs[b].OnWriteUncertain)
			return
		}
		i.handleEvent(b, i.logs[b].OnSegmentWritten)
	}
}
