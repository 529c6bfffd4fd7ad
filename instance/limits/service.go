// Package limits admits requests within the limits of their plans. Each instance holds loans of
// parts of the limits, and lends the limits of the buckets of plans that it was chosen for.
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

// Name is the name of the service.
const Name = "limits"

const (
	// leadTick is the time between two looks at the leases.
	leadTick = 500 * time.Millisecond
	// leadDelay is the time after the start until the first look. By then the members are known, so
	// that instances which start together do not take leases only to give them back.
	leadDelay = 300 * time.Millisecond
	// askTick is the time between two looks for asks that are due.
	askTick = share.EarlyAskPeriod
	// askTimeout bounds one call to a lender. A loan that comes later is of little use.
	askTimeout = 250 * time.Millisecond
	// loanWait is the longest time for which a request without room waits for a loan. It covers the
	// time until the next early ask, a new connection and a round trip to a lender in the other region.
	loanWait = 250 * time.Millisecond
	// loanWaitShare is the share of its plan's deadline for which a request waits at most.
	loanWaitShare = 2
	// loanLook is the longest time between two looks of a waiting request. An ask that was too early
	// is sent at the next look.
	loanLook = askTick / 2
	// maxWaiting bounds the requests of a plan that wait for a loan, so that a plan over its limit
	// does not fill the instance.
	maxWaiting = 64
)

// Members gives the members of the fleet.
type Members interface {
	Members() []membership.Member
}

// Lists gives the configuration in force.
type Lists interface {
	InForce() (config.Lists, bool)
}

// Config holds what a service works with.
type Config struct {
	Instance string
	Client   *platform.Client
	Members  Members
	Lists    Lists
	// Peers carries calls to other instances.
	Peers    http.RoundTripper
	Ring     *timeline.Ring
	Log      *slog.Logger
	Counters *counters.Set
	Recorder *trace.Recorder // nil if nothing is recorded
}

// Service is safe for concurrent use.
type Service struct {
	cfg     Config
	buckets [buckets]*lenderBucket
	cancel  context.CancelFunc
	done    sync.WaitGroup
	ready   atomic.Bool   // the leases were looked at once
	kick    chan struct{} // asks for a look at the holders before the next tick

	latestView atomic.Pointer[view]

	mu      sync.Mutex // guards holders
	holders map[string]*planHolder
}

// New returns a service for one instance.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, kick: make(chan struct{}, 1), holders: map[string]*planHolder{}}
	for i := range s.buckets {
		s.buckets[i] = &lenderBucket{number: i, cfg: cfg, lenders: map[string]*trace.Lender{}}
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{members.Name} }

// Start begins to lend and to borrow.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.borrow(ctx) })
	s.done.Go(func() { s.lead(ctx) })
	return nil
}

// Stop ends lending and borrowing and gives the leases back, so that successors need not wait.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.done.Wait()
	for _, b := range s.buckets {
		b.resign(ctx)
	}
	return nil
}

// Ready reports whether the service has looked at the leases since its start. Before that a plan
// may have no lender.
func (s *Service) Ready() bool { return s.ready.Load() }

// lead takes the leases of the buckets that this instance is chosen for and gives up the others.
func (s *Service) lead(ctx context.Context) {
	for wait := leadDelay; kernel.Sleep(ctx, wait); wait = leadTick {
		s.lookAtLeases(ctx)
		s.ready.Store(true)
	}
}

// lookAtLeases looks at all buckets at the same time, because a store that does not answer delays
// each of them by a call's timeout, which is half of the time of a lease.
func (s *Service) lookAtLeases(ctx context.Context) {
	v := s.view()
	var wait sync.WaitGroup
	for _, b := range s.buckets {
		wait.Go(func() {
			if v.lenders[b.number].id == s.cfg.Instance {
				b.keep(ctx)
			} else {
				b.resign(ctx)
			}
		})
	}
	wait.Wait()
}

// borrow sends the asks that are due, one message to each lender.
func (s *Service) borrow(ctx context.Context) {
	alarm := kernel.NewAlarm(askTick)
	defer alarm.Stop()
	for {
		select {
		case <-alarm.C:
			alarm.Set(askTick)
		case <-s.kick:
		case <-ctx.Done():
			return
		}
		for lender, asks := range s.dueAsks(s.view()) {
			s.done.Go(func() { s.ask(ctx, lender, asks) })
		}
	}
}

// dueAsks returns the asks that are due by lender, and forgets holders of plans that are gone.
func (s *Service) dueAsks(v *view) map[lenderAddress][]*sharepb.Ask {
	due := map[lenderAddress][]*sharepb.Ask{}
	now := time.Now()
	for plan, h := range s.allHolders() {
		limit, ok := s.limitOf(plan)
		if !ok {
			s.forget(plan)
			continue
		}
		if ask, ok := h.nextAsk(now, limit, v.members()); ok {
			lender := v.lenders[bucketOf(plan)]
			due[lender] = append(due[lender], peer.AskToWire(plan, ask))
		}
	}
	return due
}

func (s *Service) ask(ctx context.Context, lender lenderAddress, asks []*sharepb.Ask) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	req := &sharepb.BorrowRequest{Holder: s.cfg.Instance, Asks: asks}
	resp, err := s.send(ctx, lender, req)
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

func (s *Service) send(ctx context.Context, lender lenderAddress, req *sharepb.BorrowRequest) (*sharepb.BorrowResponse, error) {
	if lender.id == s.cfg.Instance {
		return s.Borrow(ctx, req)
	}
	return peer.LendingClient(lender.address, s.cfg.Peers).Borrow(ctx, req)
}

// Borrow implements the twirp service.
func (s *Service) Borrow(_ context.Context, req *sharepb.BorrowRequest) (*sharepb.BorrowResponse, error) {
	resp := &sharepb.BorrowResponse{}
	for _, ask := range req.Asks {
		limit, ok := s.limitOf(ask.Plan)
		if !ok {
			continue
		}
		loan, ok := s.buckets[bucketOf(ask.Plan)].lend(time.Now(), ask.Plan, limit, peer.AskFromWire(req.Holder, ask))
		if !ok {
			s.cfg.Counters.Counter("loans_refused_not_lender").Add(1)
			continue
		}
		resp.Loans = append(resp.Loans, peer.LoanToWire(ask.Plan, loan))
	}
	s.cfg.Counters.Counter("loans_lent").Add(int64(len(resp.Loans)))
	return resp, nil
}

func (s *Service) limitOf(plan string) (share.Amount, bool) {
	lists, _ := s.cfg.Lists.InForce()
	entry, ok := lists.Limits[plan]
	return share.Amount{Rate: entry.Value.RatePerSecond, Concurrency: entry.Value.Concurrency}, ok
}
