package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxResponseBytes is the maximum size of a response body. It is a large multiple of the largest records
	// that targets return, about 20 KB.
	maxResponseBytes = 4 << 20
	// keepAliveMargin is subtracted from the idle timeout that a target announces, so that the target does not
	// close the connection while a request is in transit. It covers a round trip between regions and the
	// granularity of the Keep-Alive field, which is 1 s.
	keepAliveMargin = time.Second
	// defaultMaxIdle is the maximum idle time of a connection if the target announces no idle timeout. It is
	// below the idle timeout of common HTTP servers, 60 s.
	defaultMaxIdle = 30 * time.Second
	// maxHeadBytes is the maximum size of the header of a response together with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxFramingBytes is the maximum size of the framing of a body: chunk sizes, chunk extensions and trailers.
	maxFramingBytes = 1 << 20
	// freeHeadBytes is the size of a header up to which its memory is not counted.
	freeHeadBytes = 4 << 10
	// headCost is the memory that a byte of a header occupies at most: the shortest field has 5 bytes and an entry in a map.
	headCost = 80
	// freeBodyBytes is the size of a body up to which its memory is not counted.
	freeBodyBytes = 32 << 10
	// bodyCost is the memory that a byte of a body occupies at most while the buffer grows.
	bodyCost = 3
	// connBufferBytes is the size of the read buffer. It holds the header and a small body of a response.
	connBufferBytes = 4 << 10
)

// aLongTimeAgo is a deadline that makes pending reads and writes fail immediately.
var aLongTimeAgo = time.Unix(1, 0)

// conn is a connection that carries one request at a time. It is not safe for concurrent use.
type conn struct {
	net.Conn
	input    *boundedInput
	reader   *bufio.Reader // reads from input
	openedAt time.Time
	// usedAt is the time at which the last response was complete or, before the first, the connection was opened.
	usedAt time.Time
	// idleTimeout is the time for which the target keeps an idle connection open, 0 if it announced none.
	idleTimeout time.Duration
	// answered is set once a complete response has arrived on the connection.
	answered bool
	// responding is set once the header of a response has arrived on the connection.
	responding bool
}

func newConn(c net.Conn, m *memory) *conn {
	input := &boundedInput{reader: c, left: maxHeadBytes, memory: m}
	now := time.Now()
	return &conn{Conn: c, input: input, reader: bufio.NewReaderSize(input, connBufferBytes), openedAt: now, usedAt: now}
}

// ErrTooLarge means that a target sent more bytes than a response may have. What it sent is no answer; bytes that do not
// end would otherwise fill the memory until the deadline of the request.
var ErrTooLarge = errors.New("response exceeds its maximum size")

// boundedInput reads at most left bytes, and reserves the memory that a response occupies while it is read.
type boundedInput struct {
	reader io.Reader
	left   int
	closed bool // the peer has closed the connection

	memory   *memory
	free     int   // bytes that need no reservation
	cost     int64 // memory in bytes for each further byte
	reserved int64
}

// begin begins a part of a response, of which at most limit bytes are read.
func (b *boundedInput) begin(limit, free int, cost int64) {
	b.left, b.free, b.cost = limit, free, cost
}

// releaseAll ends the reservation.
func (b *boundedInput) releaseAll() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

// Read implements io.Reader.
func (b *boundedInput) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.closed = b.closed || closedByPeer(err)
	counted := max(0, n-b.free)
	b.free -= n - counted
	more := int64(counted) * b.cost
	if !b.memory.reserve(b.reserved, more) {
		return 0, ErrNoMemory
	}
	b.reserved += more
	return n, err
}

// usable reports whether an idle connection may carry a request: the target has neither closed it nor sent
// data on it, and its idle timeout is not about to expire.
func (c *conn) usable(now time.Time) bool {
	maxIdle := defaultMaxIdle
	if c.idleTimeout > 0 {
		maxIdle = c.idleTimeout - keepAliveMargin
	}
	if now.Sub(c.usedAt) >= maxIdle {
		return false
	}
	return c.reader.Buffered() == 0 && c.hasNoInput()
}

// hasNoInput reports whether a read from the socket would block, so that there is neither data nor EOF.
func (c *conn) hasNoInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // Only tests use in-memory connections.
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	hasNoInput := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, readErr := syscall.Read(int(fd), buf[:])
		hasNoInput = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && hasNoInput
}

// watch waits for the given time and fails if the peer closes the connection or sends data, which would belong
// to no request.
func (c *conn) watch(ctx context.Context, wait time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return errors.Wrap(err, "watch a new connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(aLongTimeAgo) }) // Fails on a closed connection only.
	_, err := c.reader.Peek(1)
	switch {
	case !stop():
		return errors.Wrap(context.Cause(ctx), "watch a new connection")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Wrap(c.SetReadDeadline(time.Time{}), "watch a new connection")
	case err == nil:
		return errors.New("target sent data before a request")
	}
	return errors.Wrap(err, "target closed a new connection")
}

// exchange sends a request and reads its response. reusable reports whether the connection may carry another
// request.
func (c *conn) exchange(ctx context.Context, r *Request) (resp *Response, reusable bool, failure *Error) {
	defer c.input.releaseAll()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(aLongTimeAgo) }) // Fails on a closed connection only.
	written, err := c.write(r)
	if err == nil || written {
		// The write can fail because the target responds before it has read the whole body.
		resp, reusable, err = c.read(r.Method, err)
	}
	if !stop() {
		reusable = false
		if err != nil {
			return nil, false, newError(c.failureStage(written, nil), context.Cause(ctx), "request context ended")
		}
	}
	if err != nil {
		failure := newError(c.failureStage(written, err), err, "exchange")
		failure.PeerClosed = written && c.input.closed
		return nil, false, failure
	}
	c.usedAt, c.answered = time.Now(), true
	return resp, reusable, nil
}

func (c *conn) failureStage(written bool, err error) Stage {
	switch {
	case !written:
		return NotSent
	case closedByPeer(err) && c.answered:
		return Closed
	case closedByPeer(err) && !c.responding:
		return Refused
	}
	return Sent
}

// closedByPeer reports whether err is caused by the peer closing or resetting the connection.
func closedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// write sends a request. written reports whether any byte may have been sent.
func (c *conn) write(r *Request) (written bool, err error) {
	var b strings.Builder
	b.Grow(512 + len(r.EncodedHeader) + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	b.Write(r.EncodedHeader)
	if err := r.Header.Write(&b); err != nil {
		return false, errors.Wrap(err, "encode header")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	n, err := io.WriteString(c.Conn, b.String())
	return n > 0 || err == nil, err
}

// read returns the next final response and whether the connection is reusable. sendErr is the error of sending
// the request, if any.
func (c *conn) read(method string, sendErr error) (*Response, bool, error) {
	c.input.begin(maxHeadBytes, freeHeadBytes, headCost)
	for {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, err
		}
		c.responding = true
		if err := checkStatus(head); err != nil {
			return nil, false, err
		}
		if head.StatusCode < http.StatusOK {
			_ = head.Body.Close() // Interim responses have no body.
			continue
		}
		c.input.begin(maxResponseBytes+maxFramingBytes, freeBodyBytes, bodyCost)
		body, err := io.ReadAll(io.LimitReader(head.Body, maxResponseBytes+1))
		if err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
		if len(body) > maxResponseBytes {
			return nil, false, ErrTooLarge
		}
		c.input.memory.hold(body)
		if announced := announcedIdleTimeout(head.Header); announced > 0 {
			c.idleTimeout = announced
		}
		framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
		reusable := framed && !head.Close && sendErr == nil && c.reader.Buffered() == 0
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, reusable, nil
	}
}

// ErrBadStatus means that the status line of a response is none that a request may get. What follows on the connection belongs
// to no request.
var ErrBadStatus = errors.New("response has no valid status")

const (
	minStatus   = 100
	maxStatus   = 599
	statusBytes = 3
)

// checkStatus fails unless a response has a status by RFC 9110, section 15: three digits, from 100 to 599. The parser of net/http
// takes any number of three characters. It also fails for a change of protocols, since no request asks for one.
func checkStatus(head *http.Response) error {
	code := head.StatusCode
	for _, digit := range head.Status[:min(statusBytes, len(head.Status))] {
		if digit < '0' || digit > '9' {
			code = 0
		}
	}
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrBadStatus, "status line %q", head.Status)
	}
	return nil
}

// announcedIdleTimeout returns the timeout parameter of the Keep-Alive field, 0 if there is none.
func announcedIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}
