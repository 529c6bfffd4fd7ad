package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// path is how a proxy treats the bytes of its connections.
type path int

const (
	pass path = iota
	// delay holds each piece back for some milliseconds.
	delay
	// silence swallows bytes in both directions and closes nothing.
	silence
	// oneWay swallows the bytes towards the server only.
	oneWay
	paths
)

const delayTime = 30 * time.Millisecond

// proxy forwards TCP connections to an address and harms them on order.
type proxy struct {
	net.Listener
	to string

	mu    sync.Mutex // guards the fields below
	path  path
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{Listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.Accept()
		if err != nil {
			return // The soak has ended.
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close() // As a port without a listener would.
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(up, c, true) })
	both.Go(func() { p.copy(c, up, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy forwards one direction until it ends, and then ends both.
func (p *proxy) copy(to, from net.Conn, upwards bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch p.mode() {
		case delay:
			time.Sleep(delayTime)
		case silence:
			n = 0
		case oneWay:
			if upwards {
				n = 0
			}
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			_ = to.Close() // The far end learns of the end.
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) mode() path {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path
}

func (p *proxy) set(m path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = m
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
		_ = c.Close() // It is reset.
	}
}

// reset makes the close of a connection a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Fails on a closed connection only.
	}
}
