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

// GroupRequest is one attempt to query shards of a group of targets through a relay.
type GroupRequest struct {
	Request  query.RequestID
	Attempt  query.AttemptID
	Index    string
	Snapshot query.Version
	Shards   []query.Shard
	Query    string
	// Limit is the maximum number of hits in the partial answer.
	Limit    int
	TimeLeft time.Duration
	Plan     string
	// Priority is the name of the plan's priority.
	Priority string
	// Canary is set if the request goes to one target of its only shard, without hedges and retries.
	Canary bool
	// Cleared is set if a target has answered this request before.
	Cleared bool
}

// GroupResponse is the partial answer of a relay to a GroupRequest.
type GroupResponse struct {
	group.Reply
	// Versions lists the snapshot versions that the targets of the group hold.
	Versions snapshot.Report
	// Took is the time that the relay spent on the request.
	Took time.Duration
}

// RelayClient calls the relay service of other instances. It is safe for concurrent use.
type RelayClient struct {
	http *http.Client
}

// NewRelayClient returns a client that sends through the given transport.
func NewRelayClient(transport http.RoundTripper) *RelayClient {
	return &RelayClient{http: &http.Client{Transport: transport}}
}

// Scatter sends a request to the relay at the given address and waits for the response. A failed call returns a
// response with the outcome of the failure.
func (c *RelayClient) Scatter(ctx context.Context, address string, s GroupRequest) GroupResponse {
	client := relaypb.NewRelayProtobufClient("http://"+address, c.http)
	resp, err := client.ScatterGroup(ctx, groupRequestToWire(s))
	if err != nil {
		return GroupResponse{Reply: group.Reply{Attempt: s.Attempt, Outcome: failureOutcome(err)}}
	}
	return GroupResponseFromWire(s.Index, resp)
}

// failureOutcome returns the outcome of a call that failed with an error. Only a failure to connect, and a peer
// without the service, prove that the relay did not run the request.
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
