// Package target is the client of targets. It sends protobuf messages in the bodies of HTTP requests over
// unencrypted HTTP/2, with one connection per target.
package target

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"hyssopcroft.example/adapter/stamp"
	"hyssopcroft.example/adapter/wire/targetpb"
	"hyssopcroft.example/query"
)

const (
	// PathSearch and PathExecute are the URL paths of the two calls.
	PathSearch  = "/v1/search"
	PathExecute = "/v1/execute"
	// ContentType is the media type of request and response bodies.
	ContentType = "application/x-protobuf"
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 4 << 20
	// dialTimeout bounds an attempt to connect to a target whose network drops packets. A dial that times out
	// proves that the request was not run. Opening a connection takes about 6 ms and a round trip of 24 ms.
	dialTimeout = 200 * time.Millisecond
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	stamps *stamp.Propagator // nil if messages are not stamped
}

// NewClient returns a client that sends its requests through the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// UseStamps makes the client stamp requests and observe the stamps of responses. A response without a
// stamp is accepted. UseStamps must be called before the first request.
func (c *Client) UseStamps(s *stamp.Propagator) { c.stamps = s }

// NewTransport returns a transport that keeps one unencrypted HTTP/2 connection to each target and
// closes a connection on which nothing has been received for pingAfter plus pingTimeout.
func NewTransport(pingAfter, pingTimeout time.Duration) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols:          &protocols,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DisableCompression: true,
		// For HTTP/2 this limits the connections that are being opened. Without the limit, each request that
		// finds no connection to its target opens another one.
		MaxConnsPerHost: 1,
		DialContext:     ObserveDial(dialer.DialContext),
	}
}

// Search holds the parameters of one attempt at one shard.
type Search struct {
	Address  string
	Request  query.RequestID
	Attempt  query.AttemptID
	Index    string
	Shard    query.Shard
	Snapshot query.Version
	Query    string
	Limit    int
	TimeLeft time.Duration
}

// Search sends an attempt and waits for its result. It always returns a reply, which reports a failure by
// its outcome.
func (c *Client) Search(ctx context.Context, s Search) query.Reply {
	req := &targetpb.SearchRequest{
		RequestId:  uint64(s.Request),
		AttemptId:  uint64(s.Attempt),
		Index:      s.Index,
		Shard:      uint32(s.Shard),
		Snapshot:   uint64(s.Snapshot),
		Query:      s.Query,
		Limit:      uint32(s.Limit),
		TimeLeftUs: timeLeftMicros(s.TimeLeft),
	}
	var resp targetpb.SearchResponse
	if outcome, err := c.post(ctx, s.Address+PathSearch, req, &resp); err != nil {
		return query.Reply{Attempt: s.Attempt, Request: s.Request, Shard: s.Shard, Snapshot: s.Snapshot, Outcome: outcome}
	}
	return ReplyOf(&resp)
}

// ReplyOf converts a search response of a target.
func ReplyOf(resp *targetpb.SearchResponse) query.Reply {
	r := query.Reply{
		Attempt:  query.AttemptID(resp.AttemptId),
		Request:  query.RequestID(resp.RequestId),
		Shard:    query.Shard(resp.Shard),
		Snapshot: query.Version(resp.Snapshot),
		Outcome:  outcomeOf(resp.Outcome),
		Cold:     resp.Cold,
	}
	for _, h := range resp.Hits {
		r.Hits = append(r.Hits, query.Hit{ID: h.Id, Score: h.Score, Text: h.Text})
	}
	for _, v := range resp.Held {
		r.HeldVersions = append(r.HeldVersions, query.Version(v))
	}
	return r
}

// Execution holds the parameters of the single attempt at a request that may not be repeated.
type Execution struct {
	Address  string
	Key      string
	Attempt  query.AttemptID
	Index    string
	Body     []byte
	TimeLeft time.Duration
}

// Execute sends the request once. The result is valid only if the outcome is query.OutcomeAnswered.
func (c *Client) Execute(ctx context.Context, e Execution) ([]byte, query.Outcome) {
	req := &targetpb.ExecuteRequest{
		Key: e.Key, AttemptId: uint64(e.Attempt), Index: e.Index, Body: e.Body,
		TimeLeftUs: timeLeftMicros(e.TimeLeft),
	}
	var resp targetpb.ExecuteResponse
	if outcome, err := c.post(ctx, e.Address+PathExecute, req, &resp); err != nil {
		return nil, outcome
	}
	if resp.Key != e.Key || resp.AttemptId != uint64(e.Attempt) {
		return nil, query.OutcomeUnknown
	}
	return resp.Result, outcomeOf(resp.Outcome)
}

func outcomeOf(o targetpb.Outcome) query.Outcome {
	switch o {
	case targetpb.Outcome_OUTCOME_ANSWERED:
		return query.OutcomeAnswered
	case targetpb.Outcome_OUTCOME_SHED:
		return query.OutcomeShed
	case targetpb.Outcome_OUTCOME_DRAINING:
		return query.OutcomeDraining
	case targetpb.Outcome_OUTCOME_SNAPSHOT_GONE:
		return query.OutcomeSnapshotGone
	case targetpb.Outcome_OUTCOME_ABORTED:
		return query.OutcomeAborted
	case targetpb.Outcome_OUTCOME_WRONG_SHARD:
		return query.OutcomeWrongShard
	}
	return query.OutcomeUnknown
}

// timeLeftMicros converts a duration to microseconds and clamps it to the range of the uint32 field. A
// negative value would wrap around to more than an hour.
func timeLeftMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}

// post sends a request and decodes the response into out. With an error it returns the outcome, which shows
// whether the target may have run the request.
func (c *Client) post(ctx context.Context, url string, in, out proto.Message) (query.Outcome, error) {
	body, err := proto.Marshal(in)
	if err != nil {
		return query.OutcomeNotRun, errors.Wrap(err, "encode target request")
	}
	t := &attemptTrace{}
	req, err := http.NewRequestWithContext(t.withTrace(ctx), http.MethodPost, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return query.OutcomeNotRun, errors.Wrap(err, "build target request")
	}
	// Without GetBody the transport cannot resend the body. It would otherwise retry after some connection
	// resets, which would repeat executions (I5) and retry searches beyond the retry budget (H4).
	req.GetBody = nil
	req.Header.Set("Content-Type", ContentType)
	c.stamps.Set(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return t.outcome(err), errors.Wrap(err, "call target")
	}
	defer resp.Body.Close()
	c.stamps.Observe(resp.Header)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return t.outcome(err), errors.Wrap(err, "read target response")
	}
	return decodeResponse(resp.StatusCode, raw, out)
}

// decodeResponse decodes a response into out. An invalid response has an unknown outcome, as if no response
// had arrived.
func decodeResponse(status int, raw []byte, out proto.Message) (query.Outcome, error) {
	if status != http.StatusOK {
		return query.OutcomeUnknown, errors.Errorf("target response has status %d", status)
	}
	if len(raw) > maxResponseBytes {
		return query.OutcomeUnknown, errors.Errorf("target response has more than %d bytes", maxResponseBytes)
	}
	if err := proto.Unmarshal(raw, out); err != nil {
		return query.OutcomeUnknown, errors.Wrap(err, "decode target response")
	}
	return query.OutcomeAnswered, nil
}
