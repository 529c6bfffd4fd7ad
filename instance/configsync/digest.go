package configsync

import (
	"context"
	"time"
)

// unconfirmedAfter is the time since the last confirmation by the store after which an instance that
// is not a watcher reports its objects as unconfirmed. It covers one watch call with its timeout and
// the exchanges that propagate the result from a watcher to all instances.
const unconfirmedAfter = watchWait + 10*time.Second

// Digest summarises the objects of an instance.
type Digest struct {
	ConfigSequence uint64
	// ObjectsHash is equal for instances that have the same revisions of all objects.
	ObjectsHash uint64
	// Confirmed is set if the objects have ever been confirmed as the newest in the store.
	// ConfirmedAge is the time since the last confirmation.
	Confirmed    bool
	ConfirmedAge time.Duration
}

// Digest returns the digest of this instance.
func (s *Service) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Digest{ConfigSequence: s.sequence(), ObjectsHash: s.objects.Hash(), Confirmed: !s.confirmedAt.IsZero()}
	if d.Confirmed {
		d.ConfirmedAge = time.Since(s.confirmedAt)
	}
	return d
}

// sequence returns the revision of the object of the required kind, or 0 if there is none. It must be
// called with mu held.
func (s *Service) sequence() uint64 {
	for _, r := range s.objects.Revisions() {
		if r.Kind == s.schema.Required {
			return r.Revision
		}
	}
	return 0
}

// OnDigest handles the digest of a peer in response to a request sent at sentAt. If the revisions
// differ, each side sends the other its newer objects.
func (s *Service) OnDigest(ctx context.Context, address string, d Digest, sentAt time.Time) {
	if !s.beginFetch(d, sentAt) {
		return
	}
	// Errors are counted; the next exchange retries.
	_, _ = s.fetchFrom(ctx, address, false, repairTimeout)
	s.mu.Lock()
	s.fetching = false
	s.mu.Unlock()
}

// beginFetch reports whether to fetch from the peer, and marks the fetch as running. Only one fetch runs
// at a time. If the peer has the same revisions, its last confirmation by the store is adopted if later.
func (s *Service) beginFetch(d Digest, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ObjectsHash == s.objects.Hash() {
		if confirmed := sentAt.Add(-d.ConfirmedAge); d.Confirmed && confirmed.After(s.confirmedAt) {
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

// Unconfirmed returns the time of the last confirmation that the objects are the newest in the store,
// and whether the objects currently count as unconfirmed.
func (s *Service) Unconfirmed() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	overdue := time.Since(s.confirmedAt) > unconfirmedAfter
	return s.confirmedAt, s.storeUnreachable || overdue
}
