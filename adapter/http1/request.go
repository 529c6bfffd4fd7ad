// Package http1 sends requests to targets over HTTP/1.1 connections that it keeps. It sends each
// request at most once, and takes no byte for an answer that may belong to another request.
package http1

import (
	"net/http"

	"github.com/pkg/errors"
)

// Request is one request to one target.
type Request struct {
	Method string
	// Target is the path and the query as they appear in the request line.
	Target string
	Host   string
	// Header holds the other header fields. Those that concern only one connection, Host and
	// Content-Length are not among them.
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to the request. The connection of one that does not
	// carries no other request.
	Matches func(*Response) bool
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stage says how far a request got before it failed.
type Stage uint8

const (
	// NotSent means that no byte of the request was written to a connection.
	NotSent Stage = iota
	// Sent means that the target may have run the request.
	Sent
	// Closed means the same; besides, the target ended the connection before it answered.
	Closed
	// Refused means the same, and that the connection was a new one.
	Refused
)

var stageNames = [...]string{"not_sent", "sent", "closed", "refused"}

// String returns the name used in logs.
func (s Stage) String() string { return stageNames[s] }

// Error is returned by Client.Do.
type Error struct {
	Stage Stage
	cause error
}

// Error describes the cause.
func (e *Error) Error() string { return e.Stage.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func newError(s Stage, cause error, message string) *Error {
	return &Error{Stage: s, cause: errors.WithMessage(cause, message)}
}
