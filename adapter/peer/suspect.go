package peer

import (
	"context"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/quarantine"
)

// Suspicion reports to a peer the targets that crashed while they ran a request.
type Suspicion struct {
	Fingerprint quarantine.Fingerprint
	Shape       quarantine.Shape
	Crashes     []quarantine.Crash
	// Hops is the number of times that the suspicion may be forwarded.
	Hops int
}

// ReportSuspicion sends a suspicion to the instance at the given address.
func (c *RelayClient) ReportSuspicion(ctx context.Context, address string, s Suspicion) error {
	req := &relaypb.SuspectRequest{Fingerprint: uint64(s.Fingerprint), Shape: uint64(s.Shape), Hops: uint32(max(0, s.Hops))}
	for _, crash := range s.Crashes {
		req.Crashes = append(req.Crashes, &relaypb.Crash{Shard: uint32(crash.Shard), Target: string(crash.Target)})
	}
	_, err := relaypb.NewRelayProtobufClient("http://"+address, c.http).Suspect(ctx, req)
	return err
}

// SuspicionFromWire converts a suspicion.
func SuspicionFromWire(r *relaypb.SuspectRequest) Suspicion {
	s := Suspicion{
		Fingerprint: quarantine.Fingerprint(r.GetFingerprint()), Shape: quarantine.Shape(r.GetShape()), Hops: int(r.GetHops()),
	}
	for _, c := range r.GetCrashes() {
		s.Crashes = append(s.Crashes, quarantine.Crash{Shard: query.Shard(c.GetShard()), Target: query.TargetID(c.GetTarget())})
	}
	return s
}
