package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds an attempt to connect to a target whose network drops packets. It leaves time for one
// lost packet, which TCP retransmits after 1 s, a round trip of 24 ms between regions and a handshake of 6 ms.
const dialTimeout = 1200 * time.Millisecond

// spareTimeout bounds the time to open a spare connection.
const spareTimeout = time.Second

// spareRetryPause is the pause after a spare connection could not be opened.
const spareRetryPause = 500 * time.Millisecond

// watchMargin is the time for which a new connection is watched in addition to the time that it took to open. A
// target at its connection limit closes a new connection one round trip later, and takes up to 6 ms to accept it.
const watchMargin = 8 * time.Millisecond

// Client sends requests over a pool of persistent connections to targets. It is safe for concurrent use.
type Client struct {
	dial   func(ctx context.Context, address string) (net.Conn, error)
	onOpen func() // called for each new connection
	// onTooLarge is called for each response that exceeds its maximum size, or that of all responses together.
	onTooLarge func(address string)
	memory     memory

	mu    sync.Mutex // guards hosts and their fields
	hosts map[string]*host
}

// host is the connection pool of one address.
type host struct {
	limit int // maximum of open
	open  int // connections that are in use, idle or being opened
	idle  []*conn
	// refusing is set when the target refuses a new connection, and cleared when it answers a request. While it
	// is set, new connections are watched before they carry a request.
	refusing bool
	// idleTimeout is the last idle timeout that the target announced, 0 if it announced none.
	idleTimeout time.Duration
	// spare is set if an idle connection is to be kept beside those in use.
	spare bool
	// refilling is set while a spare connection is being opened.
	refilling bool
	// refillAt is the earliest time at which the next spare connection may be opened.
	refillAt time.Time
	// waiters holds a channel for each request that waits for a connection, in the order of arrival.
	waiters []chan struct{}
}

// NewClient returns a client without connections. A nil dial means TCP. onOpen is called for each new
// connection and may be nil.
func NewClient(dial func(ctx context.Context, address string) (net.Conn, error), onOpen func()) *Client {
	if dial == nil {
		d := net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if onOpen == nil {
		onOpen = func() {}
	}
	return &Client{dial: dial, onOpen: onOpen, onTooLarge: func(string) {}, hosts: map[string]*host{}}
}

// OnTooLarge sets a function that is called for each response that exceeds its maximum size, or with which all responses would
// exceed their memory. It must be called before the client is used.
func (c *Client) OnTooLarge(f func(address string)) { c.onTooLarge = f }

// LimitMemory bounds the memory that all responses together may occupy, in bytes, until they are garbage. Small responses are
// not counted. A response that would exceed the bound fails with ErrNoMemory. It must be called before the client is used.
func (c *Client) LimitMemory(bytes int64) { c.memory.limit = bytes }

// SetLimits sets the maximum number of connections per address and closes idle connections in excess of it. An
// address that is not in limits has the limit 0.
func (c *Client) SetLimits(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, h := range c.hosts {
		h.limit = limits[address]
		for h.open > h.limit && len(h.idle) > 0 {
			c.closeLocked(h, h.popIdle())
		}
		if h.open == 0 && h.limit == 0 && len(h.waiters) == 0 {
			delete(c.hosts, address)
		}
	}
	for address, limit := range limits {
		h := c.hostLocked(address)
		h.limit = limit
		for range min(max(h.limit-h.open, 0), len(h.waiters)) {
			h.wakeNext()
		}
	}
}

// Do sends the request over an idle or a new connection and returns the complete response. It fails with
// an *Error.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	cn, err := c.acquire(ctx, address, r.OpenedAfter)
	if err != nil {
		return nil, newError(NotSent, err, "connect to "+address)
	}
	resp, reusable, failure := cn.exchange(ctx, r)
	if failure == nil || failure.Stage == Refused {
		c.setRefusing(address, failure != nil)
	}
	c.release(address, cn, reusable && (r.Matches == nil || r.Matches(resp)))
	if failure != nil {
		if errors.Is(failure, ErrTooLarge) || errors.Is(failure, ErrNoMemory) {
			c.onTooLarge(address)
		}
		return nil, failure
	}
	return resp, nil
}

// Connect opens a connection to an address that has none, so that a later request need not wait for the dial. It
// does nothing for an address without a limit.
func (c *Client) Connect(ctx context.Context, address string) error {
	h, reserved := c.reserveIfNeeded(address)
	if !reserved {
		return nil
	}
	cn, err := c.open(ctx, address, h)
	if err != nil {
		return err
	}
	c.release(address, cn, true)
	return nil
}

// SetSpares sets the addresses to which an idle connection is kept beside those in use, within the limit. An attempt that
// overlaps another one then does not wait for a dial; to another region, a dial takes as long as the attempt itself. A
// spare connection is opened when the last idle one is taken, so Connect opens the first one.
func (c *Client) SetSpares(addresses []string) {
	spare := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		spare[address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, h := range c.hosts {
		h.spare = spare[address]
	}
}

// refillLocked opens a spare connection in the background if one is missing.
func (c *Client) refillLocked(address string, h *host) {
	now := time.Now()
	if !h.spare || h.refilling || h.refusing || len(h.idle) > 0 || h.open >= h.limit || now.Before(h.refillAt) {
		return
	}
	h.refilling = true
	h.open++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), spareTimeout)
		defer cancel()
		cn, err := c.open(ctx, address, h)
		c.mu.Lock()
		h.refilling = false
		if err != nil {
			h.refillAt = time.Now().Add(spareRetryPause)
		}
		c.mu.Unlock()
		if err == nil {
			c.release(address, cn, true)
		}
	}()
}

// CheckReachable checks that an address accepts a new connection: the end of an idle one may not have arrived yet. At the
// limit it closes an idle connection for the new one. A connection to an address without a limit is closed at once. It fails
// only if a dial fails. If ctx ends a wait at the connection limit, nothing is known about the address and CheckReachable
// returns nil.
func (c *Client) CheckReachable(ctx context.Context, address string) error {
	if !c.hasLimit(address) {
		return c.checkDial(ctx, address)
	}
	cn, err := c.acquire(ctx, address, time.Now())
	var op *net.OpError
	switch {
	case err == nil:
		c.release(address, cn, true)
		return nil
	case errors.As(err, &op) && op.Op == "dial":
		return err
	}
	return nil
}

func (c *Client) hasLimit(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	return h != nil && h.limit > 0
}

// checkDial checks that an address accepts a connection, and keeps none.
func (c *Client) checkDial(ctx context.Context, address string) error {
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return errors.WithMessage(err, "check of "+address)
	}
	c.onOpen()
	_ = dialed.Close() // It has carried nothing.
	return nil
}

// CloseUnused closes the idle connections that have carried no request for the given time, except those to
// the addresses in keep.
func (c *Client) CloseUnused(unusedFor time.Duration, keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, h := range c.hosts {
		if keep[address] {
			continue
		}
		h.idle = slices.DeleteFunc(h.idle, func(cn *conn) bool {
			unused := now.Sub(cn.usedAt) >= unusedFor
			if unused {
				c.closeLocked(h, cn)
			}
			return unused
		})
	}
}

// NeedsConnection reports whether an address has a limit and no connection.
func (c *Client) NeedsConnection(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.needsConnectionLocked(address)
}

func (c *Client) needsConnectionLocked(address string) bool {
	h := c.hosts[address]
	if h == nil || h.limit == 0 {
		return false
	}
	now := time.Now()
	for len(h.idle) > 0 && !h.idle[len(h.idle)-1].usable(now) {
		c.closeLocked(h, h.popIdle())
	}
	return h.open == 0
}

// reserveIfNeeded reports whether the address needs a connection. If so, it counts the connection that the caller is to
// open.
func (c *Client) reserveIfNeeded(address string) (*host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.needsConnectionLocked(address) {
		return nil, false
	}
	h := c.hosts[address]
	h.open++
	return h, true
}

// acquire returns an idle connection that was opened after the given time, or opens one. At the limit it waits for a
// connection, because a cancelled attempt occupies its connection until it has noticed the cancellation.
func (c *Client) acquire(ctx context.Context, address string, openedAfter time.Time) (*conn, error) {
	for {
		cn, h, wait := c.tryAcquire(address, openedAfter)
		switch {
		case cn != nil:
			return cn, nil
		case wait == nil:
			return c.open(ctx, address, h)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			c.mu.Lock()
			h.stopWaiting(wait)
			c.mu.Unlock()
			return nil, errors.WithMessage(context.Cause(ctx), "wait for a connection")
		}
	}
}

// tryAcquire returns an idle connection that was opened after the given time, or a channel that is closed when a
// connection may be free. If it returns neither, the caller may open a connection, which is counted already.
func (c *Client) tryAcquire(address string, openedAfter time.Time) (*conn, *host, chan struct{}) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hostLocked(address)
	for cn := h.popIdleOpenedAfter(openedAfter); cn != nil; cn = h.popIdleOpenedAfter(openedAfter) {
		if cn.usable(now) {
			c.refillLocked(address, h)
			return cn, h, nil
		}
		c.closeLocked(h, cn)
	}
	if h.open >= h.limit && len(h.idle) > 0 {
		c.closeLocked(h, h.popIdle()) // It was opened too early, and occupies the place of a new one.
	}
	if h.open >= h.limit {
		wait := make(chan struct{})
		h.waiters = append(h.waiters, wait)
		return nil, h, wait
	}
	h.open++
	c.refillLocked(address, h)
	return nil, h, nil
}

// open opens a connection that the caller has already counted in h.open, and releases its slot on failure.
func (c *Client) open(ctx context.Context, address string, h *host) (*conn, error) {
	cn, err := c.dialAndWatch(ctx, address, h)
	if err != nil {
		c.mu.Lock()
		c.releaseSlotLocked(address, h)
		c.mu.Unlock()
		return nil, err
	}
	return cn, nil
}

// dialAndWatch dials a target. If the target is refusing connections, dialAndWatch watches whether it closes this one
// too.
func (c *Client) dialAndWatch(ctx context.Context, address string, h *host) (*conn, error) {
	start := time.Now()
	dialed, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.onOpen()
	cn := newConn(dialed, &c.memory)
	c.mu.Lock()
	cn.idleTimeout = h.idleTimeout
	refusing := h.refusing
	c.mu.Unlock()
	if !refusing {
		return cn, nil
	}
	if err := cn.watch(ctx, time.Since(start)+watchMargin); err != nil {
		_ = cn.Close() // The connection is discarded whether or not Close fails.
		return nil, err
	}
	return cn, nil
}

// setRefusing records that a target refused a new connection, or with refused false that it answered a request.
func (c *Client) setRefusing(address string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostLocked(address).refusing = refused
}

// release returns a connection to the pool if it is reusable and within the limit, and closes it otherwise.
func (c *Client) release(address string, cn *conn, reusable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hostLocked(address)
	if reusable && h.open <= h.limit {
		h.idleTimeout = cn.idleTimeout
		h.idle = append(h.idle, cn)
		h.wakeNext()
		return
	}
	_ = cn.Close() // The connection is discarded whether or not Close fails.
	c.releaseSlotLocked(address, h)
	c.refillLocked(address, h)
}

// closeLocked closes an unused connection without waking a waiter.
func (c *Client) closeLocked(h *host, cn *conn) {
	_ = cn.Close() // The connection is discarded whether or not Close fails.
	h.open--
}

// releaseSlotLocked decrements the connection count after a close or a failed dial, and wakes the next waiter.
func (c *Client) releaseSlotLocked(address string, h *host) {
	h.open--
	h.wakeNext()
	if h.open == 0 && h.limit == 0 && len(h.waiters) == 0 {
		delete(c.hosts, address)
	}
}

func (c *Client) hostLocked(address string) *host {
	h := c.hosts[address]
	if h == nil {
		h = &host{}
		c.hosts[address] = h
	}
	return h
}

func (h *host) wakeNext() {
	if len(h.waiters) > 0 {
		close(h.waiters[0])
		h.waiters = h.waiters[1:]
	}
}

// stopWaiting removes a waiter whose request has ended. A wake-up that it has received already goes to the next waiter.
func (h *host) stopWaiting(wait chan struct{}) {
	select {
	case <-wait:
		h.wakeNext()
	default:
		h.waiters = slices.DeleteFunc(h.waiters, func(w chan struct{}) bool { return w == wait })
	}
}

// popIdleOpenedAfter removes and returns the idle connection that was used last of those opened after the given time, nil if
// there is none.
func (h *host) popIdleOpenedAfter(t time.Time) *conn {
	for i, cn := range slices.Backward(h.idle) {
		if cn.openedAt.After(t) {
			h.idle = slices.Delete(h.idle, i, i+1)
			return cn
		}
	}
	return nil
}

func (h *host) popIdle() *conn {
	last := len(h.idle) - 1
	cn := h.idle[last]
	h.idle = h.idle[:last]
	return cn
}
