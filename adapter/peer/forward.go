package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"hyssopcroft.example/adapter/wire/relaypb"
	"hyssopcroft.example/query"
	"hyssopcroft.example/query/routing"
)

// ForwardedRequest is a request that another instance runs.
type ForwardedRequest struct {
	// ID is the caller's id of this submission, Caller the caller's address.
	ID, Caller string
	Method     string
	// Target is the request target (path and query) as the caller sent it.
	Target, Path, Host string
	Header             http.Header
	Body               []byte
	// RoutesVersion is the version of the routes at the first instance, Route the route of the request in it.
	RoutesVersion query.Version
	Route         routing.Route
	// TimeLeft is the time that the caller waits, counted from the arrival at the first instance; 0 if not stated.
	TimeLeft time.Duration
	// Elapsed is the time from the arrival at the first instance until the arrival at the receiver.
	Elapsed time.Duration
	// ReturnTime is the time that the response takes to the first instance.
	ReturnTime time.Duration
	// SpentAttempts is the number of attempts at each shard that other relays may have made.
	SpentAttempts int
}

// ForwardOutcome is what the receiver did with a forwarded request.
type ForwardOutcome uint8

const (
	// ForwardMerged means that the response holds the answer.
	ForwardMerged ForwardOutcome = iota
	// ForwardRefused means that no target ran the request or will run it.
	ForwardRefused
	// ForwardFailed means that targets may have run the request.
	ForwardFailed
	// ForwardTimedOut means the same as ForwardFailed, and that the deadline has passed.
	ForwardTimedOut
	// ForwardUnavailable means that the receiver could not be reached, or is starting or leaving. No target ran the
	// request or will run it.
	ForwardUnavailable
	// ForwardLost means that the receiver may have run the request, and that no response will arrive.
	ForwardLost
)

var forwardOutcomeNames = [...]string{"merged", "refused", "failed", "timed_out", "unavailable", "lost"}

// String returns the name used in logs and metrics.
func (o ForwardOutcome) String() string { return forwardOutcomeNames[o] }

// ForwardedResponse is the result of a forwarded request.
type ForwardedResponse struct {
	Outcome ForwardOutcome
	// Records, Signatures and Missing are set if the outcome is ForwardMerged: the merged records, the signatures of
	// the parts that they come from, and the number of shards that they lack.
	Records    []byte
	Signatures []string
	Missing    int
	// RetryAfter is the delay advised to the caller of a refused request.
	RetryAfter time.Duration
	// Reason says why there is no answer.
	Reason string
}

// Forward sends a request to the relay at the given address and waits for its response. onTaken is called when the
// relay confirms that it has the request. A failed call returns a response with the outcome of the failure.
func (c *RelayClient) Forward(ctx context.Context, address string, r ForwardedRequest, onTaken func()) ForwardedResponse {
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders:   func() { sent = true },
		Got1xxResponse: func(int, textproto.MIMEHeader) error { onTaken(); return nil },
	})
	resp, err := relaypb.NewRelayProtobufClient("http://"+address, c.http).Forward(ctx, forwardedToWire(r))
	if err != nil {
		return ForwardedResponse{Outcome: forwardFailure(err, sent), Reason: err.Error()}
	}
	return ForwardedResponse{
		Outcome: forwardOutcomeFromWire(resp.Outcome), Records: resp.Records, Signatures: resp.Signatures,
		Missing: int(resp.Missing), RetryAfter: microseconds(resp.RetryAfterUs), Reason: resp.Reason,
	}
}

// Connect opens a connection to the peer at the given address, so that a later request need not wait for it.
func (c *RelayClient) Connect(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+address+"/", nil)
	if err != nil {
		return errors.Wrap(err, "connect to relay")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "connect to relay")
	}
	return errors.Wrap(resp.Body.Close(), "connect to relay")
}

// forwardFailure returns the outcome of a call that failed with an error. Only a failure to connect, and a peer without
// the method, prove that the peer did not run the request.
func forwardFailure(err error, sent bool) ForwardOutcome {
	var op *net.OpError
	var t twirp.Error
	switch {
	case !sent && errors.As(err, &op) && op.Op == "dial":
		return ForwardUnavailable
	case errors.As(err, &t) && t.Code() == twirp.BadRoute:
		return ForwardUnavailable
	}
	return ForwardLost
}

var forwardOutcomes = map[relaypb.ForwardOutcome]ForwardOutcome{
	relaypb.ForwardOutcome_FORWARD_OUTCOME_MERGED:      ForwardMerged,
	relaypb.ForwardOutcome_FORWARD_OUTCOME_REFUSED:     ForwardRefused,
	relaypb.ForwardOutcome_FORWARD_OUTCOME_FAILED:      ForwardFailed,
	relaypb.ForwardOutcome_FORWARD_OUTCOME_TIMED_OUT:   ForwardTimedOut,
	relaypb.ForwardOutcome_FORWARD_OUTCOME_UNAVAILABLE: ForwardUnavailable,
}

// forwardOutcomeFromWire converts an outcome. One that is not known proves nothing.
func forwardOutcomeFromWire(o relaypb.ForwardOutcome) ForwardOutcome {
	outcome, ok := forwardOutcomes[o]
	if !ok {
		return ForwardLost
	}
	return outcome
}

func forwardOutcomeToWire(o ForwardOutcome) relaypb.ForwardOutcome {
	for wire, outcome := range forwardOutcomes {
		if outcome == o {
			return wire
		}
	}
	return relaypb.ForwardOutcome_FORWARD_OUTCOME_UNSPECIFIED
}

func forwardedToWire(r ForwardedRequest) *relaypb.ForwardRequest {
	out := &relaypb.ForwardRequest{
		Id: r.ID, Caller: r.Caller, Method: r.Method, Target: r.Target, Path: r.Path, Host: r.Host, Body: r.Body,
		Route: routeToWire(r.RoutesVersion, r.Route), TimeLeftUs: wireMicroseconds(r.TimeLeft), ElapsedUs: wireMicroseconds(r.Elapsed),
		ReturnUs: wireMicroseconds(r.ReturnTime), SpentAttempts: uint32(max(0, r.SpentAttempts)),
	}
	for name, values := range r.Header {
		for _, v := range values {
			out.Header = append(out.Header, &relaypb.HeaderField{Name: name, Value: v})
		}
	}
	return out
}

func routeToWire(v query.Version, r routing.Route) *relaypb.ForwardRoute {
	return &relaypb.ForwardRoute{
		Version: uint64(v), Name: r.Name, Services: r.Services, MaxAttempts: uint32(max(0, r.MaxAttempts)),
		TimeoutUs: wireMicroseconds(r.Timeout), ObjectiveUs: wireMicroseconds(r.Objective), Rank: uint32(max(0, r.Rank)),
		Limit: uint32(max(0, r.Limit)), MinCoverage: r.MinCoverage,
	}
}

// routeFromWire converts the route of a forwarded request. Only gathered requests, which may be repeated, are forwarded.
func routeFromWire(r *relaypb.ForwardRoute) routing.Route {
	return routing.Route{
		Name: r.GetName(), Gather: true, Repeatable: true, Services: r.GetServices(), MaxAttempts: int(r.GetMaxAttempts()),
		Timeout: microseconds(r.GetTimeoutUs()), Objective: microseconds(r.GetObjectiveUs()), Rank: int(r.GetRank()),
		Limit: int(r.GetLimit()), MinCoverage: r.GetMinCoverage(),
	}
}

// ForwardedRequestFromWire converts a forwarded request.
func ForwardedRequestFromWire(r *relaypb.ForwardRequest) ForwardedRequest {
	header := make(http.Header, len(r.GetHeader()))
	for _, f := range r.GetHeader() {
		header[f.GetName()] = append(header[f.GetName()], f.GetValue())
	}
	return ForwardedRequest{
		ID: r.GetId(), Caller: r.GetCaller(), Method: r.GetMethod(), Target: r.GetTarget(), Path: r.GetPath(), Host: r.GetHost(),
		Header: header, Body: r.GetBody(), RoutesVersion: query.Version(r.GetRoute().GetVersion()), Route: routeFromWire(r.GetRoute()), TimeLeft: microseconds(r.GetTimeLeftUs()),
		Elapsed: microseconds(r.GetElapsedUs()), ReturnTime: microseconds(r.GetReturnUs()), SpentAttempts: int(r.GetSpentAttempts()),
	}
}

// ForwardedResponseToWire converts the response to a forwarded request.
func ForwardedResponseToWire(r ForwardedResponse) *relaypb.ForwardResponse {
	return &relaypb.ForwardResponse{
		Outcome: forwardOutcomeToWire(r.Outcome), Records: r.Records, Signatures: r.Signatures, Missing: uint32(max(0, r.Missing)),
		RetryAfterUs: wireMicroseconds(r.RetryAfter), Reason: r.Reason,
	}
}

// ConfirmForwarded wraps the handler of the relay service: it confirms a forwarded request with an interim response
// before the request runs, so that its sender can tell a relay that waits for targets from one that is lost.
func ConfirmForwarded(next http.Handler) http.Handler {
	const path = relaypb.RelayPathPrefix + "Forward"
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == path {
			w.WriteHeader(http.StatusProcessing)
		}
		next.ServeHTTP(w, r)
	})
}

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }

func wireMicroseconds(d time.Duration) uint32 {
	const most = 1<<32 - 1
	return uint32(min(max(d.Microseconds(), 0), most))
}
