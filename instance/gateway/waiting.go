package gateway

import (
	"time"

	"hyssopcroft.example/query"
	"hyssopcroft.example/query/admission"
)

// queue returns the queue of the requests that wait for capacity at a shard's targets. It must be called with mu held.
func (s *Service) queue(shard query.Shard) *admission.Queue[*run] {
	q := s.queues[shard]
	if q == nil {
		q = &admission.Queue[*run]{}
		s.queues[shard] = q
	}
	return q
}

// offerCapacity offers freed capacity at a target of the shard to the next waiting request. It must be called with mu
// held.
func (s *Service) offerCapacity(now time.Time, shard query.Shard) {
	next, ok := s.queue(shard).Next(now)
	if !ok {
		return
	}
	select {
	case next.offers <- shard:
	default: // The buffer is full of offers that the request has not read. It retries after its backoff.
	}
}

// leaveQueues removes a request that has ended from all queues, and offers the capacity that it was offered and did not
// use to other requests.
func (s *Service) leaveQueues(q *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range q.resolved.shards {
		s.queue(shard).Remove(q)
	}
	for {
		select {
		case shard := <-q.offers:
			s.offerCapacity(time.Now(), shard)
		default:
			return
		}
	}
}
