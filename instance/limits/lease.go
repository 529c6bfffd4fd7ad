package limits

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/trace"
	"hyssopcroft.example/control/share"
)

const (
	// bucketCount is the number of leases. It does not grow with the number of instances or plans, so
	// neither does the rate of store calls.
	bucketCount = 16
	// kindLeases is the kind of the lease objects. The platform removes an expired lease.
	kindLeases = "leases"
	// leaseDuration is the time for which a lender may lend after its last renewal of the lease.
	leaseDuration = 4 * time.Second
	// leaseObjectTTL is the time after which the platform removes a lease object that is not renewed. By
	// then the last loan of its lender has ended, so a lender that finds no object has no predecessor.
	leaseObjectTTL = leaseDuration + share.LoanDuration
	// renewPeriod is the time between two renewals.
	renewPeriod = time.Second
	// takeoverDelay is the time without an answer from the store after which the chosen instance lends
	// without a lease. Before that, a predecessor may still be lending.
	takeoverDelay = leaseObjectTTL
)

func bucketOf(plan string) int { return int(xxhash.Sum64String(plan) % bucketCount) }

// lease is the data of a lease object. The version of the object is the epoch of the lender.
type lease struct {
	// Holder is the id of the lender, or "" after the lender released the lease. Its loans may still be in
	// use then.
	Holder string `json:"holder"`
}

// lenderBucket lends the limits of the plans of one bucket while this instance holds its lease.
type lenderBucket struct {
	number int
	cfg    Config

	mu      sync.Mutex // guards the fields below
	version platform.Version
	// created is set if no lease object existed before, so that no loan of a predecessor is in use.
	created   bool
	renewedAt time.Time // when the lease was last renewed
	// maxEpoch is the largest epoch seen, of this instance or another lender.
	maxEpoch uint64
	// epoch is the version at which the lease was acquired, or 0 if this instance does not lend. A lender
	// without a lease uses an epoch above every epoch seen.
	epoch uint64
	// leaseExpires is the time at which the lease ends, counted from before its renewal was sent. It is
	// extended while the store does not answer, because no other instance can acquire the lease then.
	leaseExpires time.Time
	// unansweredSince is when the store stopped answering, or zero while it answers.
	unansweredSince time.Time
	// ownLoansExpire is the time until which loans that were lent before the lease was lost or released may
	// be in use.
	ownLoansExpire time.Time
	lenders        map[string]*trace.Lender
}

// lend answers a loan request with a loan. It returns false if this instance is not the bucket's lender now.
func (b *lenderBucket) lend(now time.Time, plan string, limit share.Amount, request share.LoanRequest) (share.Loan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxEpoch = max(b.maxEpoch, request.LoanID.Epoch)
	if b.epoch == 0 || !now.Before(b.leaseExpires) {
		return share.Loan{}, false
	}
	l, ok := b.lenders[plan]
	if !ok {
		ownLoansInUse := now.Before(b.ownLoansExpire)
		l = trace.NewLender(plan, limit, b.epoch, now, !b.created || ownLoansInUse, b.cfg.Recorder)
		b.lenders[plan] = l
	}
	l.SetLimit(limit)
	return l.OnLoanRequest(now, request), true
}

// acquireOrRenew acquires the lease, or renews it when that is due. After a conflict it reads the lease, and
// acquires it if it names this instance, since the answer to an earlier renewal may have been lost, or if it
// has been released.
func (b *lenderBucket) acquireOrRenew(ctx context.Context) {
	b.mu.Lock()
	expected := b.version
	due := b.epoch == 0 || time.Since(b.renewedAt) >= renewPeriod
	b.mu.Unlock()
	if !due || b.writeLease(ctx, expected) {
		return
	}
	if current, ok := b.acquirableVersion(ctx); ok {
		b.writeLease(ctx, current)
	}
}

// acquirableVersion reads the lease object. It returns the object's version, and whether this instance may
// acquire the lease.
func (b *lenderBucket) acquirableVersion(ctx context.Context) (platform.Version, bool) {
	obj, err := b.cfg.Client.Get(ctx, "lease_read", kindLeases, b.leaseName())
	var current lease
	if err != nil || json.Unmarshal(obj.Data, &current) != nil {
		return 0, false
	}
	return obj.Version, current.Holder == b.cfg.Instance || current.Holder == ""
}

// writeLease writes this instance into the lease. It returns false if the lease has another version than
// expected.
func (b *lenderBucket) writeLease(ctx context.Context, expected platform.Version) bool {
	sent := time.Now()
	data, err := json.Marshal(lease{Holder: b.cfg.Instance})
	if err != nil {
		panic(errors.Wrap(err, "encode lease"))
	}
	obj := platform.Object{Kind: kindLeases, Name: b.leaseName(), Data: data}
	version, err := b.cfg.Client.Put(ctx, "lease", obj, expected, leaseObjectTTL)
	b.mu.Lock()
	defer b.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		b.onWritten(sent, version, expected == 0)
	case errors.As(err, &conflict):
		b.maxEpoch = max(b.maxEpoch, uint64(conflict.Actual))
		b.dropLease()
	case ctx.Err() == nil:
		b.onUnanswered(sent)
	}
	return conflict == nil
}

func (b *lenderBucket) leaseName() string { return "share-" + strconv.Itoa(b.number) }

// onWritten handles a successful write of the lease. It must be called with b.mu held.
func (b *lenderBucket) onWritten(sent time.Time, version platform.Version, created bool) {
	if b.epoch == 0 {
		b.epoch, b.created = uint64(version), created
		b.maxEpoch = max(b.maxEpoch, b.epoch)
		clear(b.lenders)
		b.cfg.Ring.Add("lender_changed", b.leaseName(), b.cfg.Instance)
		b.cfg.Counters.Counter("lender_takeovers").Add(1)
	}
	b.version, b.renewedAt, b.unansweredSince = version, sent, time.Time{}
	b.leaseExpires = sent.Add(leaseDuration)
}

// dropLease ends lending under the lease. The next call of acquireOrRenew tries to create the lease, which
// succeeds once the stored one has expired. dropLease must be called with b.mu held.
func (b *lenderBucket) dropLease() {
	if b.epoch != 0 {
		b.ownLoansExpire = time.Now().Add(share.LoanDuration)
	}
	b.epoch, b.version, b.unansweredSince = 0, 0, time.Time{}
	clear(b.lenders)
}

// onUnanswered handles a write without an answer from the store. While the store is unavailable, no other
// instance can acquire the lease, so the lender continues. An instance that was chosen after its
// predecessor failed starts lending after takeoverDelay. If the store answers other instances but not this
// one, two lenders can lend the same limit until this one reaches the store again. onUnanswered must be
// called with b.mu held.
func (b *lenderBucket) onUnanswered(now time.Time) {
	if b.unansweredSince.IsZero() {
		b.unansweredSince = now
	}
	b.cfg.Counters.Counter("lease_renewals_unanswered").Add(1)
	if b.epoch == 0 && now.Sub(b.unansweredSince) < takeoverDelay {
		return
	}
	if b.epoch == 0 {
		b.maxEpoch++
		b.epoch, b.created = b.maxEpoch, false
		clear(b.lenders)
		b.cfg.Ring.Add("lender_changed", b.leaseName(), b.cfg.Instance+" without a lease")
	}
	b.leaseExpires = now.Add(leaseDuration)
}

// release ends lending and releases the lease if this instance holds it. The lease object is not deleted: its
// presence shows the successor that loans may still be in use.
func (b *lenderBucket) release(ctx context.Context) {
	b.mu.Lock()
	version, lending := b.version, b.epoch != 0
	b.dropLease()
	b.mu.Unlock()
	if !lending || version == 0 {
		return
	}
	data, err := json.Marshal(lease{})
	if err != nil {
		panic(errors.Wrap(err, "encode lease"))
	}
	obj := platform.Object{Kind: kindLeases, Name: b.leaseName(), Data: data}
	if _, err := b.cfg.Client.Put(ctx, "lease_release", obj, version, leaseObjectTTL); err != nil {
		b.cfg.Counters.Counter("lease_releases_failed").Add(1)
	}
}
