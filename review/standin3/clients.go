package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	gateway string
	id      string
	path    string
	sent    time.Time
	took    time.Duration
	status  int // 0 if the connection ended without an answer
	stamp   string
	body    string
}

// clients sends requests at a steady rate and collects the answers.
type clients struct {
	world  *world
	next   atomic.Int64
	stopAt chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func newClients(w *world) *clients { return &clients{world: w, stopAt: make(chan struct{})} }

// request sends one request to a gateway over a new connection or a kept one.
func (c *clients) request(client *http.Client, g *gateway, method, host, path string, deadline time.Duration, body []byte) answer {
	id := fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(c.next.Add(1)))
	a := answer{gateway: g.name, id: id, path: path, sent: time.Now()}
	r, err := http.NewRequest(method, "http://"+g.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // unreachable: the path is valid
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := client.Do(r)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if readErr == nil {
			a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get("Server-Stamp"), string(raw)
		}
	}
	a.took = time.Since(a.sent)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// send lets a number of clients of each gateway send requests, each after a pause, until stop is called.
func (c *clients) send(perGateway int, pause time.Duration, method, host, path string, deadline time.Duration) {
	for _, g := range c.world.gateways {
		for n := range perGateway {
			c.done.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: deadline}
				time.Sleep(time.Duration(n) * pause / time.Duration(perGateway))
				for i := 0; ; i++ {
					select {
					case <-c.stopAt:
						return
					case <-time.After(pause):
					}
					c.request(client, g, method, host, fmt.Sprintf("%s%d", path, i), deadline, nil)
				}
			})
		}
	}
}

// stop ends the clients and adds each request and its answer to the record.
func (c *clients) stop() {
	close(c.stopAt)
	c.done.Wait()
	for _, a := range c.answers {
		c.world.logf("request %s (%s) sent to %s at %.3f s, answered after %.3f s with status %d (0: none), stamp %q",
			a.id, a.path, a.gateway, c.world.at(a.sent), a.took.Seconds(), a.status, a.stamp)
	}
}

// byStatus counts the answers by status.
func (c *clients) byStatus() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]int{}
	for _, a := range c.answers {
		out[a.status]++
	}
	return out
}
