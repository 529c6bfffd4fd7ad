package workload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/caller"
	"hyssopcroft.example/adapter/problem"
)

const (
	// sendTimeout exceeds the deadline of every plan.
	sendTimeout = 25 * time.Second
	// maxResponseBytes is the maximum number of bytes read from one response body.
	maxResponseBytes = 16 << 20
)

// HTTPSender sends requests to instances in round-robin order. It is safe for concurrent use.
type HTTPSender struct {
	addresses []string
	client    *http.Client
	sent      atomic.Uint64
}

// NewHTTPSender returns a sender to the given addresses. It fails unless all are loopback addresses with
// a port. The sender dials no other address and follows no redirects.
func NewHTTPSender(addresses []string, maxInFlight int) (*HTTPSender, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no instance addresses are given")
	}
	for _, a := range addresses {
		if p, err := netip.ParseAddrPort(a); err != nil || !p.Addr().IsLoopback() {
			return nil, errors.Errorf("expected a loopback address with a port, such as 127.0.0.1:7101, got %q", a)
		}
	}
	s := &HTTPSender{addresses: slices.Clone(addresses)}
	s.client = &http.Client{
		Timeout:       sendTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxInFlight, DialContext: s.dial},
	}
	return s, nil
}

func (s *HTTPSender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !slices.Contains(s.addresses, address) {
		return nil, errors.Errorf("address %s is not one of the sender's addresses", address)
	}
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, r Request) string {
	address := s.addresses[s.sent.Add(1)%uint64(len(s.addresses))]
	if r.NonRepeatable {
		key := fmt.Sprintf("%d-%016x", time.Now().UnixMilli(), r.KeySuffix)
		in := caller.ExecuteRequest{Plan: r.Plan, Index: r.Index, Key: key, Body: r.Query, FirstSubmission: true}
		return s.post(ctx, address+"/v1/execute", in, nil)
	}
	in := caller.SearchRequest{Plan: r.Plan, Index: r.Index, Query: r.Query, DeadlineMillis: r.DeadlineMillis}
	var result caller.SearchResult
	outcome := s.post(ctx, address+"/v1/search", in, &result)
	if outcome == Answered && !result.Complete {
		return Incomplete
	}
	return outcome
}

// post sends in as JSON, decodes a successful response into out, which may be nil, and returns the outcome.
func (s *HTTPSender) post(ctx context.Context, url string, in, out any) string {
	raw, err := json.Marshal(in)
	if err != nil {
		panic(errors.Wrap(err, "encode request"))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(raw))
	if err != nil {
		return NoResponse
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return NoResponse
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return NoResponse
	}
	if resp.StatusCode != http.StatusOK {
		if p := problem.Read(raw, resp.StatusCode); p != nil {
			return string(p.Code)
		}
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	if out != nil && json.Unmarshal(raw, out) != nil {
		return "malformed_response"
	}
	return Answered
}
