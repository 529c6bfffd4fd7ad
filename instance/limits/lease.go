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
	// bucketCount is the number of leases of the fleet. It does not grow with the fleet or the plans,
	// so neither do the store's calls.
	bucketCount = 16
	// kindLeases is the kind of the lease objects. The platform removes an expired lease.
	kindLeases = "leases"
	// leaseDuration is the time for which a lender uses a lease without renewal.
	leaseDuration = 4 * time.Second
	// leaseObjectTTL is the time after which the platform removes a lease that is not renewed. By then
	// the last loan of its lender has ended, so a lender that finds no lease has no predecessor.
	leaseObjectTTL = leaseDuration + share.LoanTime
	// renewPeriod is the time between two renewals.
	renewPeriod = time.Second
	// takeoverDelay is the time without an answer from the store after which the chosen instance
	// lends without a lease. Until then a predecessor may be lending.
	takeoverDelay = leaseObjectTTL
)

func bucketOf(plan string) int { return int(xxhash.Sum64String(plan) % bucketCount) }

// lease is the data of a lease object. Its version is the epoch of the lender.
type lease struct {
	// Holder is the id of the lender, "" after it gave the lease back. Its loans may still be in use.
	Holder string `json:"holder"`
}

// lenderBucket lends the limits of the plans of one bucket while this instance holds its lease.
type lenderBucket struct {
	number int
	cfg    Config

	mu      sync.Mutex // guards the fields below
	version platform.Version
	// created is set if there was no lease before this one, and so no loan either.
	created   bool
	renewedAt time.Time // when the lease was last renewed
	// maxEpoch is the largest epoch seen, that of this instance or of another lender.
	maxEpoch uint64
	// epoch is the version at which the lease was taken, 0 without a lease.
	epoch uint64
	// leaseExpires is the time at which the lease ends, counted from before its renewal was sent. It is
	// put off while the store does not answer, because no one else can get the lease then.
	leaseExpires time.Time
	// unansweredSince is the time since which the store has not answered, zero while it does.
	unansweredSince time.Time
	// ownLoansExpire is the time until which loans from before the loss of the lease may be in use.
	ownLoansExpire time.Time
	lenders        map[string]*trace.Lender
}

// lend returns a loan if this instance lends the bucket now.
func (b *lenderBucket) lend(now time.Time, plan string, limit share.Amount, ask share.Ask) (share.Loan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxEpoch = max(b.maxEpoch, ask.Using.Epoch)
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
	return l.OnAsk(now, ask), true
}

// acquireOrRenew takes the lease or renews it when it is due. After a conflict it looks whether the lease is
// its own, because the answer to an earlier renewal may have been lost, or was given back.
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

// acquirableVersion returns the version of the lease if this instance may take it.
func (b *lenderBucket) acquirableVersion(ctx context.Context) (platform.Version, bool) {
	obj, err := b.cfg.Client.Get(ctx, "lease_read", kindLeases, b.leaseName())
	var current lease
	if err != nil || json.Unmarshal(obj.Data, &current) != nil {
		return 0, false
	}
	return obj.Version, current.Holder == b.cfg.Instance || current.Holder == ""
}

// writeLease writes the lease. It returns false if the lease has another version than expected.
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

// onWritten must be called with b.mu held.
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

// dropLease must be called with b.mu held. The next renewal tries to create the lease, which succeeds
// once the present one has expired.
func (b *lenderBucket) dropLease() {
	if b.epoch != 0 {
		b.ownLoansExpire = time.Now().Add(share.LoanTime)
	}
	b.epoch, b.version, b.unansweredSince = 0, 0, time.Time{}
	clear(b.lenders)
}

// onUnanswered must be called with b.mu held. While the store is away no other instance can get the
// lease, so a holder goes on. An instance that was chosen after its predecessor was lost begins
// after takeoverDelay. If the store answers others but not this instance, two lenders can lend the
// same limit until the contact returns.
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

// release gives the lease back if this instance holds it. The object stays, so that the successor
// knows of loans that are still in use.
func (b *lenderBucket) release(ctx context.Context) {
	b.mu.Lock()
	version, held := b.version, b.epoch != 0
	b.dropLease()
	b.mu.Unlock()
	if !held || version == 0 {
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
