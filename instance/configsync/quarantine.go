package configsync

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/quarantine"
)

const (
	// quarantineWriteInterval is the minimum time between two writes of an instance. Requests that are
	// confirmed in the meantime form one batch, which limits the number of writes. A batch is tried for as long as its
	// requests are held: suspicions that instances send each other do not survive the loss of all instances.
	quarantineWriteInterval = time.Second
	// quarantineWriteTimeout bounds one attempt.
	quarantineWriteTimeout = 2 * time.Second
)

// QuarantineChanged is published when the list of confirmed requests in the store has changed.
type QuarantineChanged struct {
	Confirmed []quarantine.Confirmed `json:"confirmed"`
}

// Topic implements kernel.Event.
func (QuarantineChanged) Topic() string { return "quarantine_changed" }

// quarantineQueue contains the changes of the list that are not yet written to the store.
type quarantineQueue struct {
	mu      sync.Mutex // guards the fields below
	pending quarantineChanges
	writing bool // writeQuarantine is running
}

// quarantineChanges are changes of the list of quarantined requests. No request is in both lists.
type quarantineChanges struct {
	added    []quarantine.Confirmed
	released []quarantine.Fingerprint
}

// AddQuarantined queues a confirmed request to be written to the store, from which all instances receive
// it. It does not block.
func (s *Service) AddQuarantined(c quarantine.Confirmed) {
	s.queueQuarantine(func(p *quarantineChanges) {
		p.released = slices.DeleteFunc(p.released, func(f quarantine.Fingerprint) bool { return f == c.Fingerprint })
		p.added = append(p.added, c)
	})
}

// RemoveQuarantined queues a request that is no longer quarantined to be removed from the store. It does not block.
func (s *Service) RemoveQuarantined(f quarantine.Fingerprint) {
	s.queueQuarantine(func(p *quarantineChanges) {
		p.added = slices.DeleteFunc(p.added, func(c quarantine.Confirmed) bool { return c.Fingerprint == f })
		p.released = append(p.released, f)
	})
}

func (s *Service) queueQuarantine(change func(*quarantineChanges)) {
	q := &s.quarantineQueue
	q.mu.Lock()
	defer q.mu.Unlock()
	change(&q.pending)
	if !q.writing && s.ctx.Err() == nil {
		q.writing = true
		s.done.Go(s.writeQuarantine)
	}
}

// writeQuarantine writes pending changes in batches until none is left.
func (s *Service) writeQuarantine() {
	q := &s.quarantineQueue
	for {
		q.mu.Lock()
		batch := q.pending
		q.pending = quarantineChanges{}
		q.writing = len(batch.added)+len(batch.released) > 0 && s.ctx.Err() == nil
		writing := q.writing
		q.mu.Unlock()
		if !writing {
			return
		}
		for start := time.Now(); time.Since(start) < quarantine.HoldDuration && s.ctx.Err() == nil; {
			err := s.updateQuarantine(batch)
			kernel.Sleep(s.ctx, quarantineWriteInterval)
			if err == nil {
				break
			}
			s.log.Info("quarantined requests not written to the store yet", "requests", len(batch.added), "released", len(batch.released), "error", err)
			s.counters.Counter("quarantine_writes_failed").Add(1)
		}
	}
}

// QuarantineStore holds the list of quarantined requests.
type QuarantineStore interface {
	// ReadQuarantined returns the list and its version, 0 if there is none yet.
	ReadQuarantined(ctx context.Context) ([]quarantine.Confirmed, platform.Version, error)
	// WriteQuarantined replaces the list if its version is still the expected one. The write may have taken effect if
	// it fails.
	WriteQuarantined(ctx context.Context, list []quarantine.Confirmed, expected platform.Version) error
}

// updateQuarantine applies a batch of changes to the list in the store. If a write succeeded but its response was lost, the
// next attempt finds the list as it should be and writes nothing.
func (s *Service) updateQuarantine(batch quarantineChanges) error {
	ctx, cancel := context.WithTimeout(s.ctx, quarantineWriteTimeout)
	defer cancel()
	stored, version, err := s.quarantineStore.ReadQuarantined(ctx)
	if err != nil {
		return err
	}
	stored, removed := quarantine.RemoveConfirmed(stored, batch.released)
	stored, added := quarantine.MergeConfirmed(time.Now(), stored, batch.added)
	if !added && !removed {
		return nil
	}
	return s.quarantineStore.WriteQuarantined(ctx, stored, version)
}

// clientQuarantineStore keeps the list in an object of the object API.
type clientQuarantineStore struct{ client *platform.Client }

// ReadQuarantined implements QuarantineStore.
func (c clientQuarantineStore) ReadQuarantined(ctx context.Context) ([]quarantine.Confirmed, platform.Version, error) {
	obj, err := c.client.Get(ctx, "quarantine_read", KindQuarantine, NameCurrent)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list []quarantine.Confirmed
	err = json.Unmarshal(obj.Data, &list)
	return list, obj.Version, errors.Wrap(err, "decode quarantined requests")
}

// WriteQuarantined implements QuarantineStore.
func (c clientQuarantineStore) WriteQuarantined(ctx context.Context, list []quarantine.Confirmed, expected platform.Version) error {
	data, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "encode quarantined requests")
	}
	next := platform.Object{Kind: KindQuarantine, Name: NameCurrent, Data: data}
	_, err = c.client.Put(ctx, "quarantine_write", next, expected, 0)
	return err
}
