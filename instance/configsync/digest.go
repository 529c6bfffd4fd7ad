package configsync

import (
	"context"
	"time"
)

// unconfirmedAfter is the time without news from the store after which an instance that does not
// watch it reports itself unconfirmed: one watch call with its time-out, and the exchanges that
// carry its result from a watcher to everybody.
const unconfirmedAfter = watchWait + 10*time.Second

// Digest says what an instance holds.
type Digest struct {
	ConfigSequence uint64
	// ObjectsHash is equal for instances that hold the same revisions of all objects.
	ObjectsHash uint64
	// Confirmed is set if the objects were ever known to be the store's newest, and ConfirmedAge
	// is the time since then.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// Digest returns what this instance holds.
func (s *Service) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Digest{ConfigSequence: s.sequence(), ObjectsHash: s.holdings.Hash(), Confirmed: !s.confirmedAt.IsZero()}
	if d.Confirmed {
		d.ConfirmedAge = time.Since(s.confirmedAt)
	}
	return d
}

// sequence returns the revision of the required kind. It must be called with mu held.
func (s *Service) sequence() uint64 {
	for _, h := range s.holdings.Revisions() {
		if h.Kind == s.schema.Required {
			return h.Revision
		}
	}
	return 0
}

// OnDigest takes the digest of a peer that was asked at the given time. If the peer holds other
// revisions, both sides exchange what is newer.
func (s *Service) OnDigest(ctx context.Context, address string, d Digest, asked time.Time) {
	if !s.differs(d, asked) {
		return
	}
	// An error is counted; the next exchange tries again.
	_, _ = s.fetchFrom(ctx, address, repairTimeout)
	s.mu.Lock()
	s.fetching = false
	s.mu.Unlock()
}

// differs reports whether a fetch has to be made and reserves it: one at a time. If the peer holds
// the same, what it knows of the store holds here too.
func (s *Service) differs(d Digest, asked time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ObjectsHash == s.holdings.Hash() {
		if confirmed := asked.Add(-d.ConfirmedAge); d.Confirmed && confirmed.After(s.confirmedAt) {
			s.confirmedAt = confirmed
		}
		return false
	}
	if s.fetching {
		return false
	}
	s.fetching = true
	return true
}

// Unconfirmed returns since when it is not known here whether the store holds a newer
// configuration. It returns false if that is known.
func (s *Service) Unconfirmed() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := time.Since(s.confirmedAt) > unconfirmedAfter
	return s.confirmedAt, s.unreachable || silent
}
