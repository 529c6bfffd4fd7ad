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
	// maxResponseBytes bounds the body of an answer. It is a multiple of the largest records that
	// targets return, about 20 KB.
	maxResponseBytes = 4 << 20
	// keepAliveMargin is taken off the idle time that a target announces, so that a request is not on
	// its way when the target closes the connection: a round trip between regions and the granularity
	// of the field, which is whole seconds.
	keepAliveMargin = time.Second
	// defaultMaxIdle is the time for which an idle connection is kept if the target announces none. It is below
	// the idle time of common HTTP servers, 60 s.
	defaultMaxIdle = 30 * time.Second
	// connBufferBytes holds the header of an answer and a small body.
	connBufferBytes = 4 << 10
)

// aLongTimeAgo as deadline ends reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// conn is a connection that carries one request at a time. Its holder has it alone.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is the end of the latest answer, or when the connection was opened. idleFor the time for which the target keeps the
	// connection open after it: 0 if it has not said so.
	usedAt      time.Time
	idleTimeout time.Duration
	// answered is set once the target has sent an answer.
	answered bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, connBufferBytes), usedAt: time.Now()}
}

// usable reports whether an idle connection may take a request: the target has neither closed it nor
// sent anything, and is not about to close it.
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

// hasNoInput reports whether the socket has neither bytes to read nor an end of file.
func (c *conn) hasNoInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // Connections in memory, of tests only.
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, readErr := syscall.Read(int(fd), buf[:])
		noInput = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && noInput
}

// watch waits for a time and fails if the far end closes the connection or sends something meanwhile, which
// belongs to no request.
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
		return errors.New("the target sent bytes before a request")
	}
	return errors.Wrap(err, "the target closed a new connection")
}

// exchange sends a request and reads its answer. reusable is set if the connection may carry another
// request.
func (c *conn) exchange(ctx context.Context, r *Request) (resp *Response, reusable bool, failed *Error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(aLongTimeAgo) }) // Fails on a closed connection only.
	written, err := c.write(r)
	if err == nil || written {
		// A target may answer before it has read the whole body, so that the write fails.
		resp, reusable, err = c.read(r.Method, err)
	}
	if !stop() {
		reusable = false
		if err != nil {
			return nil, false, newError(c.failureStage(written, nil), context.Cause(ctx), "request ended here")
		}
	}
	if err != nil {
		return nil, false, newError(c.failureStage(written, err), err, "exchange")
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
	case closedByPeer(err):
		return Refused
	}
	return Sent
}

// closedByPeer reports whether the far end closed or reset the connection.
func closedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// write reports whether a byte may have left.
func (c *conn) write(r *Request) (written bool, err error) {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
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

// read returns the next final answer. sendErr is what became of the request's last bytes.
func (c *conn) read(method string, sendErr error) (*Response, bool, error) {
	for {
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, err
		}
		if head.StatusCode < http.StatusOK {
			_ = head.Body.Close() // Interim answers have no body.
			continue
		}
		body, err := io.ReadAll(io.LimitReader(head.Body, maxResponseBytes+1))
		if err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
		if len(body) > maxResponseBytes {
			return nil, false, errors.Errorf("body has more than %d bytes", maxResponseBytes)
		}
		if announced := announcedIdleTimeout(head.Header); announced > 0 {
			c.idleTimeout = announced
		}
		framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
		reusable := framed && !head.Close && sendErr == nil && c.reader.Buffered() == 0
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, reusable, nil
	}
}

// announcedIdleTimeout returns the time that the Keep-Alive field states, 0 if it states none.
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
