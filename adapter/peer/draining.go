package peer

import (
	"context"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
)

// DrainingReport tells a peer of a target that refused an attempt because it is leaving.
type DrainingReport struct {
	Index  string
	Target query.TargetID
	// Hops is the number of times that the message may be passed on.
	Hops int
}

// ReportDraining sends the message to the instance at an address.
func (c *RelayClient) ReportDraining(ctx context.Context, address string, d DrainingReport) error {
	req := &relaypb.DrainingRequest{Index: d.Index, Target: string(d.Target), Hops: uint32(max(0, d.Hops))}
	_, err := relaypb.NewRelayProtobufClient("http://"+address, c.http).Draining(ctx, req)
	return err
}

// DrainingReportFromWire converts the message.
func DrainingReportFromWire(r *relaypb.DrainingRequest) DrainingReport {
	return DrainingReport{Index: r.GetIndex(), Target: query.TargetID(r.GetTarget()), Hops: int(r.GetHops())}
}
