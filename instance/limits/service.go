// Package limits admits requests within the limits of their plans. Each instance borrows parts of the
// limits from lenders, and is itself the lender for those buckets of plans that it is chosen for.
package limits

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/adapter/wire/sharepb"
	"hyssopcroft.example/control/config"
	"hyssopcroft.example/control/membership"
	"hyssopcroft.example/control/share"
	"hyssopcroft.example/instance/members"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/kernel/counters"
	"hyssopcroft.example/kernel/timeline"
)

// Name identifies the service in the dependencies of others.
const Name = "limits"

const (
	// leaseCheckPeriod is the time between two checks of all leases.
	leaseCheckPeriod = 500 * time.Millisecond
	// leaseCheckDelay is the time from the start to the first check. By then the members are known, so that
	// instances that start together do not acquire leases that they must release again.
	leaseCheckDelay = 300 * time.Millisecond
	// loanCheckPeriod is the time between two checks for loan requests that are due.
	loanCheckPeriod = share.EarlyLoanRequestPeriod
	// borrowTimeout bounds one call to a lender. A loan that arrives later is of little use.
	borrowTimeout = 250 * time.Millisecond
	// maxLoanWait bounds the time for which a request waits for a loan when its plan's share is used up. It
	// covers the time until the next early loan request, a new connection and a round trip to a lender in the other
	// region.
	maxLoanWait = 250 * time.Millisecond
	// loanWaitDivisor limits the wait for a loan to 1/loanWaitDivisor of the plan's deadline.
	loanWaitDivisor = 2
	// loanRetryPeriod is the maximum time between two admission attempts of a waiting request. Each attempt
	// wakes the loop that sends loan requests, so a loan request that was not due yet is sent at a later one.
	loanRetryPeriod = loanCheckPeriod / 2
	// maxWaitingPerPlan bounds the requests of a plan that wait for a loan, so that the waiting requests of a
	// plan over its limit do not exhaust the instance.
	maxWaitingPerPlan = 64
)

// Members returns the members of the fleet.
type Members interface {
	Members() []membership.Member
}

// Lists returns the configuration in force.
type Lists interface {
	InForce() (config.Lists, bool)
}

// Config configures a Service.
type Config struct {
	Instance string
	Client   *platform.Client
	Members  Members
	Lists    Lists
	// Peers is the transport for calls to other instances.
	Peers    http.RoundTripper
	Ring     *timeline.Ring
	Log      *slog.Logger
	Counters *counters.Set
	Recorder *trace.Recorder // nil if nothing is recorded
}

// Service admits requests, borrows from lenders and lends to holders. It is safe for concurrent use.
type Service struct {
	cfg     Config
	buckets [bucketCount]*lenderBucket
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	ready   atomic.Bool   // the leases have been checked once
	wake    chan struct{} // wakes loanRequestLoop before its next tick

	cachedView atomic.Pointer[view]

	mu      sync.Mutex // guards holders
	holders map[string]*planHolder
}

// New returns a service for one instance.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, wake: make(chan struct{}, 1), holders: map[string]*planHolder{}}
	for i := range s.buckets {
		s.buckets[i] = &lenderBucket{number: i, cfg: cfg, lenders: map[string]*trace.Lender{}}
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{members.Name} }

// Start begins lending and borrowing.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.loanRequestLoop(ctx) })
	s.wg.Go(func() { s.leaseLoop(ctx) })
	return nil
}

// Stop ends lending and borrowing, and releases the leases so that successors need not wait for them to
// expire.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.wg.Wait()
	for _, b := range s.buckets {
		b.release(ctx)
	}
	return nil
}

// Ready reports whether the service has checked the leases since its start. Before that, a plan may have no
// lender.
func (s *Service) Ready() bool { return s.ready.Load() }

// leaseLoop checks the leases periodically until ctx is done.
func (s *Service) leaseLoop(ctx context.Context) {
	for wait := leaseCheckDelay; kernel.Sleep(ctx, wait); wait = leaseCheckPeriod {
		s.checkLeases(ctx)
		s.ready.Store(true)
	}
}

// checkLeases acquires or renews the leases of the buckets that this instance is chosen for, and releases the
// others. It processes all buckets concurrently, because a store that does not answer delays each of them by
// the timeout of a call, which is half of leaseDuration.
func (s *Service) checkLeases(ctx context.Context) {
	v := s.view()
	var wg sync.WaitGroup
	for _, b := range s.buckets {
		wg.Go(func() {
			if v.lenders[b.number].id == s.cfg.Instance {
				b.acquireOrRenew(ctx)
			} else {
				b.release(ctx)
			}
		})
	}
	wg.Wait()
}

// loanRequestLoop sends the loan requests that are due, one message to each lender, until ctx is done.
func (s *Service) loanRequestLoop(ctx context.Context) {
	alarm := kernel.NewAlarm(loanCheckPeriod)
	defer alarm.Stop()
	for {
		select {
		case <-alarm.C:
			alarm.Set(loanCheckPeriod)
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for lender, requests := range s.dueLoanRequests(s.view()) {
			s.wg.Go(func() { s.sendLoanRequests(ctx, lender, requests) })
		}
	}
}

// dueLoanRequests returns the loan requests that are due, grouped by lender. It removes the holders of plans that no
// longer have a limit.
func (s *Service) dueLoanRequests(v *view) map[lenderAddress][]*sharepb.Ask {
	due := map[lenderAddress][]*sharepb.Ask{}
	now := time.Now()
	for plan, h := range s.allHolders() {
		limit, ok := s.limitOf(plan)
		if !ok {
			s.removeHolder(plan)
			continue
		}
		if request, ok := h.nextLoanRequest(now, limit, v.memberCount()); ok {
			lender := v.lenders[bucketOf(plan)]
			due[lender] = append(due[lender], peer.LoanRequestToWire(plan, request))
		}
	}
	return due
}

// sendLoanRequests sends loan requests to a lender and passes the loans to their holders.
func (s *Service) sendLoanRequests(ctx context.Context, lender lenderAddress, requests []*sharepb.Ask) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	sent := time.Now()
	req := &sharepb.BorrowRequest{Holder: s.cfg.Instance, Asks: requests}
	resp, err := s.borrowFrom(ctx, lender, req)
	if err != nil {
		s.cfg.Counters.Counter("loan_asks_failed").Add(1)
		return
	}
	s.cfg.Counters.Counter("loan_asks_answered").Add(1)
	for _, loan := range resp.Loans {
		if h, ok := s.holder(loan.Plan); ok {
			h.onLoan(sent, peer.LoanFromWire(loan))
		}
	}
}

func (s *Service) borrowFrom(ctx context.Context, lender lenderAddress, req *sharepb.BorrowRequest) (*sharepb.BorrowResponse, error) {
	if lender.id == s.cfg.Instance {
		return s.Borrow(ctx, req)
	}
	return peer.LendingClient(lender.address, s.cfg.Peers).Borrow(ctx, req)
}

// Borrow implements the twirp service. It returns loans for the plans that this instance lends.
func (s *Service) Borrow(_ context.Context, req *sharepb.BorrowRequest) (*sharepb.BorrowResponse, error) {
	resp := &sharepb.BorrowResponse{}
	for _, request := range req.Asks {
		limit, ok := s.limitOf(request.Plan)
		if !ok {
			continue
		}
		loan, ok := s.buckets[bucketOf(request.Plan)].lend(time.Now(), request.Plan, limit, peer.LoanRequestFromWire(req.Holder, request))
		if !ok {
			s.cfg.Counters.Counter("loans_refused_not_lender").Add(1)
			continue
		}
		resp.Loans = append(resp.Loans, peer.LoanToWire(request.Plan, loan))
	}
	s.cfg.Counters.Counter("loans_lent").Add(int64(len(resp.Loans)))
	return resp, nil
}

func (s *Service) limitOf(plan string) (share.Amount, bool) {
	lists, _ := s.cfg.Lists.InForce()
	entry, ok := lists.Limits[plan]
	return share.Amount{Rate: entry.Value.RatePerSecond, Concurrency: entry.Value.Concurrency}, ok
}
