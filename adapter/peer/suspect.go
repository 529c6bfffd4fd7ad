package peer

import (
	"context"
	"time"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

// Suspicion reports to a peer the targets that crashed while they ran a request, or that targets have answered it.
type Suspicion struct {
	Fingerprint quarantine.Fingerprint
	Shape       quarantine.Shape
	Crashes     []quarantine.Crash
	// Answered is the time of the last complete answer to the request, the zero time if none is known. Crashes before it
	// do not count.
	Answered time.Time
	// Reporter is the id of the instance that has seen the crashes, empty if it needs no reply. It is told if targets have
	// answered the request since.
	Reporter string
	// Hops is the number of times that the suspicion may be forwarded.
	Hops int
}

// ReportSuspicion sends a suspicion to the instance at the given address.
func (c *RelayClient) ReportSuspicion(ctx context.Context, address string, s Suspicion) error {
	req := &relaypb.SuspectRequest{
		Fingerprint: uint64(s.Fingerprint), Shape: uint64(s.Shape), Hops: uint32(max(0, s.Hops)),
		AnsweredAgeUsPlusOne: ageToWire(s.Answered), Reporter: s.Reporter,
	}
	for _, crash := range s.Crashes {
		req.Crashes = append(req.Crashes, &relaypb.Crash{
			Shard: uint32(crash.Shard), Target: string(crash.Target), AgeUsPlusOne: ageToWire(crash.At), Submission: uint64(crash.Submission),
			BeganAgeUsPlusOne: ageToWire(crash.Began), Shared: crash.Shared,
		})
	}
	_, err := relaypb.NewRelayProtobufClient("http://"+address, c.http).Suspect(ctx, req)
	return err
}

// SuspicionFromWire converts a suspicion.
func SuspicionFromWire(r *relaypb.SuspectRequest) Suspicion {
	s := Suspicion{
		Fingerprint: quarantine.Fingerprint(r.GetFingerprint()), Shape: quarantine.Shape(r.GetShape()), Hops: int(r.GetHops()),
		Answered: timeFromWire(r.GetAnsweredAgeUsPlusOne()), Reporter: r.GetReporter(),
	}
	for _, c := range r.GetCrashes() {
		s.Crashes = append(s.Crashes, quarantine.Crash{
			Shard: query.Shard(c.GetShard()), Target: query.TargetID(c.GetTarget()), At: timeFromWire(c.GetAgeUsPlusOne()),
			Submission: query.RequestID(c.GetSubmission()), Began: timeFromWire(c.GetBeganAgeUsPlusOne()),
			Shared: c.GetShared(),
		})
	}
	return s
}

// ageToWire encodes a time as an age, because the clocks of two instances may differ.
func ageToWire(at time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(0, time.Since(at).Microseconds())) + 1
}

// timeFromWire decodes a time. It is late by the transit time of the message.
func timeFromWire(age uint64) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(min(age-1, uint64(quarantine.HoldDuration.Microseconds()))) * time.Microsecond)
}
