package target

import (
	"net/http"
	"sync"
)

// retiredSweeps is the number of sweeps for which a released transport is looked at. With one sweep a
// second it is longer than any request.
const retiredSweeps = 30

// Pool sends requests over one transport for each address, so that the connection to one target can be
// released without those to others. It implements http.RoundTripper and is safe for concurrent use.
type Pool struct {
	open func() *http.Transport

	mu        sync.RWMutex // guards the fields below
	byAddress map[string]*http.Transport
	retired   map[*http.Transport]int // sweeps left
}

// NewPool returns a pool that creates its transports with open.
func NewPool(open func() *http.Transport) *Pool {
	return &Pool{open: open, byAddress: map[string]*http.Transport{}, retired: map[*http.Transport]int{}}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	return p.transport(req.URL.Host).RoundTrip(req)
}

func (p *Pool) transport(address string) *http.Transport {
	p.mu.RLock()
	t, known := p.byAddress[address]
	p.mu.RUnlock()
	if known {
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, known = p.byAddress[address]; !known {
		t = p.open()
		p.byAddress[address] = t
	}
	return t
}

// Retain releases the transports of all addresses that keep rejects. Their connections are closed once
// the requests on them have ended.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	for address, t := range p.byAddress {
		if !keep(address) {
			delete(p.byAddress, address)
			p.retired[t] = retiredSweeps
		}
	}
	p.mu.Unlock()
	p.Sweep()
}

// Sweep closes connections of released transports that have become idle. It is to be called about
// once a second.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, left := range p.retired {
		t.CloseIdleConnections()
		p.retired[t]--
		if left <= 1 {
			delete(p.retired, t)
		}
	}
}

// CloseIdleConnections closes all connections without requests.
func (p *Pool) CloseIdleConnections() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.byAddress {
		t.CloseIdleConnections()
	}
}
