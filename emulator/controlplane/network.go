package controlplane

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/peer"
	"hyssopcroft.example/emulator/pipenet"
)

// Faults are the faults of the network between instances and between instances and the store.
type Faults struct {
	// LossShare is the share of messages between instances that are lost. A request and its answer are separate
	// messages.
	LossShare float64
	// LosePushes drops every push, so that configurations propagate only by the exchanges.
	LosePushes bool
	// RegionsPartitioned partitions the regions from each other, and all regions but region 0 from the store.
	RegionsPartitioned bool
	// InterDomainDelay and InterRegionDelay are one-way delays between failure domains and between regions.
	InterDomainDelay, InterRegionDelay time.Duration
}

type location struct {
	domain string
	region int
}

// Network injects faults into the calls of instances. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex // guards the fields below
	faults    Faults
	locations map[string]location // by address
	random    *rand.Rand

	// pipes carries all connections if it is set. Otherwise they use the loopback interface.
	pipes *pipenet.Network
}

// NewNetwork returns a network with the given faults. The seed determines which messages are lost.
func NewNetwork(seed uint64, f Faults) *Network {
	return &Network{faults: f, locations: map[string]location{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// listen returns a listener for the platform or for an instance.
func (n *Network) listen(name string) (net.Listener, error) {
	if n.pipes != nil {
		return n.pipes.Listen(name + ":80")
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// dialFunc returns a function that opens connections. Connections over loopback count their bytes in t.
func (n *Network) dialFunc(t *peer.Traffic) func(ctx context.Context, network, address string) (net.Conn, error) {
	if n.pipes != nil {
		return n.pipes.DialContext
	}
	return peer.DialContext(t)
}

// UpdateFaults applies a change to the faults.
func (n *Network) UpdateFaults(change func(*Faults)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.faults)
}

func (n *Network) setLocation(address, domain string, region int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = location{domain: domain, region: region}
}

type roundTripperFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// errMessageLost is the error of a request that was lost or whose answer was lost.
var errMessageLost = errors.New("message lost")

// storeTransport returns a transport from an instance in a region to the store, which is in region 0.
func (n *Network) storeTransport(region int, next http.RoundTripper) http.RoundTripper {
	return roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		n.mu.Lock()
		partitioned := n.faults.RegionsPartitioned && region != 0
		n.mu.Unlock()
		if partitioned {
			<-r.Context().Done()
			return nil, errMessageLost
		}
		return next.RoundTrip(r)
	})
}

// peerTransport returns a transport from an instance to its peers.
func (n *Network) peerTransport(domain string, region int, next http.RoundTripper) http.RoundTripper {
	from := location{domain: domain, region: region}
	return roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		loseRequest, loseAnswer, delay := n.drawFaults(from, r)
		if loseRequest {
			<-r.Context().Done()
			return nil, errMessageLost
		}
		if delay == 0 && !loseAnswer {
			return next.RoundTrip(r)
		}
		time.Sleep(delay)
		resp, err := next.RoundTrip(r)
		if err != nil {
			return resp, err
		}
		if loseAnswer {
			_ = resp.Body.Close() // The answer is dropped, so an error can be ignored.
			<-r.Context().Done()
			return nil, errMessageLost
		}
		time.Sleep(delay)
		return resp, nil
	})
}

// drawFaults decides whether the request or its answer is lost, and the one-way delay of both.
func (n *Network) drawFaults(from location, r *http.Request) (loseRequest, loseAnswer bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.locations[r.URL.Host]
	push := strings.HasSuffix(r.URL.Path, "/Push")
	loseRequest = n.random.Float64() < n.faults.LossShare ||
		n.faults.RegionsPartitioned && from.region != to.region || n.faults.LosePushes && push
	loseAnswer = n.random.Float64() < n.faults.LossShare
	switch {
	case from.region != to.region:
		delay = n.faults.InterRegionDelay
	case from.domain != to.domain:
		delay = n.faults.InterDomainDelay
	}
	return loseRequest, loseAnswer, delay
}
