package claims

import (
	"context"
	"sync"
	"time"

	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
)

// waiter is a submission without an answer yet.
type waiter struct {
	key    claim.Key
	answer chan claim.Answer // buffered, for one answer
}

// pendingRequest is the request of a key, with the number of submissions that wait for its answer.
type pendingRequest struct {
	Request
	waiters int
}

// bucket drives the log of one bucket: it performs the log's actions and reports their results to it.
type bucket struct {
	number int
	cfg    Config
	store  *store
	ctx    context.Context // cancelled when the bucket is closed
	cancel context.CancelFunc
	calls  sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	log      *claim.Log
	owned    bool // as of the last call of trackOwnership
	chosen   bool // this instance should write the bucket
	closed   bool
	timer    *time.Timer
	lastID   claim.SubmissionID
	waiters  map[claim.SubmissionID]waiter
	requests map[claim.Key]*pendingRequest
}

func newBucket(number int, writer string, cfg Config) *bucket {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bucket{
		number: number, cfg: cfg, store: &store{client: cfg.Client, bucket: number}, ctx: ctx, cancel: cancel,
		log:     claim.New(number, writer),
		waiters: map[claim.SubmissionID]waiter{}, requests: map[claim.Key]*pendingRequest{},
	}
	return b
}

func (b *bucket) setChosen(chosen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if chosen == b.chosen {
		return
	}
	b.chosen = chosen
	b.perform(b.log.SetChosen(time.Now(), chosen))
}

// execute submits a request and waits for its answer. When ctx is done, it abandons the submission, which
// the log then answers at once.
func (b *bucket) execute(ctx context.Context, r Request) claim.Answer {
	id, answer := b.submit(r)
	alarm := kernel.NewAlarm(claimTimeout)
	defer alarm.Stop()
	for {
		select {
		case a := <-answer:
			return a
		case <-alarm.C:
			b.abandonUnlessInFlight(r.Key, id)
		case <-ctx.Done():
			b.abandon(r.Key, id)
			return <-answer
		}
	}
}

func (b *bucket) submit(r Request) (claim.SubmissionID, chan claim.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := make(chan claim.Answer, 1)
	if b.closed {
		answer <- answerNotSent(r, claim.ReasonReplaced)
		return 0, answer
	}
	b.lastID++
	b.waiters[b.lastID] = waiter{key: r.Key, answer: answer}
	if b.requests[r.Key] == nil {
		b.requests[r.Key] = &pendingRequest{Request: r}
	}
	b.requests[r.Key].waiters++
	id := b.lastID
	b.perform(b.log.Submit(time.Now(), claim.Submission{ID: id, Key: r.Key, First: r.First}))
	return id, answer
}

func (b *bucket) abandon(key claim.Key, id claim.SubmissionID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perform(b.log.Abandon(time.Now(), key, id))
}

// abandonUnlessInFlight abandons a submission whose claim was not stored within claimTimeout.
func (b *bucket) abandonUnlessInFlight(key claim.Key, id claim.SubmissionID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.log.InFlight(key) {
		b.perform(b.log.Abandon(time.Now(), key, id))
	}
}

// flush makes the log store its results without delay. It reports whether no request is in flight and no
// result is left to be stored.
func (b *bucket) flush() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perform(b.log.Flush(time.Now()))
	return b.log.Idle()
}

// close refuses further submissions, cancels the calls in flight and waits for them to return.
func (b *bucket) close() {
	b.mu.Lock()
	b.closed = true
	if b.timer != nil {
		b.timer.Stop()
	}
	b.mu.Unlock()
	b.cancel()
	b.calls.Wait()
}

// handleEvent passes an event to the log and performs the resulting actions.
func (b *bucket) handleEvent(event func(now time.Time) []claim.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perform(event(time.Now()))
}

// perform performs the actions of the log. It must be called with b.mu held.
func (b *bucket) perform(actions []claim.Action) {
	for _, a := range actions {
		switch a.Kind {
		case claim.Reply:
			b.reply(a.Answer)
		case claim.Send:
			b.send(a.Key)
		default:
			b.callStore(a)
		}
	}
	b.trackOwnership()
	b.setTimer()
}

// callStore starts a store call in the background. It must be called with b.mu held.
func (b *bucket) callStore(a claim.Action) {
	if b.closed {
		return
	}
	b.calls.Go(func() { b.store.perform(b.ctx, a, b) })
}

// reply answers a submission. It must be called with b.mu held.
func (b *bucket) reply(a claim.Answer) {
	w := b.waiters[a.Submission]
	delete(b.waiters, a.Submission)
	r := b.requests[w.key]
	r.waiters--
	if r.waiters == 0 {
		delete(b.requests, w.key)
	}
	w.answer <- a
}

// send sends a request to a target in the background. The request is not cancelled when its caller
// disconnects, because its result is recorded. send must be called with b.mu held.
func (b *bucket) send(key claim.Key) {
	r := b.requests[key].Request
	b.cfg.Counters.Counter("claims_sent").Add(1)
	b.calls.Go(func() {
		ctx, cancel := context.WithDeadline(b.ctx, r.Deadline)
		defer cancel()
		result, outcome := b.cfg.Targets.SendOnce(ctx, r)
		state := stateOf(outcome)
		if state != claim.Done {
			result = ""
		}
		b.handleEvent(func(now time.Time) []claim.Action { return b.log.OnResult(now, key, state, result) })
	})
}

func stateOf(o query.Outcome) claim.State {
	switch {
	case o == query.OutcomeAnswered:
		return claim.Done
	case o.CertainlyNotRun():
		return claim.NotRun
	}
	return claim.Unknown
}

// trackOwnership logs and counts each time this instance gains or loses the bucket. It must be called with
// b.mu held.
func (b *bucket) trackOwnership() {
	if owned := b.log.Owned(); owned != b.owned {
		b.owned = owned
		b.cfg.Log.Info("claim bucket ownership changed", "bucket", b.number, "owned", owned)
		b.cfg.Counters.Counter("claim_bucket_changes").Add(1)
	}
}

// setTimer schedules the log's next wake-up. It must be called with b.mu held.
func (b *bucket) setTimer() {
	wake := b.log.NextWake()
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if wake.IsZero() || b.closed {
		return
	}
	b.timer = kernel.AfterFunc(time.Until(wake), func() { b.handleEvent(b.log.OnWake) })
}
