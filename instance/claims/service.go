// Package claims runs requests that may not be repeated. Each request is forwarded to the instance that
// writes the claims of its key's bucket. That instance stores a claim, sends the request to one target
// once, records the result and answers resends from the record.
package claims

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/wire/executepb"
	"hyssopcroft.example/control/claim"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/query"
)

// Name identifies the service in the dependencies of others.
const Name = "claims"

const (
	// claimTimeout bounds the wait for a claim to be stored. It covers one store call that times out.
	claimTimeout = 2500 * time.Millisecond
	// refreshPeriod is the time between two recomputations of the writers from the members.
	refreshPeriod = 250 * time.Millisecond
	// routeAttempts bounds the attempts of a submission to reach the writer of its bucket. The instances'
	// views of the members may differ for the time of an exchange, which is one second.
	routeAttempts = 8
	// flushPollPeriod is the time between two checks, while stopping, of whether all results are stored.
	flushPollPeriod = 20 * time.Millisecond
)

// Request is one submission of a request that may not be repeated.
type Request struct {
	Key   claim.Key
	Plan  string
	Index string
	Body  string
	// First is set if the caller states that it has not submitted the key before.
	First    bool
	Deadline time.Time
}

// Targets sends a request to one target of its index, once. The result is valid if the outcome is
// query.OutcomeAnswered.
type Targets interface {
	// SendOnce sends a request, through another instance if need be.
	SendOnce(ctx context.Context, r Request) (string, query.Outcome)
	// SendDirect sends a request from this instance.
	SendDirect(ctx context.Context, r Request) (string, query.Outcome)
}

// Members returns the members of the fleet.
type Members interface {
	Members() []membership.Member
}

// Config configures a Service.
type Config struct {
	Instance string
	Client   *platform.Client
	Members  Members
	Targets  Targets
	// Peers is the transport for calls to other instances.
	Peers    http.RoundTripper
	Bus      *kernel.Bus
	Log      *slog.Logger
	Counters *counters.Set
}

// Service runs and forwards requests that may not be repeated. It is safe for concurrent use.
type Service struct {
	cfg     Config
	buckets [claim.Buckets]*bucket
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	writers   [claim.Buckets]string
	addresses map[string]string
}

// New returns a service for one start of an instance: the writer id differs for each start.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	writer := cfg.Instance + "-" + strconv.FormatUint(rand.Uint64(), 36)
	for i := range s.buckets {
		s.buckets[i] = newBucket(i, writer, cfg)
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{members.Name} }

// Start begins to update the writers of the buckets as the members change.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.refresh()
	if err := kernel.Subscribe(ctx, s.cfg.Bus, func(members.Changed) { s.refresh() }); err != nil {
		cancel()
		return err
	}
	s.wg.Go(func() { s.refreshLoop(ctx) })
	return nil
}

func (s *Service) refreshLoop(ctx context.Context) {
	for kernel.Sleep(ctx, refreshPeriod) {
		s.refresh()
	}
}

// Stop stores the results of the requests that ran, until ctx is done, and then cancels the calls in flight.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.wg.Wait()
	for _, b := range s.buckets {
		b.setChosen(false)
	}
	for !s.flushAll() {
		if !kernel.Sleep(ctx, flushPollPeriod) {
			s.cfg.Counters.Counter("claim_results_not_stored").Add(1)
			return s.closeBuckets()
		}
	}
	return s.closeBuckets()
}

// flushAll flushes all buckets. It reports whether all of them are idle.
func (s *Service) flushAll() bool {
	allStored := true
	for _, b := range s.buckets {
		allStored = b.flush() && allStored
	}
	return allStored
}

func (s *Service) closeBuckets() error {
	for _, b := range s.buckets {
		b.close()
	}
	return nil
}

// refresh recomputes the writer of each bucket from the live members.
func (s *Service) refresh() {
	var live []string
	addresses := map[string]string{}
	for _, m := range s.cfg.Members.Members() {
		if m.State == membership.Live {
			live = append(live, m.ID)
			addresses[m.ID] = m.Address
		}
	}
	var writers [claim.Buckets]string
	for i := range writers {
		writers[i] = claim.ChooseWriter(i, live)
	}
	s.mu.Lock()
	s.writers, s.addresses = writers, addresses
	s.mu.Unlock()
	for i, b := range s.buckets {
		b.setChosen(writers[i] == s.cfg.Instance)
	}
}

// writerOf returns the writer of a bucket and its address, or "" if there is none.
func (s *Service) writerOf(bucket int) (id, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id = s.writers[bucket]
	return id, s.addresses[id]
}

// Execute runs a request, or answers a resend from the recorded claim.
func (s *Service) Execute(ctx context.Context, r Request) claim.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	s.cfg.Counters.Counter("claims_submitted").Add(1)
	a := s.route(ctx, r)
	s.cfg.Counters.Counter("claim_answers_" + a.State.String() + "_" + a.Reason.String()).Add(1)
	return a
}

// route passes the request to the writer of its bucket. It retries with a refreshed view of the members if
// the chosen instance certainly did not send the request, since the views of the instances differ for a
// short time after a change.
func (s *Service) route(ctx context.Context, r Request) claim.Answer {
	bucket := r.Key.Bucket()
	for attempt := 1; ; attempt++ {
		id, address := s.writerOf(bucket)
		var a claim.Answer
		var done bool
		if id == s.cfg.Instance {
			a = s.buckets[bucket].execute(ctx, r)
			done = a.Reason != claim.ReasonReplaced
		} else if id != "" {
			a, done = s.forward(ctx, address, r)
		}
		if done {
			return a
		}
		if attempt == routeAttempts || !kernel.Sleep(ctx, refreshPeriod) {
			return answerNotSent(r, claim.ReasonReplaced)
		}
		s.refresh()
	}
}

// forward passes the request to another instance. It returns false if that instance certainly did not send
// the request and will not.
func (s *Service) forward(ctx context.Context, address string, r Request) (claim.Answer, bool) {
	s.cfg.Counters.Counter("executes_forwarded").Add(1)
	resp, err := peer.ExecutionClient(address, s.cfg.Peers).ForwardExecute(ctx, &executepb.ForwardExecuteRequest{
		Key: string(r.Key), Plan: r.Plan, Index: r.Index, Body: r.Body, FirstSubmission: r.First,
		TimeLeftUs: uint32(max(0, time.Until(r.Deadline).Microseconds())),
	})
	switch {
	case err != nil && peer.NotDelivered(err):
		s.cfg.Counters.Counter("forwards_not_delivered").Add(1)
		return claim.Answer{}, false
	case err != nil:
		s.cfg.Counters.Counter("forward_answers_lost").Add(1)
		return claim.Answer{State: claim.Unknown, Reason: claim.ReasonReplaced}, true
	case resp.State == executepb.State_STATE_NOT_WRITER:
		return claim.Answer{}, false
	}
	a := peer.AnswerFromWire(resp)
	return a, a.Reason != claim.ReasonReplaced
}

// ForwardExecute implements the twirp service. It runs the request only if this instance is the writer of
// the key's bucket.
func (s *Service) ForwardExecute(ctx context.Context, req *executepb.ForwardExecuteRequest) (*executepb.ForwardExecuteResponse, error) {
	notWriter := &executepb.ForwardExecuteResponse{State: executepb.State_STATE_NOT_WRITER}
	key, err := claim.ParseKey(req.Key)
	if err != nil {
		return notWriter, nil
	}
	if id, _ := s.writerOf(key.Bucket()); id != s.cfg.Instance {
		s.cfg.Counters.Counter("forwards_refused").Add(1)
		return notWriter, nil
	}
	r := Request{
		Key: key, Plan: req.Plan, Index: req.Index, Body: req.Body, First: req.FirstSubmission,
		Deadline: time.Now().Add(time.Duration(req.TimeLeftUs) * time.Microsecond),
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return peer.AnswerToWire(s.buckets[key.Bucket()].execute(ctx, r)), nil
}

// SendExecute implements the twirp service. It sends a request that another instance has claimed.
func (s *Service) SendExecute(ctx context.Context, req *executepb.SendExecuteRequest) (*executepb.SendExecuteResponse, error) {
	s.cfg.Counters.Counter("executes_sent_for_peers").Add(1)
	r := Request{
		Key: claim.Key(req.Key), Plan: req.Plan, Index: req.Index, Body: req.Body,
		Deadline: time.Now().Add(time.Duration(req.TimeLeftUs) * time.Microsecond),
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	result, outcome := s.cfg.Targets.SendDirect(ctx, r)
	return &executepb.SendExecuteResponse{Outcome: peer.OutcomeToWire(outcome), Result: result}, nil
}

// answerNotSent returns the answer to a submission that reached no writer. The request is certain not to
// have run only if this is its first submission, since an earlier one may have run it.
func answerNotSent(r Request, reason claim.Reason) claim.Answer {
	a := claim.Answer{State: claim.Unknown, Reason: reason}
	if r.First {
		a.State = claim.NotRun
	}
	return a
}
