package target

import (
	"net/http"
	"sync"
)

// sweepsAfterRelease is the number of sweeps that close idle connections of a released transport. At one sweep
// per second this takes longer than any request.
const sweepsAfterRelease = 30

// Pool sends requests over a separate transport for each address, so that the connection to one target can be
// released independently of the others. It implements http.RoundTripper and is safe for concurrent use.
type Pool struct {
	newTransport func() *http.Transport

	mu        sync.RWMutex // guards the fields below
	byAddress map[string]*http.Transport
	released  map[*http.Transport]int   // remaining sweeps
	keep      func(address string) bool // of the latest call of Retain, nil before the first one
}

// NewPool returns a pool that creates its transports with newTransport.
func NewPool(newTransport func() *http.Transport) *Pool {
	return &Pool{newTransport: newTransport, byAddress: map[string]*http.Transport{}, released: map[*http.Transport]int{}}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	return p.transport(req.URL.Host).RoundTrip(req)
}

func (p *Pool) transport(address string) *http.Transport {
	p.mu.RLock()
	t, ok := p.byAddress[address]
	p.mu.RUnlock()
	if ok {
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok = p.byAddress[address]; !ok {
		t = p.newTransport()
		p.byAddress[address] = t
	}
	return t
}

// Retain releases the transports of all addresses for which keep returns false. Their connections are closed
// once the requests on them have ended.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	p.keep = keep
	p.mu.Unlock()
	p.Sweep()
}

// Sweep closes the idle connections of released transports. It must be called about once per second. A query that began
// before the latest call of Retain may have opened a transport since, which Sweep releases too.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, t := range p.byAddress {
		if p.keep != nil && !p.keep(address) {
			delete(p.byAddress, address)
			p.released[t] = sweepsAfterRelease
		}
	}
	for t, left := range p.released {
		t.CloseIdleConnections()
		p.released[t]--
		if left <= 1 {
			delete(p.released, t)
		}
	}
}

// CloseIdleConnections closes the connections that carry no request, except those of released transports.
func (p *Pool) CloseIdleConnections() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.byAddress {
		t.CloseIdleConnections()
	}
}
