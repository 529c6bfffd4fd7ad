package measure

import (
	"slices"
	"strconv"
	"time"

	"hyssopcroft.example/control/claim"
)

// claimInstance drives one claim.Log for each bucket, as the claims service does.
type claimInstance struct {
	world       *claimWorld
	number      int
	id          string
	dead        bool
	pausedUntil time.Time
	view        []string
	logs        [claim.Buckets]*claim.Log
	wakes       [claim.Buckets]time.Time
	last        claim.SubmissionID
	answers     map[claim.SubmissionID]func(claim.Answer)
}

func (w *claimWorld) startInstance(number int, id string) *claimInstance {
	w.starts++
	i := &claimInstance{world: w, number: number, id: id, answers: map[claim.SubmissionID]func(claim.Answer){}}
	for b := range i.logs {
		i.logs[b] = claim.New(b, id+"-"+strconv.Itoa(w.starts))
	}
	i.setView(w.live)
	return i
}

// on runs f now, or after the pause of the instance, or never if it is dead.
func (i *claimInstance) on(f func()) {
	switch {
	case i.dead:
	case i.world.loop.Now().Before(i.pausedUntil):
		i.world.loop.At(i.pausedUntil, func() { i.on(f) })
	default:
		f()
	}
}

func (i *claimInstance) setView(live []string) {
	i.on(func() {
		i.view = live
		for b, log := range i.logs {
			i.perform(b, log.SetChosen(i.world.loop.Now(), i.writes(b)))
		}
	})
}

func (i *claimInstance) writes(bucket int) bool { return claim.ChooseWriter(bucket, i.view) == i.id }

// submit implements executor.
func (i *claimInstance) submit(k claim.Key, first bool, respond func(claim.Answer)) {
	answered := false
	once := func(a claim.Answer) {
		if !answered {
			answered = true
			respond(a)
		}
	}
	i.on(func() { i.route(k, first, 1, once) })
	i.world.loop.After(creditDeadline+creditMargin, func() {
		i.on(func() { once(claim.Answer{State: claim.Unknown}) })
	})
}

// creditMargin is the time after the deadline in which the answer of a writer still counts.
const creditMargin = 500 * time.Millisecond

// route gives the submission to the writer of its bucket and looks for it again while the instance
// that it found has done nothing with the request.
func (i *claimInstance) route(k claim.Key, first bool, attempt int, respond func(claim.Answer)) {
	again := func() {
		if attempt == routeAttempts {
			respond(i.unsent(first))
			return
		}
		i.world.loop.After(routeRetry, func() { i.on(func() { i.route(k, first, attempt+1, respond) }) })
	}
	answer := func(a claim.Answer) {
		if a.Reason == claim.ReasonReplaced {
			again()
			return
		}
		respond(a)
	}
	id := claim.ChooseWriter(k.Bucket(), i.view)
	if id == i.id {
		i.execute(k, first, answer)
		return
	}
	n := slices.IndexFunc(i.world.instances, func(o *claimInstance) bool { return o.id == id })
	if n < 0 || i.world.instances[n].dead {
		again()
		return
	}
	i.forward(i.world.instances[n], k, first, again, answer)
}

func (i *claimInstance) forward(writer *claimInstance, k claim.Key, first bool, again func(), answer func(claim.Answer)) {
	lost := i.world.source.Float64() < i.world.scenario.Faults.loseAnswer
	back := func(f func()) { i.world.loop.After(peerDelay, func() { i.on(f) }) }
	i.world.loop.After(peerDelay, func() {
		writer.on(func() {
			if !writer.writes(k.Bucket()) {
				back(again)
				return
			}
			writer.execute(k, first, func(a claim.Answer) {
				if !lost {
					back(func() { answer(a) })
				}
			})
		})
	})
}

func (i *claimInstance) unsent(first bool) claim.Answer {
	if first {
		return claim.Answer{State: claim.NotRun, Reason: claim.ReasonReplaced}
	}
	return claim.Answer{State: claim.Unknown, Reason: claim.ReasonReplaced}
}

// execute submits to the log of the bucket and bounds the wait.
func (i *claimInstance) execute(k claim.Key, first bool, respond func(claim.Answer)) {
	b := k.Bucket()
	log := i.logs[b]
	i.last++
	id := i.last
	i.answers[id] = respond
	i.perform(b, log.Submit(i.world.loop.Now(), claim.Submission{ID: id, Key: k, First: first}))
	abandon := func() { i.perform(b, log.Abandon(i.world.loop.Now(), k, id)) }
	i.world.loop.After(claimWait, func() {
		i.on(func() {
			if !log.InFlight(k) {
				abandon()
			}
		})
	})
	i.world.loop.After(creditDeadline, func() { i.on(abandon) })
}

func (i *claimInstance) perform(b int, actions []claim.Action) {
	for _, a := range actions {
		i.act(b, a)
	}
	wake := i.logs[b].NextWake()
	if wake.IsZero() || (wake.Equal(i.wakes[b]) && wake.After(i.world.loop.Now())) {
		return
	}
	i.wakes[b] = wake
	i.world.loop.At(wake, func() {
		i.on(func() { i.perform(b, i.logs[b].OnWake(i.world.loop.Now())) })
	})
}

func (i *claimInstance) act(b int, a claim.Action) {
	store := i.world.store
	switch a.Kind {
	case claim.Reply:
		i.answers[a.Answer.Submission](a.Answer)
		delete(i.answers, a.Answer.Submission)
	case claim.Send:
		i.world.target(a.Key, func(s claim.State) {
			i.event(b, func(now time.Time) []claim.Action { return i.logs[b].OnResult(now, a.Key, s, creditResult) })
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

// creditResult is what the target returns for a credit.
const creditResult = "credited"

// event gives an event to the log of a bucket and performs what follows.
func (i *claimInstance) event(b int, f func(now time.Time) []claim.Action) {
	i.on(func() { i.perform(b, f(i.world.loop.Now())) })
}

func (i *claimInstance) onHead(b int, h claim.Head, v claim.Version) func(ok bool) {
	return func(ok bool) {
		if !ok {
			i.event(b, i.logs[b].OnReadFailed)
			return
		}
		i.event(b, func(now time.Time) []claim.Action { return i.logs[b].OnHead(now, h, v) })
	}
}

func (i *claimInstance) onSegment(b int, records []claim.Record, found bool) func(ok bool) {
	return func(ok bool) {
		if !ok || !found {
			i.event(b, i.logs[b].OnReadFailed)
			return
		}
		i.event(b, func(now time.Time) []claim.Action { return i.logs[b].OnSegment(now, records) })
	}
}

func (i *claimInstance) onHeadWritten(b int) func(writeResult, claim.Version) {
	return func(r writeResult, v claim.Version) {
		switch r {
		case written:
			i.event(b, func(now time.Time) []claim.Action { return i.logs[b].OnWritten(now, v) })
		case refused:
			i.event(b, i.logs[b].OnConflict)
		default:
			i.event(b, i.logs[b].OnWriteUncertain)
		}
	}
}

func (i *claimInstance) onSegmentWritten(b int) func(writeResult) {
	return func(r writeResult) {
		if r == answerLost {
			i.event(b, i.logs[b].OnWriteUncertain)
			return
		}
		i.event(b, i.logs[b].OnSegmentWritten)
	}
}
