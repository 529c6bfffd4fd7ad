package ingress

import (
	"bytes"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// neverEvict is the rank of a connection with a complete request.
	neverEvict = math.MaxInt64
	// writeStall is the time after which a response that its client does not read may be cut off for other clients.
	writeStall = time.Second
	// serverBufferBytes is the size of the read buffer of net/http, which may contain the begin of the next request.
	serverBufferBytes = 4 << 10
	// lingerTime and lingerBytes bound what a refused client may still send until its connection is closed. Closing it
	// with unread input would reset it, and the client might not get the refusal.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

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
