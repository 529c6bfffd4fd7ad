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
	// buckets is the number of leases of the fleet. It does not grow with the fleet or the plans,
	// so neither do the store's calls.
	buckets = 16
	// kindLeases is the kind of the lease objects. The platform removes an expired lease.
	kindLeases = "leases"
	// leaseTime is the time for which a lender uses a lease without renewal.
	leaseTime = 4 * time.Second
	// objectTime is the time after which the platform removes a lease that is not renewed. By then
	// the last loan of its lender has ended, so a lender that finds no lease has no predecessor.
	objectTime = leaseTime + share.LoanTime
	// renewPeriod is the time between two renewals.
	renewPeriod = time.Second
	// takeoverDelay is the time without an answer from the store after which the chosen instance
	// lends without a lease. Until then a predecessor may be lending.
	takeoverDelay = objectTime
)

func bucketOf(plan string) int { return int(xxhash.Sum64String(plan) % buckets) }

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
	created bool
	renewed time.Time // when the lease was last renewed
	// latest is the largest epoch seen, that of this instance or of another lender.
	latest uint64
	// epoch is the version at which the lease was taken, 0 without a lease.
	epoch uint64
	// until is the time at which the lease ends, counted from before its renewal was sent. It is
	// put off while the store does not answer, because no one else can get the lease then.
	until time.Time
	// silentSince is the time since which the store has not answered, zero while it does.
	silentSince time.Time
	// lostUntil is the time until which loans from before the loss of the lease may be in use.
	lostUntil time.Time
	lenders   map[string]*trace.Lender
}

// lend returns a loan if this instance lends the bucket now.
func (b *lenderBucket) lend(now time.Time, plan string, limit share.Amount, ask share.Ask) (share.Loan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest = max(b.latest, ask.Using.Epoch)
	if b.epoch == 0 || !now.Before(b.until) {
		return share.Loan{}, false
	}
	l, ok := b.lenders[plan]
	if !ok {
		ownLoans := now.Before(b.lostUntil)
		l = trace.NewLender(plan, limit, b.epoch, now, !b.created || ownLoans, b.cfg.Recorder)
		b.lenders[plan] = l
	}
	l.SetLimit(limit)
	return l.OnAsk(now, ask), true
}

// keep takes the lease or renews it when it is due. After a conflict it looks whether the lease is
// its own, because the answer to an earlier renewal may have been lost, or was given back.
func (b *lenderBucket) keep(ctx context.Context) {
	b.mu.Lock()
	expected := b.version
	due := b.epoch == 0 || time.Since(b.renewed) >= renewPeriod
	b.mu.Unlock()
	if !due || b.put(ctx, expected) {
		return
	}
	if free, ok := b.freeVersion(ctx); ok {
		b.put(ctx, free)
	}
}

// freeVersion returns the version of the lease if this instance may take it.
func (b *lenderBucket) freeVersion(ctx context.Context) (platform.Version, bool) {
	obj, err := b.cfg.Client.Get(ctx, "lease_read", kindLeases, b.name())
	var present lease
	if err != nil || json.Unmarshal(obj.Data, &present) != nil {
		return 0, false
	}
	return obj.Version, present.Holder == b.cfg.Instance || present.Holder == ""
}

// put writes the lease. It returns false if the lease has another version than expected.
func (b *lenderBucket) put(ctx context.Context, expected platform.Version) bool {
	sent := time.Now()
	data, err := json.Marshal(lease{Holder: b.cfg.Instance})
	if err != nil {
		panic(errors.Wrap(err, "encode lease"))
	}
	obj := platform.Object{Kind: kindLeases, Name: b.name(), Data: data}
	version, err := b.cfg.Client.Put(ctx, "lease", obj, expected, objectTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		b.hold(sent, version, expected == 0)
	case errors.As(err, &conflict):
		b.latest = max(b.latest, uint64(conflict.Actual))
		b.lose()
	case ctx.Err() == nil:
		b.onSilence(sent)
	}
	return conflict == nil
}

func (b *lenderBucket) name() string { return "share-" + strconv.Itoa(b.number) }

// hold must be called with b.mu held.
func (b *lenderBucket) hold(sent time.Time, version platform.Version, created bool) {
	if b.epoch == 0 {
		b.epoch, b.created = uint64(version), created
		b.latest = max(b.latest, b.epoch)
		clear(b.lenders)
		b.cfg.Ring.Add("lender_changed", b.name(), b.cfg.Instance)
		b.cfg.Counters.Counter("lender_takeovers").Add(1)
	}
	b.version, b.renewed, b.silentSince = version, sent, time.Time{}
	b.until = sent.Add(leaseTime)
}

// lose must be called with b.mu held. The next renewal tries to create the lease, which succeeds
// once the present one has expired.
func (b *lenderBucket) lose() {
	if b.epoch != 0 {
		b.lostUntil = time.Now().Add(share.LoanTime)
	}
	b.epoch, b.version, b.silentSince = 0, 0, time.Time{}
	clear(b.lenders)
}

// onSilence must be called with b.mu held. While the store is away no other instance can get the
// lease, so a holder goes on. An instance that was chosen after its predecessor was lost begins
// after takeoverDelay. If the store answers others but not this instance, two lenders can lend the
// same limit until the contact returns.
func (b *lenderBucket) onSilence(now time.Time) {
	if b.silentSince.IsZero() {
		b.silentSince = now
	}
	b.cfg.Counters.Counter("lease_renewals_unanswered").Add(1)
	if b.epoch == 0 && now.Sub(b.silentSince) < takeoverDelay {
		return
	}
	if b.epoch == 0 {
		b.latest++
		b.epoch, b.created = b.latest, false
		clear(b.lenders)
		b.cfg.Ring.Add("lender_changed", b.name(), b.cfg.Instance+" without a lease")
	}
	b.until = now.Add(leaseTime)
}

// resign gives the lease back if this instance holds it. The object stays, so that the successor
// knows of loans that are still in use.
func (b *lenderBucket) resign(ctx context.Context) {
	b.mu.Lock()
	version, held := b.version, b.epoch != 0
	b.lose()
	b.mu.Unlock()
	if !held || version == 0 {
		return
	}
	data, err := json.Marshal(lease{})
	if err != nil {
		panic(errors.Wrap(err, "encode lease"))
	}
	obj := platform.Object{Kind: kindLeases, Name: b.name(), Data: data}
	if _, err := b.cfg.Client.Put(ctx, "lease_release", obj, version, objectTime); err != nil {
		b.cfg.Counters.Counter("lease_releases_failed").Add(1)
	}
}
