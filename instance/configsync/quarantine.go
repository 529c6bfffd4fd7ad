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
	// confirmPause is the least time between two writes of an instance, so that many confirmed requests
	// cost few writes.
	confirmPause = time.Second
	// confirmAttempts is the number of times that a batch is tried. After that the suspicions that
	// instances pass to each other have to do.
	confirmAttempts = 10
	// confirmTimeout bounds one attempt.
	confirmTimeout = 2 * time.Second
)

// QuarantineChanged is published when the confirmed requests in the store changed.
type QuarantineChanged struct {
	Confirmed []quarantine.Confirmed `json:"confirmed"`
}

// Topic implements kernel.Event.
func (QuarantineChanged) Topic() string { return "quarantine_changed" }

// confirmations are the confirmed requests that wait to be written to the store.
type confirmations struct {
	mu      sync.Mutex // guards the fields below
	pending []quarantine.Confirmed
	writing bool
}

// AddQuarantined writes a confirmed request to the store, from where it reaches all instances. It returns at
// once.
func (s *Service) AddQuarantined(c quarantine.Confirmed) {
	q := &s.confirmations
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, c)
	if !q.writing && s.ctx.Err() == nil {
		q.writing = true
		s.done.Go(s.writeConfirmed)
	}
}

// writeConfirmed writes batches until none is pending.
func (s *Service) writeConfirmed() {
	q := &s.confirmations
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
		for n := 0; n < confirmAttempts && s.ctx.Err() == nil; n++ {
			err := s.addConfirmed(batch)
			kernel.Sleep(s.ctx, confirmPause)
			if err == nil {
				break
			}
			s.counters.Counter("quarantine_writes_failed").Add(1)
		}
	}
}

// addConfirmed adds a batch to the object of the store. A write that took effect although its answer was
// lost is found by the next attempt.
func (s *Service) addConfirmed(batch []quarantine.Confirmed) error {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	obj, err := s.client.Get(ctx, "quarantine_read", KindQuarantine, NameCurrent)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var shared []quarantine.Confirmed
	if err == nil {
		if err := json.Unmarshal(obj.Data, &shared); err != nil {
			return errors.Wrap(err, "decode quarantined requests")
		}
	}
	shared, added := quarantine.Add(time.Now(), shared, batch)
	if !added {
		return nil
	}
	data, err := json.Marshal(shared)
	if err != nil {
		return errors.Wrap(err, "encode quarantined requests")
	}
	next := platform.Object{Kind: KindQuarantine, Name: NameCurrent, Data: data}
	_, err = s.client.Put(ctx, "quarantine_write", next, obj.Version, 0)
	return err
}
