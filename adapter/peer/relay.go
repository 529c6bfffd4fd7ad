package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/group"
	"hyssopcroft.example/query/snapshot"
)

// GroupRequest is one attempt at the shards of a group of targets.
type GroupRequest struct {
	Request  query.RequestID
	Attempt  query.AttemptID
	Index    string
	Snapshot query.Version
	Shards   []query.Shard
	Query    string
	// Limit is the largest number of hits in the partial answer.
	Limit    int
	TimeLeft time.Duration
	Plan     string
	// Priority is the name of the plan's priority.
	Priority string
	// Canary asks the only shard at one target, without hedges and retries.
	Canary bool
	// Cleared says that a target has answered this request before.
	Cleared bool
}

// GroupResponse is what a relay returns for a group.
type GroupResponse struct {
	group.Reply
	// Versions says what the targets of the group hold.
	Versions snapshot.Report
	// Took is the time that the relay spent.
	Took time.Duration
}

// RelayClient sends groups to relays. It is safe for concurrent use.
type RelayClient struct {
	http *http.Client
}

// NewRelayClient returns a client that sends through the given transport.
func NewRelayClient(transport http.RoundTripper) *RelayClient {
	return &RelayClient{http: &http.Client{Transport: transport}}
}

// Scatter sends an attempt to the relay at an address and waits for what becomes of it. It always
// returns a partial answer; failures are outcomes.
func (c *RelayClient) Scatter(ctx context.Context, address string, s GroupRequest) GroupResponse {
	client := relaypb.NewRelayProtobufClient("http://"+address, c.http)
	resp, err := client.ScatterGroup(ctx, groupRequestToWire(s))
	if err != nil {
		return GroupResponse{Reply: group.Reply{Attempt: s.Attempt, Outcome: failureOutcome(err)}}
	}
	return GroupResponseFromWire(s.Index, resp)
}

// failureOutcome says what an error tells about the request. Only a failure to connect, and a peer
// without the service, prove that the relay did not run it.
func failureOutcome(err error) query.Outcome {
	var op *net.OpError
	var t twirp.Error
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return query.OutcomeNotRun
	case errors.As(err, &t) && t.Code() == twirp.BadRoute:
		return query.OutcomeNotRun
	}
	return query.OutcomeUnknown
}

// RelayHandler returns the path prefix and the handler that serve the relay service.
func RelayHandler(s relaypb.Relay) (string, http.Handler) {
	h := relaypb.NewRelayServer(s)
	return h.PathPrefix(), h
}
