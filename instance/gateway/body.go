package gateway

// freeBodyBytes is the size of a body up to which its memory is not counted.
const freeBodyBytes = 16 << 10

// BodyReservation is the memory that the body of one request occupies. It is not safe for concurrent use.
type BodyReservation struct {
	service  *Service
	size     int64
	reserved int64
}

// ReserveBody returns an empty reservation for the body of a request.
func (s *Service) ReserveBody() *BodyReservation { return &BodyReservation{service: s} }

// Add reserves memory for further bytes of the body. It returns the refusal of the request if there is none left.
func (b *BodyReservation) Add(bytes int64) *Response {
	s := b.service
	b.size += bytes
	more := max(0, b.size-freeBodyBytes) - b.reserved
	if s.cfg.BodyMemory == 0 || more <= 0 {
		return nil
	}
	if s.bodyBytes.Add(more) > s.cfg.BodyMemory {
		s.bodyBytes.Add(-more)
		return &Response{Kind: Refused, Reason: reasonBodies, RetryAfter: busyRetryAfter}
	}
	b.reserved += more
	return nil
}

// Release ends the reservation.
func (b *BodyReservation) Release() {
	b.service.bodyBytes.Add(-b.reserved)
	b.reserved = 0
}
