// Package http1 sends requests to targets over persistent HTTP/1.1 connections. It sends each request at most
// once, and never takes data that may belong to another request for the response.
package http1

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Request is an HTTP request to a target.
type Request struct {
	Method string
	// Target is the request target: the path and the query, exactly as sent in the request line.
	Target string
	Host   string
	// Header holds the other header fields. It must not contain connection-specific fields, Host or
	// Content-Length.
	Header http.Header
	// EncodedHeader holds further header fields, encoded, each with its line end.
	EncodedHeader []byte
	Body          []byte
	// Matches reports whether a response belongs to the request. A connection on which another response
	// arrives is not reused. A nil Matches accepts every response.
	Matches func(*Response) bool
	// OpenedAfter restricts the request to connections that were opened later, if it is set. A request that repeats another
	// one with the same id must not use its connection: a second copy of the first response may arrive there, late.
	OpenedAfter time.Time
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stage is the point that a request had reached when it failed.
type Stage uint8

const (
	// NotSent means that no byte of the request was written to a connection.
	NotSent Stage = iota
	// Sent means that the target may have run the request.
	Sent
	// Closed means that the target may have run the request, and closed a connection on which it had answered
	// earlier requests.
	Closed
	// Refused means that the target may have run the request, and closed a connection on which it had not sent any
	// response.
	Refused
)

var stageNames = [...]string{"not_sent", "sent", "closed", "refused"}

// String returns the name of the stage in logs.
func (s Stage) String() string { return stageNames[s] }

// Error is the error that Client.Do returns.
type Error struct {
	Stage Stage
	// PeerClosed is set if the target closed the connection after the request was sent and before its response was complete.
	PeerClosed bool
	cause      error
}

// Error returns the stage and the text of the cause.
func (e *Error) Error() string { return e.Stage.String() + ": " + e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.cause }

func newError(s Stage, cause error, message string) *Error {
	return &Error{Stage: s, cause: errors.WithMessage(cause, message)}
}
