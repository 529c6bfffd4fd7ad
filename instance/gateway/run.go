package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
	"hyssopcroft.example/query/balance"
	"hyssopcroft.example/query/merge"
	"hyssopcroft.example/query/scatter"
)

const (
	// deadlineReserve is the part of the caller's time that is kept for the way of the final answer.
	deadlineReserve = 10 * time.Millisecond
	// longestWait is the time for a request whose caller and route state none.
	longestWait = 30 * time.Second
	// longestPlaceWait bounds the time between two looks for a place, a few service times. A freed place is
	// offered to those that wait; those of new targets and raised limits are found by looking.
	longestPlaceWait = 32 * time.Millisecond
	// crashLimit is the number of targets that have to crash on a query before it ends, and on all
	// submissions of a request before it is held. Targets that lose some of their answers end connections
	// as well, and one that is stopped takes innocent requests with it.
	crashLimit = 3
)

// run is one request. Only the goroutine of the request uses the machine.
type run struct {
	service  *Service
	request  *Request
	terms    terms
	id       query.RequestID
	start    time.Time
	deadline time.Time
	due      time.Time // when the answer is late
	machine  *scatter.Machine
	single   *single        // collects the answer of a request to one service, else nil
	records  *merge.Records // collects the parts of a gathered answer, else nil
	replies  chan sentReply
	freed    chan query.Shard // whose targets have a free place for this request
	cancels  map[query.AttemptID]context.CancelFunc
	history  []attemptRecord // in the order of sending
	crashes  int             // of targets on earlier submissions of the request
	denied   denials
}

type sentReply struct {
	attempt query.AttemptID
	target  query.TargetID
	reply   query.Reply
}

// attemptRecord is what the log says of an attempt.
type attemptRecord struct {
	id     query.AttemptID
	shard  query.Shard
	target query.TargetID
	sent   time.Duration // since the start of the request
	took   time.Duration
	phase  attemptPhase
	// outcome counts in phase replied only.
	outcome query.Outcome
}

// attemptPhase says how far an attempt is.
type attemptPhase uint8

const (
	inFlight attemptPhase = iota
	cancelled
	replied
)

// ended reports whether the attempt came to one of the outcomes.
func (r attemptRecord) ended(outcomes ...query.Outcome) bool {
	return r.phase == replied && slices.Contains(outcomes, r.outcome)
}

// note says what became of an attempt that is in flight.
func (q *run) note(id query.AttemptID, phase attemptPhase, outcome query.Outcome) {
	for i := range q.history {
		if r := &q.history[i]; r.id == id && r.phase == inFlight {
			r.took, r.phase, r.outcome = time.Since(q.start)-r.sent, phase, outcome
		}
	}
}

// Do runs a request.
func (s *Service) Do(ctx context.Context, r *Request) Response {
	start := time.Now()
	resp, ran := s.do(ctx, r, start)
	s.observe(ctx, r, ran, resp, time.Since(start))
	return resp
}

func (s *Service) do(ctx context.Context, r *Request, start time.Time) (Response, *run) {
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > mostInFlight {
		return Response{Kind: Refused, Reason: reasonBusy, RetryAfter: busyRetryAfter}, nil
	}
	s.awaitKnown(ctx, r)
	crashes, refused := s.suspects.suspicion(r)
	if refused != nil {
		return *refused, nil
	}
	t, refused := s.terms(r)
	if refused != nil {
		return *refused, nil
	}
	result := admission.InTime
	defer func() { s.done(t.gate, time.Since(start), result) }()
	q := s.newRun(r, t, start, crashes)
	if !start.Before(q.deadline) {
		return Response{Kind: Refused, Reason: "the caller waits no longer", RetryAfter: busyRetryAfter}, nil
	}
	q.loop(ctx)
	q.learn()
	result = q.result(ctx)
	return q.response(), q
}

func (s *Service) newRun(r *Request, t terms, start time.Time, crashes int) *run {
	q := &run{
		service: s, request: r, terms: t, id: query.RequestID(rand.Uint64()), start: start, crashes: crashes,
		deadline: start.Add(t.patience(r)),
		due:      start.Add(t.route.Objective - balance.AnswerReserve),
		replies:  make(chan sentReply, 2*len(t.shards)),
		freed:    make(chan query.Shard, len(t.shards)),
		cancels:  make(map[query.AttemptID]context.CancelFunc, len(t.shards)),
	}
	cfg := scatter.Config{
		Request: query.Request{
			ID: q.id, Plan: t.route.Name, Index: t.route.Name, Deadline: q.deadline, PreferCoverage: true,
		},
		Map:    query.Map{Version: t.table.Version, Shards: t.shards},
		Policy: &runPolicy{run: q, policy: t.policy}, NextAttempt: s.nextAttempt, DistinctTargets: true, MaxLimitBackoff: longestPlaceWait,
		MaxAttempts: attemptLimit(t.route.MaxAttempts, crashes), AtMostOnce: !t.route.Repeatable, CrashLimit: max(1, crashLimit-crashes),
	}
	if t.route.Gather {
		q.records = merge.NewRecords(q.id, t.table.Version, t.shards)
		cfg.Collector, cfg.MinShards = q.records, t.least()
		cfg.AnswerBy = q.due
	} else {
		q.single = &single{}
		cfg.Collector = q.single
	}
	q.machine = scatter.New(cfg)
	return q
}

// patience is the time until the request ends.
func (t terms) patience(r *Request) time.Duration {
	wait := longestWait
	if r.TimeLeft > 0 {
		wait = r.TimeLeft - deadlineReserve
	}
	if t.route.Timeout > 0 {
		wait = min(wait, t.route.Timeout)
	}
	return wait
}

// loop performs the query until it is finished or the caller has gone.
func (q *run) loop(caller context.Context) {
	ctx, cancel := context.WithCancel(caller)
	defer cancel() // Ends the attempts that are still in flight.
	defer q.service.leaveQueues(q)
	finished := q.perform(ctx, q.machine.Start(time.Now()))
	alarm := kernel.NewAlarm(time.Until(q.machine.NextWake()))
	defer alarm.Stop()
	for !finished {
		select {
		case r := <-q.replies:
			finished = q.perform(ctx, q.onReply(r))
		case shard := <-q.freed:
			finished = q.perform(ctx, q.machine.OnCapacity(time.Now(), shard))
		case <-alarm.C:
			finished = q.perform(ctx, q.machine.OnWake(time.Now()))
		case <-caller.Done():
			finished = true
		}
		alarm.Set(time.Until(q.machine.NextWake()))
	}
	q.machine.Abandon(time.Now())
}

func (q *run) onReply(r sentReply) []scatter.Action {
	q.service.cfg.Metrics.attempt(r.reply.Outcome)
	q.note(r.attempt, replied, r.reply.Outcome)
	if r.reply.Outcome == query.OutcomeWrongShard {
		q.service.misplaced(r.target)
	}
	if q.single != nil {
		if r.reply.Outcome == query.OutcomeFailed {
			q.single.failure = r.reply.Part
		}
		if r.reply.Outcome == query.OutcomeCrashed && q.crashedTargets() < crashLimit {
			// Another replica may run the request: a target that only lost the answer ends its connection too.
			r.reply.Outcome = query.OutcomeUnknown
		}
	}
	return q.machine.OnReply(time.Now(), r.attempt, r.reply)
}

// perform returns true if the machine has finished.
func (q *run) perform(ctx context.Context, actions []scatter.Action) bool {
	finished := false
	for _, a := range actions {
		switch a.Kind {
		case scatter.Send:
			q.send(ctx, a)
		case scatter.Cancel:
			q.cancels[a.Attempt]()
			q.note(a.Attempt, cancelled, query.OutcomeUnknown)
		case scatter.Finish:
			finished = true
		}
	}
	return finished
}

func (q *run) send(ctx context.Context, a scatter.Action) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	q.cancels[a.Attempt] = cancel
	q.history = append(q.history, attemptRecord{id: a.Attempt, shard: a.Shard, target: a.Target, sent: time.Since(q.start)})
	shard, version := a.Shard, q.terms.table.Version
	entry, known := q.service.target(a.Target)
	go func() {
		defer cancel()
		reply := query.Reply{Outcome: query.OutcomeNotRun}
		if known {
			reply = q.service.cfg.Sender.Send(ctx, Attempt{
				ID: a.Attempt, Target: a.Target, Address: entry.Address, Request: q.request, TimeLeft: time.Until(q.deadline),
			})
		}
		reply.Attempt, reply.Request, reply.Shard, reply.Snapshot = a.Attempt, q.id, shard, version
		select {
		case q.replies <- sentReply{attempt: a.Attempt, target: a.Target, reply: reply}:
		case <-ctx.Done():
		}
	}()
}

// result says what the end of the request tells of the load. The time until a caller left tells nothing.
func (q *run) result(ctx context.Context) admission.Result {
	switch {
	case ctx.Err() != nil:
		return admission.InTime
	case q.refusedByTargets():
		return admission.RefusedByTargets
	case time.Since(q.start) > q.terms.route.Objective:
		return admission.Late
	}
	return admission.InTime
}

// refusedByTargets reports whether the request lacks a shard whose targets refused it.
func (q *run) refusedByTargets() bool {
	shed := map[query.Shard]bool{}
	for _, r := range q.history {
		switch {
		case r.ended(query.OutcomeShed):
			shed[r.shard] = true
		case r.ended(query.OutcomeAnswered):
			delete(shed, r.shard)
		}
	}
	return len(shed) > 0
}

// response returns the final answer.
func (q *run) response() Response {
	switch {
	case q.single != nil && q.single.answer != nil:
		return Response{Kind: Answered, Part: q.single.answer}
	case q.records != nil && q.machine.Covered() >= q.terms.least():
		return Response{
			Kind: Merged, Records: q.records.Greatest(q.terms.route.Limit),
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

// unreachedRetryAfter is advised when the targets refused a request or could not be reached: about the
// time for which such a target is left alone at first.
const unreachedRetryAfter = 100 * time.Millisecond

// single collects the answer of a request to one service.
type single struct {
	answer  *query.Part
	failure *query.Part // of a target that ran the request, to be passed on if no other one answers
}

// Offer implements scatter.Collector.
func (s *single) Offer(r query.Reply) merge.Verdict {
	if s.answer != nil {
		return merge.Duplicate
	}
	s.answer = r.Part
	return merge.Accepted
}

// IsSuccess reports whether a status says that the request succeeded.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
