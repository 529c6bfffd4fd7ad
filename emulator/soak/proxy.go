package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode determines how a proxy forwards the bytes of its connections.
type linkMode int

const (
	linkPass linkMode = iota
	// linkDelay delays the bytes of each read by forwardDelay.
	linkDelay
	// linkDrop discards the bytes in both directions and keeps the connections open.
	linkDrop
	// linkDropToServer discards only the bytes sent to the server.
	linkDropToServer
	linkModeCount
)

const forwardDelay = 30 * time.Millisecond

// proxy forwards TCP connections to a server and can delay, drop or reset them.
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
			return // The listener was closed at the end of the soak.
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	server, err := net.Dial("tcp", p.serverAddress)
	if err != nil {
		_ = c.Close() // The client sees a closed connection instead of a refused one.
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

// copy forwards one direction until it ends and then closes both connections.
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
			_ = to.Close() // This also ends the copy in the other direction.
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

// resetConnections resets all open connections.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close() // Best effort: it is being reset.
	}
}

// resetOnClose makes a later Close send a TCP reset.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // It fails only if the connection is closed.
	}
}
