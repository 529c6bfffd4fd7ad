package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// neverEvict is the rank of a connection with a complete request.
	neverEvict = math.MaxInt64
	// writeStall is the time after which a response that its client does not read may be cut off for other clients.
	writeStall = time.Second
	// minHeadBuffer is the size of the first buffer of a header that does not arrive whole.
	minHeadBuffer = 1 << 10
	// serverBufferBytes is the size of the read buffer of net/http, which may contain the begin of the next request.
	serverBufferBytes = 4 << 10
	// lingerTime and lingerBytes bound what a refused client may still send until its connection is closed. Closing it
	// with unread input would reset it, and the client might not get the refusal.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = time.Second
)

// http2Preface is the beginning of the client preface of HTTP/2.
var http2Preface = []byte("PRI * HTTP/2")

// past is a deadline that makes a pending read fail at once.
var past = time.Unix(1, 0)

// phase is what a connection waits for.
type phase uint8

const (
	waiting   phase = iota // for the first byte of a request
	receiving              // for the rest of its header
	reading                // for its body
	running                // for its response
	lingering              // for the client to read a refusal
)

// Listener accepts connections within the limits of a Guard. It passes the header of a request on once it is complete.
type Listener struct {
	net.Listener
	guard  *Guard
	closed atomic.Bool
}

// Wrap returns a listener whose clients are bounded by the guard. The server needs OnConnState, ConnContext and Handler.
// It limits the connections that wait to be accepted, and what the kernel receives for a connection before it is read.
// inner, which may be nil, wraps the listener below the guard.
func (g *Guard) Wrap(l net.Listener, inner func(net.Listener) net.Listener) (*Listener, error) {
	wrapped := &Listener{Listener: l, guard: g}
	if inner != nil {
		wrapped.Listener = inner(l)
	}
	socket, ok := l.(syscall.Conn)
	if !ok {
		return wrapped, nil // Only tests use in-memory connections.
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "limit the receive buffers")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { // Connections inherit it.
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.cfg.Limits.receiveBuffer())
		if setErr == nil {
			setErr = syscall.Listen(int(fd), g.cfg.Limits.backlog()) // It replaces the backlog.
		}
	})
	if err == nil {
		err = setErr
	}
	return wrapped, errors.Wrap(err, "limit the receive buffers")
}

// Accept implements net.Listener. It waits while the limit of connections is reached.
func (l *Listener) Accept() (net.Conn, error) {
	l.guard.makeRoom(l.closed.Load)
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, guard: l.guard}
	c.hold = &hold{guard: l.guard, conn: c}
	c.rank.Store(time.Now().UnixNano())
	l.guard.add(c)
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	l.guard.room.Broadcast()
	return l.Listener.Close()
}

// conn is the connection of a client. Its reads are serialised by the server.
type conn struct {
	net.Conn
	guard *Guard
	hold  *hold // of the present request
	// rank orders the connections that may be closed for others: the time in Unix nanoseconds since when the client
	// has been silent, or earlier if it sends slowly.
	rank atomic.Int64
	// writes counts the begins and ends of writes; it is odd during a write.
	writes atomic.Int64
	// stalledWrite is the value of writes when the connection was last examined for a stalled write, stalledSince when it
	// had that value first. Both are guarded by guard.mu.
	stalledWrite int64
	stalledSince time.Time
	evicted      atomic.Bool
	// refused is set once no more input is wanted.
	refused atomic.Bool
	http2   atomic.Bool

	scanner    headScanner
	collected  []byte       // header that did not arrive whole
	delivered  int          // bytes of collected that the server has
	frames     frameScanner // of an HTTP/2 connection
	framesHeld int64        // memory reserved for frames
	// lastLines is the number of line ends in the last input behind a header. The server may have read them ahead.
	lastLines int
	lastBytes int       // of the same input
	began     time.Time // of the present request
	received  int64     // bytes since began

	mu     sync.Mutex // guards phase
	phase  phase
	closed sync.Once
}

type connKey struct{}

// ConnContext is the ConnContext hook of a server behind a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own := unwrap(c); own != nil {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// OnConnState is the ConnState hook of a server behind a Listener.
func OnConnState(c net.Conn, s http.ConnState) {
	own := unwrap(c)
	switch {
	case own == nil:
	case s == http.StateActive && own.http2.Load():
		own.rank.Store(neverEvict)
	case s == http.StateActive:
		own.enter(reading)
	case s == http.StateIdle:
		own.awaitRequest()
	}
}

// unwrap returns the conn inside a connection, nil if there is none.
func unwrap(c net.Conn) *conn {
	for {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// startBody notes that the body of a request is due. The server may have read its header ahead.
func (c *conn) startBody() {
	c.enter(reading)
	c.began, c.received = time.Now(), 0
	c.rank.Store(c.began.UnixNano())
}

// run makes the connection that of a complete request. It returns false if the client has been turned away.
func (c *conn) run() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted.Load() {
		return false
	}
	c.phase = running
	c.rank.Store(neverEvict)
	return true
}

// awaitRequest makes the connection idle after a response.
func (c *conn) awaitRequest() {
	if !c.http2.Load() {
		c.hold.reset()
		c.scanner, c.collected, c.delivered = headScanner{}, nil, 0
		c.enter(waiting)
	}
	c.rank.Store(time.Now().UnixNano())
}

// evict turns a client away that has no complete request, or does not read its response. It returns false if its request
// has become complete.
func (c *conn) evict(writeStalled bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == running && !writeStalled || !c.evicted.CompareAndSwap(false, true) {
		return false
	}
	c.rank.Store(neverEvict)
	if c.phase == receiving || c.phase == reading {
		_ = c.Conn.SetReadDeadline(past) // Fails on a closed connection only. The reader refuses the request.
		return true
	}
	c.guard.onTurnedAway("connections")
	_ = c.Conn.Close() // As above. The server closes it as well.
	return true
}

// writeStalled reports whether the client has not read its response since an earlier call. It must be called with guard.mu
// held.
func (c *conn) writeStalled(now time.Time) bool {
	if write := c.writes.Load(); write != c.stalledWrite {
		c.stalledWrite, c.stalledSince = write, now
	}
	return c.stalledWrite%2 == 1 && now.Sub(c.stalledSince) > writeStall
}

// Read implements net.Conn. A header is passed on once it is complete.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.refused.Load():
		return 0, io.EOF
	case c.evicted.Load():
		return 0, ErrNoMemory
	}
	if c.delivered < len(c.collected) {
		return c.deliver(p), nil
	}
	if phase := c.currentPhase(); !c.http2.Load() && (phase == waiting || phase == receiving) {
		return c.readHead(p)
	}
	n, err := c.Conn.Read(p)
	if c.http2.Load() {
		if frameErr := c.chargeFrames(p[:n]); frameErr != nil {
			return 0, frameErr
		}
	} else if n > 0 {
		c.lastBytes = min(n, serverBufferBytes)
		c.lastLines = bytes.Count(p[n-c.lastBytes:n], []byte{'\n'})
		c.advance(n)
	}
	if c.evicted.Load() && err != nil {
		err = ErrNoMemory
	}
	return n, err
}

// advance moves the client back in the order in which clients are turned away.
func (c *conn) advance(n int) {
	c.received += int64(n)
	if c.rank.Load() == neverEvict {
		return
	}
	earned := time.Duration(c.received) * time.Second / minClientRate
	rank := min(time.Now().UnixNano(), c.began.Add(earned).UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != running && !c.evicted.Load() {
		c.rank.Store(rank)
	}
}

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

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.Conn.Write(p)
}

// Close implements net.Conn. The client of a refused request can still read the refusal.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closed.Do(func() {
		c.hold.reset()
		if c.refused.Load() && c.guard.mayLinger() {
			c.enter(lingering)
			c.rank.Store(time.Now().UnixNano())
			go c.linger()
			err = nil
			return
		}
		err = c.Conn.Close()
		c.guard.remove(c)
	})
	return err
}

// linger discards what the client still sends until it closes the connection, for a limited time.
func (c *conn) linger() {
	defer c.guard.remove(c)
	defer func() { _ = c.Conn.Close() }() // It may be closed already.
	if closer, ok := unwrapTCP(c.Conn); ok && closer.CloseWrite() != nil {
		return // The client is gone.
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // As above.
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // It ends when the client closes the connection or the time is over.
}

// unwrapTCP returns the TCP connection inside a connection.
func unwrapTCP(c net.Conn) (*net.TCPConn, bool) {
	for {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = wrapper.NetConn()
	}
}
