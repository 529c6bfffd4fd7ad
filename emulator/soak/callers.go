package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// host is that of all routes.
const host = "soak.example"

// Paths of the three routes.
const (
	pathAll   = "/all/x"
	pathOnce  = "/once/x"
	pathMoved = "/moved/x" // whose service changes with each version
)

const (
	shardCount     = 6
	minParts       = 5
	topK           = 5
	requestTimeout = 1500 * time.Millisecond
	meanThinkTime  = 20 * time.Millisecond
)

// caller asks one request after the other over connections that it keeps, until the soak ends.
type caller struct {
	soak   *soak
	client *http.Client
	random *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanThinkTime))))
		if i := c.soak.readyInstance(c.random); i != nil {
			c.send(i, []string{pathAll, pathOnce, pathMoved}[n%3])
		}
	}
}

func (c *caller) send(i *instance, path string) {
	id := fmt.Sprintf("%016x", c.random.Uint64())
	method, body := http.MethodGet, io.Reader(nil)
	if path == pathOnce {
		method, body = http.MethodPost, strings.NewReader("body")
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.callerAddress+path, body)
	if err != nil {
		panic(err) // The URL is made here.
	}
	// Without GetBody and with a body, the transport sends nothing again by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	minVersion := c.soak.minVersionInForce()
	sentAt := time.Now()
	resp, err := c.client.Do(req)
	c.soak.requests.Add(1)
	if err != nil {
		if i.mustComplete(sentAt) && ctx.Err() == nil {
			c.soak.recorder.addViolation("cut: request %s to %s, which was stopping gracefully: %v", id, i.name, err)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }() // The answer was read.
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		if i.mustComplete(sentAt) && ctx.Err() == nil {
			c.soak.recorder.addViolation("cut: body of request %s from %s, which was stopping gracefully: %v", id, i.name, err)
		}
		return
	}
	c.check(id, path, minVersion, resp, string(raw))
}

func (c *caller) check(id, path string, minVersion int, resp *http.Response, body string) {
	rec := c.soak.recorder
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		rec.recordRefused(id)
		return
	case resp.StatusCode == http.StatusNotFound:
		rec.addViolation("denied: %s is a route of every version", path)
		return
	case resp.StatusCode != http.StatusOK:
		return
	}
	c.soak.served.Add(1)
	if path == pathAll {
		c.checkMerged(id, resp, body)
		return
	}
	if got := resp.Header.Get("Server-Stamp"); !strings.HasSuffix(got, "."+id) {
		rec.addViolation("mixed: request %s got the answer %q", id, got)
	}
	if path == pathMoved {
		rec.mu.Lock()
		service := rec.lastService[id]
		rec.mu.Unlock()
		if !c.soak.mayRouteMovedTo(minVersion, service) {
			rec.addViolation("config: request %s ran at %s although version %d was in force", id, service, minVersion)
		}
	}
}

// checkMerged checks that the answer holds its own parts only, counts them truly and is their greatest
// records in order.
func (c *caller) checkMerged(id string, resp *http.Response, body string) {
	rec := c.soak.recorder
	parts := strings.Split(resp.Header.Get("Part-Stamps"), ", ")
	missing, err := strconv.Atoi(resp.Header.Get("Missing-Parts"))
	if err != nil || len(parts)+missing != shardCount || len(parts) < minParts {
		rec.addViolation("coverage: request %s has %d parts and misses %q", id, len(parts), resp.Header.Get("Missing-Parts"))
	}
	var all []string
	seen := map[string]bool{}
	for _, p := range parts {
		searcher, request, _ := strings.Cut(p, ".")
		service, _, _ := strings.Cut(searcher, "-")
		if request != id || seen[service] {
			rec.addViolation("mixed: request %s has the part %q", id, p)
		}
		seen[service] = true
		all = append(all, records(p)...)
	}
	slices.Sort(all)
	slices.Reverse(all)
	if want := strings.Join(all[:min(topK, len(all))], ""); body != want {
		rec.addViolation("merge: request %s has the records %q, want %q", id, body, want)
	}
}
