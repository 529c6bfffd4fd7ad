package ingress

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// minHeadBuffer is the size of the first buffer of a header that does not arrive whole.
	minHeadBuffer = 1 << 10
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = time.Second
)

// http2Preface is the beginning of the client preface of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2")

// readHead reads a header, or what follows the part of it that the server has read ahead.
func (c *conn) readHead(p []byte) (int, error) {
	if err := c.chargeReadAhead(); err != nil {
		return 0, c.refuse(http.StatusServiceUnavailable, err)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	whole := c.scanner.scan(p[:n])
	if whole && c.scanner.total <= minHeadBuffer {
		return n, c.pass(p[:n])
	}
	c.begin(n)
	limits := c.guard.cfg.Head().withDefaults()
	if whole {
		if c.scanner.exceeds(limits.Bytes) {
			return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge)
		}
		return n, c.pass(p[:n])
	}
	if err := c.Conn.SetReadDeadline(c.began.Add(limits.Time)); err != nil {
		return 0, err
	}
	if err := c.collect(p[:n], limits); err != nil {
		return 0, err
	}
	if err := c.pass(c.collected); err != nil {
		return 0, err
	}
	return c.deliver(p), c.Conn.SetReadDeadline(time.Time{})
}

// begin notes the first bytes of a request.
func (c *conn) begin(n int) {
	if c.currentPhase() == waiting {
		c.began, c.received = time.Now(), 0
		c.enter(receiving)
	}
	c.advance(n)
}

// pass reserves the memory of a request whose header is complete, before the server parses it.
func (c *conn) pass(head []byte) error {
	var err error
	if bytes.HasPrefix(head, http2Preface) {
		c.hold.complete()
		err = c.hold.add(http2Bytes)
		c.http2.Store(true)
		if err == nil {
			err = c.chargeFrames(head)
		}
	} else {
		c.rank.Store(neverEvict) // Until the server has parsed it.
		err = c.hold.add(headCost(c.scanner.total, c.scanner.lines))
	}
	if err != nil {
		return c.refuse(http.StatusServiceUnavailable, err)
	}
	return nil
}

// chargeFrames reserves memory for what the server keeps of the frames of an HTTP/2 connection. It closes the connection if
// there is none.
func (c *conn) chargeFrames(p []byte) error {
	c.frames.scan(p)
	cost := c.frames.cost(HTTP2HeadBytes)
	more := cost - c.framesHeld
	c.framesHeld = cost
	if more <= 0 {
		c.hold.remove(-more)
		return nil
	}
	if err := c.hold.add(more); err != nil {
		c.guard.onTurnedAway(err.Error())
		return err
	}
	return nil
}

// chargeReadAhead reserves memory for the part of a header that the server may have read behind the last request.
func (c *conn) chargeReadAhead() error {
	if c.lastLines == 0 {
		return nil
	}
	lines := c.lastLines
	c.lastLines = 0
	return c.hold.add(fieldBytes*int64(lines) + headCopies*int64(c.lastBytes))
}

var (
	errHeadTooLarge = errors.New("the header of the request is larger than the configuration allows")
	errHeadLate     = errors.New("the header of the request did not arrive in time")
)

// collect reads the rest of a header that did not arrive whole.
func (c *conn) collect(first []byte, limits HeadLimits) error {
	c.collected, c.delivered = nil, 0
	if err := c.grow(max(minHeadBuffer, 2*len(first))); err != nil {
		return c.refuse(http.StatusServiceUnavailable, err)
	}
	c.collected = append(c.collected, first...)
	for whole := false; !whole; {
		if c.evicted.Load() {
			return c.refuse(http.StatusServiceUnavailable, ErrNoMemory)
		}
		if c.scanner.exceeds(limits.Bytes) {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge)
		}
		if len(c.collected) == cap(c.collected) {
			if err := c.grow(2 * cap(c.collected)); err != nil {
				return c.refuse(http.StatusServiceUnavailable, err)
			}
		}
		end := len(c.collected)
		n, err := c.Conn.Read(c.collected[end:cap(c.collected)])
		c.collected = c.collected[:end+n]
		whole = c.scanner.scan(c.collected[end:])
		c.advance(n)
		switch {
		case n > 0:
		case c.evicted.Load():
			return c.refuse(http.StatusServiceUnavailable, ErrNoMemory)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return c.refuse(http.StatusRequestTimeout, errHeadLate)
		case err != nil:
			return err
		}
	}
	if c.scanner.exceeds(limits.Bytes) {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge)
	}
	return nil
}

// grow enlarges the buffer of the header.
func (c *conn) grow(size int) error {
	if err := c.hold.add(int64(size)); err != nil {
		return err
	}
	before := cap(c.collected)
	c.collected = append(make([]byte, 0, size), c.collected...)
	c.hold.remove(int64(before))
	return nil
}

// deliver passes on bytes of a collected header.
func (c *conn) deliver(p []byte) int {
	n := copy(p, c.collected[c.delivered:])
	c.delivered += n
	if c.delivered == len(c.collected) {
		c.hold.remove(int64(cap(c.collected)))
		c.collected, c.delivered = nil, 0
	}
	return n
}

// refuse answers a request of which the server has seen nothing. The returned error makes the server close the connection.
func (c *conn) refuse(status int, reason error) error {
	c.guard.onTurnedAway(reason.Error())
	c.refused.Store(true)
	body, retryAfter := c.guard.cfg.Refusal(status, reason.Error()), ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + retryAfterSeconds() + "\r\n"
	}
	failure := &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: reason}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return failure
	}
	// A client that is gone needs no refusal.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), retryAfter, len(body), body)
	return failure
}
