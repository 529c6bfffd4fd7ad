package peer

import (
	"context"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
)

// DrainingReport reports to a peer that a target refused an attempt because it is draining.
type DrainingReport struct {
	Index  string
	Target query.TargetID
	// Hops is the number of times that the report may be forwarded.
	Hops int
}

// ReportDraining sends a report to the instance at the given address.
func (c *RelayClient) ReportDraining(ctx context.Context, address string, d DrainingReport) error {
	req := &relaypb.DrainingRequest{Index: d.Index, Target: string(d.Target), Hops: uint32(max(0, d.Hops))}
	_, err := relaypb.NewRelayProtobufClient("http://"+address, c.http).Draining(ctx, req)
	return err
}

// DrainingReportFromWire converts a report of a draining target.
func DrainingReportFromWire(r *relaypb.DrainingRequest) DrainingReport {
	return DrainingReport{Index: r.GetIndex(), Target: query.TargetID(r.GetTarget()), Hops: int(r.GetHops())}
}
