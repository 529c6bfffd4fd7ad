package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a proxy treats the bytes of its connections.
type linkMode int

const (
	linkPass linkMode = iota
	// linkDelay holds each piece back for some milliseconds.
	linkDelay
	// linkDrop swallows bytes in both directions and closes nothing.
	linkDrop
	// linkDropToServer swallows the bytes towards the server only.
	linkDropToServer
	linkModeCount
)

const forwardDelay = 30 * time.Millisecond

// proxy forwards TCP connections to an address and harms them on order.
type proxy struct {
	net.Listener
	serverAddress string

	mu    sync.Mutex // guards the fields below
	mode  linkMode
	conns map[net.Conn]bool
}

func newProxy(serverAddress string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{Listener: l, serverAddress: serverAddress, conns: map[net.Conn]bool{}}
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
	server, err := net.Dial("tcp", p.serverAddress)
	if err != nil {
		_ = c.Close() // As a port without a listener would.
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(server, c, true) })
	copies.Go(func() { p.copy(c, server, false) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one direction until it ends, and then ends both.
func (p *proxy) copy(to, from net.Conn, toServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch p.currentMode() {
		case linkDelay:
			time.Sleep(forwardDelay)
		case linkDrop:
			n = 0
		case linkDropToServer:
			if toServer {
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
				resetOnClose(to)
			}
			_ = to.Close() // The far end learns of the end.
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// resetConnections resets the open connections.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close() // It is reset.
	}
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Fails on a closed connection only.
	}
}
