package rolling

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/platform"
	"hyssopcroft.example/adapter/target"
	"hyssopcroft.example/kernel"
)

// balancer is a minimal stand-in for the platform's load balancer: it directs callers to an instance that was ready at
// the last readiness probe.
type balancer struct {
	pollInterval time.Duration
	client       *http.Client

	mu        sync.Mutex // guards the fields below
	instances []platform.Instance
	ready     []string
}

func newBalancer(pollInterval time.Duration, dial target.DialFunc) *balancer {
	return &balancer{pollInterval: pollInterval, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

func (b *balancer) add(id, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = append(b.instances, liveInstance(id, address))
}

func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = slices.DeleteFunc(b.instances, func(i platform.Instance) bool { return i.Address == address })
}

func (b *balancer) list() []platform.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.instances)
}

// pollReadiness probes the readiness of all instances every pollInterval until ctx is done.
func (b *balancer) pollReadiness(ctx context.Context) {
	for {
		var ready []string
		for _, i := range b.list() {
			if b.isReady(i.Address) {
				ready = append(ready, i.Address)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		if !kernel.Sleep(ctx, b.pollInterval) {
			return
		}
	}
}

func (b *balancer) isReady(address string) bool {
	resp, err := b.client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the body is not used
	return resp.StatusCode == http.StatusOK
}

// readyAddress returns the address of a random ready instance, or false if there is none.
func (b *balancer) readyAddress(source *rand.Rand) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[source.IntN(len(b.ready))], true
}

// awaitReady waits until at least n instances are ready. It returns an error after readyTimeout.
func (b *balancer) awaitReady(n int) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(b.pollInterval / 4) {
		b.mu.Lock()
		ready := len(b.ready)
		b.mu.Unlock()
		if ready >= n {
			return nil
		}
	}
	return errors.Errorf("fewer than %d instances are ready after %s", n, readyTimeout)
}
