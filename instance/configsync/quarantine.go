package configsync

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/kernel"
	"hyssopcroft.example/query/quarantine"
)

const (
	// quarantineWriteInterval is the minimum time between two writes of an instance. Requests that are
	// confirmed in the meantime form one batch, which limits the number of writes.
	quarantineWriteInterval = time.Second
	// quarantineWriteAttempts is the maximum number of attempts to write a batch. A batch that fails is
	// dropped; the suspicions that instances exchange remain as the only protection.
	quarantineWriteAttempts = 10
	// quarantineWriteTimeout bounds one attempt.
	quarantineWriteTimeout = 2 * time.Second
)

// QuarantineChanged is published when the list of confirmed requests in the store has changed.
type QuarantineChanged struct {
	Confirmed []quarantine.Confirmed `json:"confirmed"`
}

// Topic implements kernel.Event.
func (QuarantineChanged) Topic() string { return "quarantine_changed" }

// quarantineQueue contains the confirmed requests that are not yet written to the store.
type quarantineQueue struct {
	mu      sync.Mutex // guards the fields below
	pending []quarantine.Confirmed
	writing bool // writeConfirmed is running
}

// AddQuarantined queues a confirmed request to be written to the store, from which all instances receive
// it. It does not block.
func (s *Service) AddQuarantined(c quarantine.Confirmed) {
	q := &s.quarantineQueue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, c)
	if !q.writing && s.ctx.Err() == nil {
		q.writing = true
		s.done.Go(s.writeConfirmed)
	}
}

// writeConfirmed writes pending requests in batches until none is left.
func (s *Service) writeConfirmed() {
	q := &s.quarantineQueue
	for {
		q.mu.Lock()
		batch := q.pending
		q.pending = nil
		q.writing = len(batch) > 0 && s.ctx.Err() == nil
		writing := q.writing
		q.mu.Unlock()
		if !writing {
			return
		}
		for n := 0; n < quarantineWriteAttempts && s.ctx.Err() == nil; n++ {
			err := s.addConfirmed(batch)
			kernel.Sleep(s.ctx, quarantineWriteInterval)
			if err == nil {
				break
			}
			s.counters.Counter("quarantine_writes_failed").Add(1)
		}
	}
}

// addConfirmed adds a batch to the quarantine object in the store. If a write succeeded but its response
// was lost, the next attempt finds the requests in the object and writes nothing.
func (s *Service) addConfirmed(batch []quarantine.Confirmed) error {
	ctx, cancel := context.WithTimeout(s.ctx, quarantineWriteTimeout)
	defer cancel()
	obj, err := s.client.Get(ctx, "quarantine_read", KindQuarantine, NameCurrent)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var stored []quarantine.Confirmed
	if err == nil {
		if err := json.Unmarshal(obj.Data, &stored); err != nil {
			return errors.Wrap(err, "decode quarantined requests")
		}
	}
	stored, added := quarantine.MergeConfirmed(time.Now(), stored, batch)
	if !added {
		return nil
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode quarantined requests")
	}
	next := platform.Object{Kind: KindQuarantine, Name: NameCurrent, Data: data}
	_, err = s.client.Put(ctx, "quarantine_write", next, obj.Version, 0)
	return err
}
