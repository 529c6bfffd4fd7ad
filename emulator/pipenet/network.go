// Package pipenet provides an in-process network with listeners and connections over net.Pipe. Servers and clients
// that use it can run in the virtual time of testing/synctest.
package pipenet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// Network connects dialers with listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*listener
	lastPort  int // assigned to the last listener with port 0
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener on an address. For port 0 it assigns a port that it has not assigned before. It fails with
// EADDRINUSE if another listener has the address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		n.lastPort++
		address = net.JoinHostPort(host, strconv.Itoa(n.lastPort))
	}
	if _, inUse := n.listeners[address]; inUse {
		return nil, opError("listen", address, syscall.EADDRINUSE)
	}
	l := &listener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to the listener on an address, or fails with ECONNREFUSED if there is none. Its signature is that
// of the field DialContext of http.Transport.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, open := n.listeners[address]
	n.mu.Unlock()
	if !open {
		return nil, opError("dial", address, syscall.ECONNREFUSED)
	}
	client, server := net.Pipe()
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, opError("dial", address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, opError("dial", address, ctx.Err())
	}
}

func opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "pipe", Addr: addr(address), Err: err}
}

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "pipe" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

type listener struct {
	network   *Network
	address   string
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", l.address, net.ErrClosed)
	}
}

// Close implements net.Listener. Another listener can then use the address.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
