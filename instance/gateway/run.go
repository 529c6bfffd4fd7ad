package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"hyssopcroft.example/control/roster"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/merge"
	"hyssopcroft.example/query/quarantine"
	"hyssopcroft.example/query/scatter"
)

const (
	// deadlineReserve is subtracted from the caller's remaining time for the transfer of the final answer.
	deadlineReserve = 10 * time.Millisecond
	// defaultTimeout applies to requests for which neither the caller nor the route sets a time.
	defaultTimeout = 30 * time.Second
	// maxLimitBackoff bounds the delay between two checks for capacity while all targets of a shard are at their
	// limit: a few service times. Freed capacity is offered to waiting requests; the capacity of new targets and
	// of raised limits is found by these checks only.
	maxLimitBackoff = 32 * time.Millisecond
	// crashLimit is the number of targets that must crash while running a query before the query ends, and over
	// all submissions of a request before the request is quarantined. One crash is not enough: a target that
	// loses an answer also closes its connection, and a target that is stopped fails unrelated requests.
	crashLimit = 3
	// maxUnansweredHedges bounds the hedges of a query that no target has answered. A few suffice where the targets of one
	// failure domain are silent: the others answer the hedges, which lets the remaining ones go.
	maxUnansweredHedges = 4
)

// run is the execution of one request. Only the goroutine of the request uses the machine.
type run struct {
	service      *Service
	request      *Request
	resolved     resolvedRoute
	id           query.RequestID
	start        time.Time
	deadline     time.Time
	answerBy     time.Time // a later answer misses the objective of the route
	machine      *scatter.Machine
	single       *single        // collects the answer of a request to one service; nil if the route gathers
	records      *merge.Records // collects the parts of a gathered answer; nil if the route does not gather
	replies      chan attemptReply
	offers       chan query.Shard // shards with freed capacity that is offered to this request
	cancels      map[query.AttemptID]context.CancelFunc
	attempts     []attemptRecord // in the order of sending
	probes       []*crashProbe   // of the targets that closed connections
	fingerprint  func() quarantine.Fingerprint
	priorCrashes int           // targets that crashed on earlier submissions of the request
	quarantined  chan struct{} // closed by stop
	targetsLost  chan struct{} // signalled when the list has lost targets
	stop         func()        // ends the request because others have crashed too many targets
	isTrial      bool          // the request is quarantined, and runs to find out whether it still crashes targets
	denied       denials
}

type attemptReply struct {
	attempt query.AttemptID
	target  query.TargetID
	reply   query.Reply
}

// attemptRecord is the state of an attempt, for the log and for decisions at the end of the request.
type attemptRecord struct {
	id     query.AttemptID
	shard  query.Shard
	target query.TargetID
	entry  roster.Entry  // of the target, when the attempt was sent
	sent   time.Duration // since the start of the request
	took   time.Duration
	phase  attemptPhase
	// outcome and closed are valid in phase replied only.
	outcome query.Outcome
	closed  bool // the target closed the connection
}

// attemptPhase is the progress of an attempt.
type attemptPhase uint8

const (
	inFlight attemptPhase = iota
	cancelled
	replied
)

// hasOutcome reports whether the attempt was replied to with one of the outcomes.
func (r attemptRecord) hasOutcome(outcomes ...query.Outcome) bool {
	return r.phase == replied && slices.Contains(outcomes, r.outcome)
}

// endAttempt records the end of an attempt that is in flight.
func (q *run) endAttempt(id query.AttemptID, phase attemptPhase, reply query.Reply) {
	for i := range q.attempts {
		if r := &q.attempts[i]; r.id == id && r.phase == inFlight {
			r.took, r.phase, r.outcome, r.closed = time.Since(q.start)-r.sent, phase, reply.Outcome, reply.ConnectionClosed
		}
	}
}

// Do runs a request, here or at a relay. It updates the metrics, and logs the request unless its answer was complete and
// in time.
func (s *Service) Do(ctx context.Context, r *Request) Response {
	start := time.Now()
	s.awaitReady(ctx, r)
	mayHaveRun := false // at relays
	if rr, ok := s.resolveForwarded(r); ok {
		resp, f, ok := s.forward(ctx, r, rr, start)
		if ok {
			s.observeForwarded(ctx, f, resp, time.Since(start))
			return resp
		}
		mayHaveRun = f.machine.MayHaveRun()
	}
	resp, q := s.runHere(ctx, r, nil, start)
	if mayHaveRun && resp.Kind == Refused {
		resp.Kind, resp.RetryAfter = Failed, 0
	}
	s.observe(ctx, r, q, resp, time.Since(start))
	return resp
}

// runHere runs a request at the targets, by the route that another instance has chosen or else by the routes in force.
func (s *Service) runHere(ctx context.Context, r *Request, forwarded *forwardedRoute, start time.Time) (Response, *run) {
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > maxInFlight {
		return Response{Kind: Refused, Reason: reasonBusy, RetryAfter: busyRetryAfter}, nil
	}
	fingerprint := sync.OnceValue(func() quarantine.Fingerprint { return fingerprint(r) })
	trial := s.beginTrial(r, fingerprint)
	if refused := s.suspects.refusal(fingerprint); refused != nil && !trial {
		return *refused, nil
	}
	rr, refused := s.resolve(r, forwarded)
	if refused != nil {
		return *refused, nil
	}
	if refused := s.enterGate(&rr); refused != nil {
		return *refused, nil
	}
	result := admission.InTime
	defer func() { s.releaseGate(rr.gate, time.Since(start), result) }()
	q := s.newRun(r, rr, start, fingerprint)
	q.isTrial = trial
	if !start.Before(q.deadline) {
		return Response{Kind: Refused, Reason: "the caller waits no longer", RetryAfter: busyRetryAfter}, nil
	}
	q.loop(ctx)
	q.updateSuspicion()
	result = q.admissionResult(ctx)
	if refused := s.suspects.refusal(q.fingerprint); refused != nil && !q.machine.MayHaveRun() {
		return *refused, q
	}
	return q.response(), q
}

func (s *Service) newRun(r *Request, rr resolvedRoute, start time.Time, fingerprint func() quarantine.Fingerprint) *run {
	crashes := s.suspects.crashCount(fingerprint)
	q := &run{
		service: s, request: r, fingerprint: fingerprint, resolved: rr, id: query.RequestID(rand.Uint64()), start: start, priorCrashes: crashes,
		deadline:    s.deadline(start.Add(rr.timeout(r))),
		answerBy:    start.Add(rr.route.Objective - answerReserve(r)),
		replies:     make(chan attemptReply, 2*len(rr.shards)),
		offers:      make(chan query.Shard, len(rr.shards)),
		cancels:     make(map[query.AttemptID]context.CancelFunc, len(rr.shards)),
		quarantined: make(chan struct{}),
		targetsLost: make(chan struct{}, 1),
	}
	q.stop = sync.OnceFunc(func() { close(q.quarantined) })
	cfg := scatter.Config{
		Request: query.Request{
			ID: q.id, Plan: rr.route.Name, Index: rr.route.Name, Deadline: q.deadline, PreferCoverage: true,
		},
		Map:    query.Map{Version: rr.version, Shards: rr.shards},
		Policy: &runPolicy{run: q, policy: rr.policy}, NextAttempt: s.nextAttempt, DistinctTargets: true, MaxLimitBackoff: maxLimitBackoff,
		MaxAttempts: attemptLimit(max(rr.route.MaxAttempts-r.SpentAttempts, 1), crashes), AtMostOnce: !rr.route.Repeatable, CrashLimit: max(1, crashLimit-crashes),
		MaxUnansweredHedges: maxUnansweredHedges, Canary: crashes > 0, CanaryShard: rand.N(max(1, len(rr.shards))),
	}
	if rr.route.Gather {
		q.records = merge.NewRecords(q.id, rr.version, rr.shards)
		cfg.Collector, cfg.MinShards = q.records, rr.minShards()
		cfg.AnswerBy = q.answerBy
	} else {
		q.single = &single{}
		cfg.Collector = q.single
	}
	q.machine = scatter.New(cfg)
	return q
}

// timeout returns the time after which the request ends without an answer.
func (rr resolvedRoute) timeout(r *Request) time.Duration {
	left := defaultTimeout
	if r.TimeLeft > 0 {
		left = r.TimeLeft - deadlineReserve
	}
	if rr.route.Timeout > 0 {
		left = min(left, rr.route.Timeout)
	}
	return left - r.ReturnTime
}

// answerReserve returns the part of the objective that is reserved for the transfer of the request and of the answer.
func answerReserve(r *Request) time.Duration { return balance.AnswerReserve + r.ReturnTime }

// loop runs the query until it has finished or the caller has disconnected.
func (q *run) loop(caller context.Context) {
	ctx, cancel := context.WithDeadline(caller, q.deadline)
	defer cancel() // Cancels the attempts that are still in flight.
	defer q.service.leaveQueues(q)
	defer q.service.suspects.begin(q)()
	finished := q.perform(ctx, q.machine.Start(time.Now()))
	alarm := kernel.NewAlarm(time.Until(q.machine.NextWake()))
	defer alarm.Stop()
	for !finished {
		select {
		case r := <-q.replies:
			finished = q.perform(ctx, q.onReply(r))
		case shard := <-q.offers:
			finished = q.perform(ctx, q.machine.OnCapacity(time.Now(), shard))
		case <-alarm.C:
			finished = q.perform(ctx, q.machine.OnWake(time.Now()))
		case <-caller.Done():
			finished = true
		case <-q.service.ending:
			finished = true
		case <-q.quarantined:
			finished = true
		case <-q.targetsLost:
			q.onTargetsLost()
		}
		alarm.Set(time.Until(q.machine.NextWake()))
	}
	q.machine.Abandon(time.Now())
}

func (q *run) onReply(r attemptReply) []scatter.Action {
	q.service.cfg.Metrics.countAttempt(r.reply.Outcome)
	q.endAttempt(r.attempt, replied, r.reply)
	q.service.observeRateLimit(r.target, r.reply)
	if r.reply.Outcome == query.OutcomeWrongShard {
		q.service.onAddressReused(r.target)
	}
	if r.reply.ConnectionClosed || r.reply.Outcome == query.OutcomeCrashed || r.reply.Outcome == query.OutcomeRefused {
		q.onClosed(q.service.probe(q.sentTo(r.attempt), true))
	}
	if q.single != nil {
		if r.reply.Outcome == query.OutcomeFailed {
			q.single.failure = r.reply.Part
		}
		if r.reply.Outcome == query.OutcomeCrashed && q.crashCount() < crashLimit {
			// The request may be sent to another replica: a target that only lost the answer closes its connection too.
			r.reply.Outcome = query.OutcomeUnknown
		}
	}
	return q.machine.OnReply(time.Now(), r.attempt, r.reply)
}

// sentTo returns the entry of the target of an attempt.
func (q *run) sentTo(id query.AttemptID) roster.Entry {
	i := slices.IndexFunc(q.attempts, func(r attemptRecord) bool { return r.id == id })
	return q.attempts[i].entry
}

// perform carries out the actions and reports whether the machine has finished.
func (q *run) perform(ctx context.Context, actions []scatter.Action) bool {
	finished := false
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			q.send(ctx, a)
		case scatter.Cancel:
			q.cancels[a.Attempt]()
			q.endAttempt(a.Attempt, cancelled, query.Reply{})
		case scatter.Finish:
			finished = true
		}
	}
	return finished
}

func (q *run) send(ctx context.Context, a scatter.Action) {
	ctx, cancel := context.WithCancel(ctx)
	q.cancels[a.Attempt] = cancel
	entry, ok := q.service.target(a.Target)
	previousEnded := q.previousEnded(entry.Address)
	q.attempts = append(q.attempts, attemptRecord{id: a.Attempt, shard: a.Shard, target: a.Target, entry: entry, sent: time.Since(q.start)})
	shard, version := a.Shard, q.resolved.version
	go func() {
		defer cancel()
		reply := query.Reply{Outcome: query.OutcomeNotRun}
		if ok {
			reply = q.service.cfg.Sender.Send(ctx, Attempt{
				ID: a.Attempt, Target: a.Target, Address: entry.Address, Request: q.request, TimeLeft: time.Until(q.deadline),
				PreviousEnded: previousEnded,
			})
		}
		q.service.observeTarget(entry, reply)
		reply.Attempt, reply.Request, reply.Shard, reply.Snapshot = a.Attempt, q.id, shard, version
		select {
		case q.replies <- attemptReply{attempt: a.Attempt, target: a.Target, reply: reply}:
		case <-ctx.Done():
		}
	}()
}

// previousEnded returns the end of the latest attempt at an address, the zero time if there was none.
func (q *run) previousEnded(address string) time.Time {
	var end time.Time
	for _, r := range q.attempts {
		if ended := q.start.Add(r.sent + r.took); r.entry.Address == address && ended.After(end) {
			end = ended
		}
	}
	return end
}

// admissionResult returns the result that the admission gate counts as a sign of load. A request whose caller
// disconnected counts as in time, because its duration does not depend on load.
func (q *run) admissionResult(ctx context.Context) admission.Result {
	switch {
	case ctx.Err() != nil:
		return admission.InTime
	case q.refusedByTargets():
		return admission.RefusedByTargets
	case time.Since(q.start) > q.resolved.route.Objective:
		return admission.Late
	}
	return admission.InTime
}

// refusedByTargets reports whether the request lacks the answer of a shard whose targets refused it.
func (q *run) refusedByTargets() bool {
	shed := map[query.Shard]bool{}
	for _, r := range q.attempts {
		switch {
		case r.hasOutcome(query.OutcomeShed):
			shed[r.shard] = true
		case r.hasOutcome(query.OutcomeAnswered):
			delete(shed, r.shard)
		}
	}
	return len(shed) > 0
}

// response returns the response to the caller.
func (q *run) response() Response {
	switch {
	case q.single != nil && q.single.answer != nil:
		return Response{Kind: Answered, Part: q.single.answer}
	case q.records != nil && q.machine.Covered() >= q.resolved.minShards():
		return Response{
			Kind: Merged, Records: q.records.Top(q.resolved.route.Limit),
			Signatures: q.records.Signatures(), Missing: q.records.Missing(),
		}
	case !q.machine.MayHaveRun():
		return Response{Kind: Refused, Reason: reasonUnreached, RetryAfter: unreachedRetryAfter}
	case q.single != nil && q.single.failure != nil:
		return Response{Kind: Answered, Part: q.single.failure}
	}
	r := Response{Kind: Failed, Reason: reasonNoAnswer}
	if q.records != nil {
		r.Reason = reasonShort
	}
	if !time.Now().Before(q.deadline) {
		r.Kind = TimedOut
	}
	return r
}

// unreachedRetryAfter is the delay advised when the targets refused a request or could not be reached: about the
// initial backoff for such a target.
const unreachedRetryAfter = 100 * time.Millisecond

// single collects the answer of a request to one service.
type single struct {
	answer  *query.Part
	failure *query.Part // error response of a target that ran the request; returned if no target answers
}

// Offer implements scatter.Collector.
func (s *single) Offer(r query.Reply) merge.Verdict {
	if s.answer != nil {
		return merge.Duplicate
	}
	s.answer = r.Part
	return merge.Accepted
}

// IsSuccess reports whether an HTTP status is in the 2xx range.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
